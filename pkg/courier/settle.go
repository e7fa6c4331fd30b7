package courier

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/enquiry"
)

// Settle is the filter that tells the outcome of a call over all its attempts: a call of which one attempt may have run is
// never NotRun, whatever stopped the attempts after it.
type Settle struct{}

// Filter passes the call on and raises NotRun to MayHaveRun where an attempt may have run.
func (Settle) Filter(ctx context.Context, c *enquiry.Call, next enquiry.Handler) error {
	err := next.Handle(ctx, c)
	var r *enquiry.Refusal
	if !c.Sent || !errors.As(err, &r) || r.Outcome != enquiry.NotRun {
		return err
	}
	told := *r
	told.Outcome = enquiry.MayHaveRun
	return &told
}

// errSentBefore refuses to send a call that must not run twice after an attempt that may have run.
func errSentBefore(c *enquiry.Call) *enquiry.Refusal {
	return &enquiry.Refusal{
		Outcome: enquiry.MayHaveRun, Reason: enquiry.ReasonUpstreamFailed,
		Detail: "an earlier attempt may have run, upstream " + c.Upstream.Name + " was not asked",
	}
}
