package proctest

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Records returns all entries of a stream that the log still retains, oldest first.
func (s *System) Records(stream string) []backoffice.Entry {
	s.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	l := &backoffice.Log{BaseURL: s.Log.URL()}
	oldest, err := l.Read(ctx, stream, 0, 1, 0)
	from := oldest.Oldest
	var trimmed *backoffice.TrimmedError
	if errors.As(err, &trimmed) {
		from = trimmed.Oldest
	}
	var out []backoffice.Entry
	for {
		b, err := l.Read(ctx, stream, from, 1000, 0)
		if err != nil {
			s.T.Fatalf("read stream %s: %v", stream, err)
		}
		if len(b.Entries) == 0 {
			return out
		}
		out = append(out, b.Entries...)
		from += int64(len(b.Entries))
	}
}

// CountRecords returns the number of retained records of a stream that contain text.
func (s *System) CountRecords(stream, text string) int {
	s.T.Helper()
	n := 0
	for _, e := range s.Records(stream) {
		if strings.Contains(string(e.Data), text) {
			n++
		}
	}
	return n
}

// AppendChange appends a change to the configuration stream as an instance does, without waiting until any instance applies it.
func (s *System) AppendChange(ch *catalogue.Change) {
	s.T.Helper()
	raw, err := catalogue.EncodeChange(ch)
	if err != nil {
		s.T.Fatal(err)
	}
	l := &backoffice.Log{BaseURL: s.Log.URL()}
	if _, err := l.Append(s.T.Context(), catalogue.StreamName, [][]byte{raw}); err != nil {
		s.T.Fatal(err)
	}
}
