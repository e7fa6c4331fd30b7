package delivery

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

// Settle is the filter that tells the outcome of a call over all its attempts: a call of which one attempt may have run is
// never NotRun, whatever stopped the attempts after it.
type Settle struct{}

// Filter passes the call on and raises NotRun to MayHaveRun where an attempt may have run.
func (Settle) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	err := next.Handle(ctx, c)
	var r *request.Refusal
	if !c.Sent || !errors.As(err, &r) || r.Outcome != request.NotRun {
		return err
	}
	told := *r
	told.Outcome = request.MayHaveRun
	return &told
}

// errSentBefore refuses to send a call that must not run twice after an attempt that may have run.
func errSentBefore(c *request.Call) *request.Refusal {
	return &request.Refusal{
		Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed,
		Detail: "an earlier attempt may have run, upstream " + c.Upstream.Name + " was not asked",
	}
}
