package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder fills a struct from parsed JSON and keeps where each field stands.
type decoder struct {
	source []byte
	// offsets holds the byte offset of each field that the file has, by its path.
	offsets map[string]int
}

// decode fills the struct that out points to.
func (d *decoder) decode(v *hujson.Value, out any) error {
	return d.object("", v, reflect.ValueOf(out).Elem())
}

func (d *decoder) object(path string, v *hujson.Value, out reflect.Value) error {
	o, isObject := v.Value.(*hujson.Object)
	if !isObject {
		return d.fail(path, v.StartOffset, "an object in braces")
	}
	for i := range o.Members {
		if err := d.member(path, &o.Members[i], out); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) member(path string, m *hujson.ObjectMember, out reflect.Value) error {
	name := m.Name.Value.(hujson.Literal).String()
	full := strings.TrimPrefix(path+"."+name, ".")
	field := out.FieldByName(name)
	if !field.IsValid() {
		return d.fail(full, m.Name.StartOffset, "one of the known fields "+strings.Join(fieldNames(out.Type()), ", "))
	}
	if _, twice := d.offsets[full]; twice {
		return d.fail(full, m.Name.StartOffset, "the field once only")
	}
	d.offsets[full] = m.Name.StartOffset
	if field.Kind() == reflect.Struct {
		return d.object(full, &m.Value, field)
	}
	lit, isLiteral := m.Value.Value.(hujson.Literal)
	if !isLiteral || lit.Kind() == 'n' || json.Unmarshal(lit, field.Addr().Interface()) != nil {
		return d.fail(full, m.Name.StartOffset, typeName(field.Kind()))
	}
	return nil
}

func (d *decoder) fail(path string, offset int, want string) *FieldError {
	return &FieldError{Line: 1 + bytes.Count(d.source[:offset], []byte("\n")), Field: path, Want: want}
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return names
}

func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string in quotes"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// syntaxLine reads the line out of the error of the JSON parser.
func syntaxLine(err error) int {
	line := 0
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d,", &line); scanErr != nil {
		return 0
	}
	return line
}
