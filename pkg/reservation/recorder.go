package reservation

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

// recorder forwards an answer to the caller and keeps it for replay up to a size limit. A disconnected caller does not stop
// the answer, because the outcome must be recorded.
type recorder struct {
	callerCtx context.Context
	inner     request.Writer
	// remaining is how many more bytes may be kept.
	remaining int

	answer    Answer
	text      strings.Builder
	body      []byte
	hash      hash.Hash
	started   bool
	completed bool
	overLimit bool
	// writeErr is the first error of the caller's writer.
	writeErr error
}

// WriteHead records the head and forwards it; it always returns nil.
func (r *recorder) WriteHead(_ context.Context, c *request.Call, h request.Head) error {
	r.started = true
	r.answer.Status, r.answer.Header = h.Status, h.Header.Clone()
	r.reserve(r.answer.size())
	return r.forward(func() error { return r.inner.WriteHead(r.callerCtx, c, h) })
}

// WriteChunk records the chunk and forwards it; it always returns nil.
func (r *recorder) WriteChunk(_ context.Context, c *request.Call, k request.Chunk) error {
	if r.record([]byte(k.Text)) {
		r.text.WriteString(k.Text)
		r.answer.Tokens += k.Tokens
	}
	return r.forward(func() error { return r.inner.WriteChunk(r.callerCtx, c, k) })
}

// WriteBytes records the bytes and forwards them; it always returns nil.
func (r *recorder) WriteBytes(_ context.Context, c *request.Call, b []byte) error {
	if r.record(b) {
		r.body = append(r.body, b...)
	}
	return r.forward(func() error { return r.inner.WriteBytes(r.callerCtx, c, b) })
}

// WriteEnd marks the answer as complete and forwards the end; it always returns nil.
func (r *recorder) WriteEnd(_ context.Context, c *request.Call, e request.End) error {
	r.started, r.completed = true, true
	r.answer.End = e
	return r.forward(func() error { return r.inner.WriteEnd(r.callerCtx, c, e) })
}

// record hashes the bytes and reports whether they fit into the size limit.
func (r *recorder) record(b []byte) bool {
	r.started = true
	if r.hash == nil {
		r.hash = sha256.New()
	}
	r.hash.Write(b)
	return r.reserve(len(b))
}

// reserve takes n bytes from the size limit and reports whether they fit; if not, the text and body kept so far are dropped.
func (r *recorder) reserve(n int) bool {
	r.remaining -= n
	if r.remaining >= 0 {
		return true
	}
	r.overLimit = true
	r.text.Reset()
	r.body = nil
	return false
}

// forward writes to the caller unless an earlier write failed.
func (r *recorder) forward(write func() error) error {
	if r.writeErr == nil {
		r.writeErr = write()
	}
	return nil
}

// finish sets the outcome in d of a call that ended with err, and returns the error for the caller.
func (r *recorder) finish(d *Done, err error) error {
	if r.completed {
		r.finishRan(d)
		if r.writeErr != nil {
			return &request.Refusal{Outcome: request.Ran, Reason: request.ReasonCallerGone, Cause: r.writeErr}
		}
		if err != nil {
			return &request.Refusal{Outcome: request.Ran, Reason: request.ReasonUpstreamFailed, Cause: err}
		}
		return nil
	}
	refusal := &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete, Cause: err}
	var reported *request.Refusal
	if errors.As(err, &reported) {
		refusal = reported
	}
	if r.started && refusal.Outcome == request.NotRun {
		// Part of an answer arrived, so the upstream may have run the request.
		changed := *refusal
		changed.Outcome = request.MayHaveRun
		refusal = &changed
	}
	d.Outcome, d.Reason = refusal.Outcome, refusal.Reason
	return refusal
}

func (r *recorder) finishRan(d *Done) {
	d.Outcome, d.Reason = request.Ran, ""
	if r.hash != nil {
		d.Digest = hex.EncodeToString(r.hash.Sum(nil))
	}
	if r.overLimit {
		return
	}
	r.answer.Text, r.answer.Body = r.text.String(), r.body
	d.Answer = &r.answer
}
