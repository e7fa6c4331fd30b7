package settings

import "fmt"

// FieldError reports a wrong field of a settings file and the values that it accepts; Line is 0 when the field is missing.
type FieldError struct {
	File  string
	Line  int
	Field string
	Want  string
}

// Error returns the file, the line, the field and the values that it accepts.
func (e *FieldError) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: want %s", position, e.Want)
	}
	return fmt.Sprintf("%s: field %s: want %s", position, e.Field, e.Want)
}

// KeyError reports a key file whose content is no valid key.
type KeyError struct {
	File string
	Want string
}

// Error returns the path of the file and what it must have.
func (e *KeyError) Error() string { return fmt.Sprintf("key file %s: want %s", e.File, e.Want) }
