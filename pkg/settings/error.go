package settings

import "fmt"

// FieldError says which field of a settings file is wrong, and how to mend it; Line is 0 when the field is missing.
type FieldError struct {
	File  string
	Line  int
	Field string
	Want  string
}

// Error describes the wrong field.
func (e *FieldError) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: want %s", at, e.Want)
	}
	return fmt.Sprintf("%s: field %s: want %s", at, e.Field, e.Want)
}

// KeyError says why a key file can't be used.
type KeyError struct {
	File string
	Want string
}

// Error describes the wrong file.
func (e *KeyError) Error() string { return fmt.Sprintf("key file %s: want %s", e.File, e.Want) }
