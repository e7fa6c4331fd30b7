package request

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Chunk is a piece of a chat response; Offset is the number of tokens before it.
type Chunk struct {
	Offset int
	Text   string
	Tokens int
}

// Head is the status and metadata of a response, which precede its body.
type Head struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Confidence is the model's confidence in its response, from 0 to 100, or -1 if it reports none.
	Confidence int
	// Load is the load of the upstream, or nil if it reports none.
	Load *LoadReport
	// FalselyRefused is true if callers take the status for a promise that the request hasn't run and never will, which the upstream doesn't
	// give.
	FalselyRefused bool
}

// LoadReport is the load that an upstream reports with a response, in requests.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the upstream's machine at the moment, in percent of the usual time; 0 if it isn't reported.
	Pace int
}

// End marks a response as complete; token counts are 0 for a plain service.
type End struct {
	FinishReason string
	InputTokens  int
	OutputTokens int
}

// ErrResponseDiscarded is returned by a Writer that discards the response because another model will be tried instead.
var ErrResponseDiscarded = errors.New("response discarded: another model will be tried instead")

// Writer receives a response in order, one Head, then chunks or bytes, then one End, and reports a response without End to the
// caller as incomplete.
type Writer interface {
	WriteHead(ctx context.Context, c *Call, h Head) error
	WriteChunk(ctx context.Context, c *Call, k Chunk) error
	WriteBytes(ctx context.Context, c *Call, b []byte) error
	WriteEnd(ctx context.Context, c *Call, e End) error
}

// Handler writes the response to a call, or returns a *Refusal.
type Handler interface {
	Handle(ctx context.Context, c *Call) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, c *Call) error

// Handle calls f(ctx, c).
func (f HandlerFunc) Handle(ctx context.Context, c *Call) error { return f(ctx, c) }

// Filter performs one step of a call and calls next to continue; a filter that does not call next ends the call.
type Filter interface {
	Filter(ctx context.Context, c *Call, next Handler) error
}

// Chain chains filters into one Handler, in order; the next of the last filter returns a NoUpstream refusal.
func Chain(filters ...Filter) Handler {
	var h Handler = HandlerFunc(func(context.Context, *Call) error {
		return Refuse(ReasonNoUpstream, 0, "no filter answered")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = HandlerFunc(func(ctx context.Context, c *Call) error { return f.Filter(ctx, c, next) })
	}
	return h
}
