package reservation

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/enquiry"
)

// fullWriter has no memory for an answer.
type fullWriter struct {
	enquiry.Writer
	err error
}

func (w fullWriter) WriteHead(context.Context, *enquiry.Call, enquiry.Head) error   { return nil }
func (w fullWriter) WriteChunk(context.Context, *enquiry.Call, enquiry.Chunk) error { return w.err }

func TestP08ReplayThatFailsIsNeverNotRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
	}{
		{"no memory for the answer", enquiry.Refuse(enquiry.ReasonMemory, 1, "no room")},
		{"caller gone", errors.New("broken pipe")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			done := &Done{Outcome: enquiry.Ran, Answer: &Answer{Status: 200, Text: "table 4"}}
			err := replay(t.Context(), &enquiry.Call{Request: &enquiry.Request{}, Writer: fullWriter{err: tc.err}}, done)
			var r *enquiry.Refusal
			if !errors.As(err, &r) {
				t.Fatalf("replay() = %v, want a refusal", err)
			}
			got := []string{string(r.Outcome), string(r.Reason)}
			if diff := cmp.Diff([]string{string(enquiry.Ran), string(enquiry.ReasonAlreadyRan)}, got); diff != "" {
				t.Errorf("outcome, reason (-want +got):\n%s", diff)
			}
		})
	}
}
