package reservation

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/request"
)

// failingWriter accepts the head of an answer and fails on its first chunk.
type failingWriter struct {
	request.Writer
	err error
}

func (w failingWriter) WriteHead(context.Context, *request.Call, request.Head) error   { return nil }
func (w failingWriter) WriteChunk(context.Context, *request.Call, request.Chunk) error { return w.err }

func TestP08FailedReplayIsReportedAsRan(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
	}{
		{"no memory for the answer", request.Refuse(request.ReasonMemory, 1, "no room")},
		{"caller disconnected", errors.New("broken pipe")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			done := &Done{Outcome: request.Ran, Answer: &Answer{Status: 200, Text: "table 4"}}
			err := replay(t.Context(), &request.Call{Request: &request.Request{}, Writer: failingWriter{err: tc.err}}, done)
			var r *request.Refusal
			if !errors.As(err, &r) {
				t.Fatalf("replay() = %v, want a refusal", err)
			}
			got := []string{string(r.Outcome), string(r.Reason)}
			if diff := cmp.Diff([]string{string(request.Ran), string(request.ReasonAlreadyRan)}, got); diff != "" {
				t.Errorf("outcome and reason differ (-want +got):\n%s", diff)
			}
		})
	}
}
