package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Load reads a trace from a file that holds JSON with comments.
func Load(path string) (*Trace, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the trace")
	}
	t, err := Parse(raw)
	return t, errors.Wrapf(err, "trace %s", path)
}

// Parse decodes a trace from JSON with comments, and rejects unknown fields and unknown measures.
func Parse(raw []byte) (*Trace, error) {
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return nil, errors.Wrap(err, "parsing JSON with comments")
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	t := &Trace{}
	if err := d.Decode(t); err != nil {
		return nil, errors.Wrap(err, "decoding JSON")
	}
	if len(t.Members) == 0 || len(t.Upstreams) == 0 || t.Duration <= 0 {
		return nil, errors.New("the fields Members and Upstreams must not be empty, and Duration must be positive")
	}
	for _, s := range t.Stated {
		if !slices.Contains(measures, s.Measure) {
			return nil, errors.Newf("field Stated: unknown measure %q, want one of %v", s.Measure, measures)
		}
	}
	return t, nil
}

// Write encodes the trace as JSON with a leading comment and one request per line.
func (t *Trace) Write(w io.Writer) error {
	head := *t
	head.Requests = nil
	raw, err := json.MarshalIndent(&head, "", " ")
	if err != nil {
		return errors.Wrap(err, "encoding the trace")
	}
	out := bufio.NewWriter(w)
	out.WriteString("// Recorded trace. Made by `carawayknot trace make`; Seed is the seed.\n")
	out.Write(bytes.TrimSuffix(raw, []byte("null\n}")))
	out.WriteString("[\n")
	for i := range t.Requests {
		line, err := json.Marshal(&t.Requests[i])
		if err != nil {
			return errors.Wrap(err, "encoding a request")
		}
		out.Write(line)
		if i < len(t.Requests)-1 {
			out.WriteByte(',')
		}
		out.WriteByte('\n')
	}
	out.WriteString("]}\n")
	return out.Flush()
}
