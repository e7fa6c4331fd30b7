package desk

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestAPIDocHasEachReasonAndStatus checks that docs/API.md lists each reason with its HTTP status.
func TestAPIDocHasEachReasonAndStatus(t *testing.T) {
	b, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for reason, status := range statusByReason {
		if row := fmt.Sprintf("| `%s` | %d |", reason, status); !strings.Contains(string(b), row) {
			t.Errorf("docs/API.md has no row %s", row)
		}
	}
}
