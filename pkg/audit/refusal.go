package audit

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// RouteError says why a decoder refuses a route.
type RouteError struct {
	Route   string
	Problem string
}

// Error names the route and the problem.
func (e *RouteError) Error() string { return fmt.Sprintf("route %s has %s", e.Route, e.Problem) }

// Refusals returns a finding for each error of a decoder; its place has the line and column in b where the error has an offset.
func Refusals(path string, b []byte, errs []error) []Finding {
	var out findings
	for _, err := range errs {
		out.add(Error, RuleRefused, Place(path, b, err), "%v; instances refuse the whole configuration until this is corrected", err)
	}
	return out
}

// Place returns the route of a RouteError, path:line:column of a JSON error in b, both counted from 1, or else the path alone.
func Place(path string, b []byte, err error) string {
	var routeErr *RouteError
	if errors.As(err, &routeErr) {
		return routePlace(&catalogue.Route{Name: routeErr.Route})
	}
	offset := int64(-1)
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		// The offset is that after the invalid byte.
		offset = syntaxErr.Offset - 1
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	}
	if offset < 0 {
		return path
	}
	before := b[:min(offset, int64(len(b)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%s:%d:%d", path, line, column)
}
