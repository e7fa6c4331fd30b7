package desk

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestPageHasEachReasonAndStatus keeps docs/API.md in step with the code.
func TestPageHasEachReasonAndStatus(t *testing.T) {
	b, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for reason, status := range statuses {
		if row := fmt.Sprintf("| `%s` | %d |", reason, status); !strings.Contains(string(b), row) {
			t.Errorf("docs/API.md has no row %s", row)
		}
	}
}
