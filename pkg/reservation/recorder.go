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

// recorder passes an answer on to the caller and keeps it for a second asker, up to a limit. A caller that has gone does
// not stop the answer, because the outcome must be recorded.
type recorder struct {
	caller context.Context
	inner  request.Writer
	// limit bounds what is kept, in bytes.
	limit int

	answer  Answer
	text    strings.Builder
	body    []byte
	hash    hash.Hash
	begun   bool
	ended   bool
	tooLong bool
	// lost is the first error of the caller's writer.
	lost error
}

// WriteHead keeps the head and passes it on.
func (r *recorder) WriteHead(_ context.Context, c *request.Call, h request.Head) error {
	r.begun = true
	r.answer.Status, r.answer.Header = h.Status, h.Header.Clone()
	r.keep(r.answer.size())
	return r.pass(func() error { return r.inner.WriteHead(r.caller, c, h) })
}

// WriteChunk keeps the chunk and passes it on.
func (r *recorder) WriteChunk(_ context.Context, c *request.Call, k request.Chunk) error {
	if r.add([]byte(k.Text)) {
		r.text.WriteString(k.Text)
		r.answer.Tokens += k.Tokens
	}
	return r.pass(func() error { return r.inner.WriteChunk(r.caller, c, k) })
}

// WriteBytes keeps the bytes and passes them on.
func (r *recorder) WriteBytes(_ context.Context, c *request.Call, b []byte) error {
	if r.add(b) {
		r.body = append(r.body, b...)
	}
	return r.pass(func() error { return r.inner.WriteBytes(r.caller, c, b) })
}

// WriteEnd marks the answer as whole and passes the end on.
func (r *recorder) WriteEnd(_ context.Context, c *request.Call, e request.End) error {
	r.begun, r.ended = true, true
	r.answer.End = e
	return r.pass(func() error { return r.inner.WriteEnd(r.caller, c, e) })
}

// add hashes the bytes and tells whether they are kept.
func (r *recorder) add(b []byte) bool {
	r.begun = true
	if r.hash == nil {
		r.hash = sha256.New()
	}
	r.hash.Write(b)
	return r.keep(len(b))
}

func (r *recorder) keep(n int) bool {
	r.limit -= n
	if r.limit >= 0 {
		return true
	}
	r.tooLong = true
	r.text.Reset()
	r.body = nil
	return false
}

// pass writes to the caller until that fails once.
func (r *recorder) pass(write func() error) error {
	if r.lost == nil {
		r.lost = write()
	}
	return nil
}

// settle fills in the outcome of a call that ended with err, and returns what the caller is told.
func (r *recorder) settle(d *Done, err error) error {
	if r.ended {
		r.settleRan(d)
		if r.lost != nil {
			return &request.Refusal{Outcome: request.Ran, Reason: request.ReasonCallerGone, Cause: r.lost}
		}
		if err != nil {
			return &request.Refusal{Outcome: request.Ran, Reason: request.ReasonUpstreamFailed, Cause: err}
		}
		return nil
	}
	refusal := &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete, Cause: err}
	var told *request.Refusal
	if errors.As(err, &told) {
		refusal = told
	}
	if r.begun && refusal.Outcome == request.NotRun {
		// Part of an answer was seen, so that the request can't be called not run.
		changed := *refusal
		changed.Outcome = request.MayHaveRun
		refusal = &changed
	}
	d.Outcome, d.Reason = refusal.Outcome, refusal.Reason
	return refusal
}

func (r *recorder) settleRan(d *Done) {
	d.Outcome, d.Reason = request.Ran, ""
	if r.hash != nil {
		d.Digest = hex.EncodeToString(r.hash.Sum(nil))
	}
	if r.tooLong {
		return
	}
	r.answer.Text, r.answer.Body = r.text.String(), r.body
	d.Answer = &r.answer
}
