package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestPageHasEachFieldAndDefault checks that docs/SETTINGS.md lists each field with its default.
func TestPageHasEachFieldAndDefault(t *testing.T) {
	b, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	daemonPage, entryPage, found := strings.Cut(string(b), "\n# Settings of an instance on the users' platform\n")
	if !found {
		t.Fatal("docs/SETTINGS.md has no section for instances on the users' platform")
	}
	checkPage(t, daemonPage, "", reflect.ValueOf(Default()))
	checkPage(t, entryPage, "", reflect.ValueOf(DefaultEntry()))
}

func checkPage(t *testing.T, page, path string, v reflect.Value) {
	for i := range v.NumField() {
		name := strings.TrimPrefix(path+"."+v.Type().Field(i).Name, ".")
		field := v.Field(i)
		if field.Kind() == reflect.Struct {
			checkPage(t, page, name, field)
			continue
		}
		row := fmt.Sprintf("| `%s` | ", name)
		_, rest, found := strings.Cut(page, row)
		if !found {
			t.Errorf("docs/SETTINGS.md has no row %s", row)
			continue
		}
		got, _, _ := strings.Cut(rest, " |")
		want := fmt.Sprint(field.Interface())
		if got = strings.Trim(got, "`"); got != want && !(want == "" && (got == "required" || got == "none")) {
			t.Errorf("%s: got default %q in docs/SETTINGS.md, want %q as in the code", name, got, want)
		}
	}
}
