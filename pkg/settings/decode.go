package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"carawayknot.example/carawayknot/pkg/clock"
)

// maxMillis limits the size of a time, in milliseconds, to what a float64 represents exactly.
const maxMillis = 1 << 53

// decoder fills a struct from parsed JSON and records the position of each field for error messages.
type decoder struct {
	source []byte
	// offsets has the byte offset of each field in the file, by its path such as "Limits.InFlight".
	offsets map[string]int
}

// decode sets the fields of the struct that out points to and leaves others unchanged.
func (d *decoder) decode(v *hujson.Value, out any) error {
	return d.decodeObject("", v, reflect.ValueOf(out).Elem())
}

func (d *decoder) decodeObject(path string, v *hujson.Value, out reflect.Value) error {
	o, isObject := v.Value.(*hujson.Object)
	if !isObject {
		return d.fieldError(path, v.StartOffset, "an object in braces")
	}
	for i := range o.Members {
		if err := d.decodeMember(path, &o.Members[i], out); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) decodeMember(path string, m *hujson.ObjectMember, out reflect.Value) error {
	name := m.Name.Value.(hujson.Literal).String()
	fieldPath := strings.TrimPrefix(path+"."+name, ".")
	field := out.FieldByName(name)
	if !field.IsValid() {
		return d.fieldError(fieldPath, m.Name.StartOffset, "one of the known fields "+strings.Join(fieldNames(out.Type()), ", "))
	}
	if _, duplicate := d.offsets[fieldPath]; duplicate {
		return d.fieldError(fieldPath, m.Name.StartOffset, "the field only once")
	}
	d.offsets[fieldPath] = m.Name.StartOffset
	if field.Kind() == reflect.Struct {
		return d.decodeObject(fieldPath, &m.Value, field)
	}
	if field.Kind() == reflect.Slice {
		return d.decodeNames(fieldPath, m, field)
	}
	lit, isLiteral := m.Value.Value.(hujson.Literal)
	if !isLiteral || lit.Kind() == 'n' || decodeLiteral(lit, field) != nil {
		return d.fieldError(fieldPath, m.Name.StartOffset, typeDescription(field))
	}
	return nil
}

// decodeNames sets a field that is a list of strings.
func (d *decoder) decodeNames(path string, m *hujson.ObjectMember, field reflect.Value) error {
	list, isArray := m.Value.Value.(*hujson.Array)
	if !isArray {
		return d.fieldError(path, m.Name.StartOffset, typeDescription(field))
	}
	names := make([]string, len(list.Elements))
	for i, e := range list.Elements {
		lit, isLiteral := e.Value.(hujson.Literal)
		if !isLiteral || lit.Kind() != '"' {
			return d.fieldError(path, m.Name.StartOffset, typeDescription(field))
		}
		names[i] = lit.String()
	}
	field.Set(reflect.ValueOf(names))
	return nil
}

// decodeLiteral sets a field; a time is rounded down to whole milliseconds, since it is a bound mostly.
func decodeLiteral(lit hujson.Literal, field reflect.Value) error {
	millis, isTime := field.Addr().Interface().(*clock.Millis)
	if !isTime {
		return json.Unmarshal(lit, field.Addr().Interface())
	}
	var n float64
	if err := json.Unmarshal(lit, &n); err != nil {
		return err
	}
	if math.Abs(n) > maxMillis {
		return errors.Newf("%g is out of range", n)
	}
	*millis = clock.Millis(math.Floor(n))
	return nil
}

func (d *decoder) fieldError(path string, offset int, want string) *FieldError {
	return &FieldError{Line: 1 + bytes.Count(d.source[:offset], []byte("\n")), Field: path, Want: want}
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return names
}

func typeDescription(field reflect.Value) string {
	switch {
	case field.Kind() == reflect.String:
		return "a string in quotes"
	case field.Kind() == reflect.Slice:
		return "a list of strings in quotes"
	case field.Kind() == reflect.Bool:
		return "true or false"
	case field.Kind() == reflect.Float64, field.Type() == reflect.TypeFor[clock.Millis]():
		return "a number"
	default:
		return "a whole number"
	}
}

// syntaxLine returns the line number in an error of the JSON parser, 0 when it has none.
func syntaxLine(err error) int {
	line := 0
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d,", &line); scanErr != nil {
		return 0
	}
	return line
}
