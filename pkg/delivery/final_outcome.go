package delivery

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

// FinalOutcome is the filter that combines the outcomes of all attempts of a call: if any attempt may have run, the call is never
// reported as NotRun, whatever stopped later attempts.
type FinalOutcome struct{}

// Filter calls next and changes NotRun to MayHaveRun if an attempt may have run.
func (FinalOutcome) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	err := next.Handle(ctx, c)
	var r *request.Refusal
	if !c.Sent || !errors.As(err, &r) || r.Outcome != request.NotRun {
		return err
	}
	raised := *r
	raised.Outcome = request.MayHaveRun
	return &raised
}

// alreadySentRefusal returns the refusal for a non-repeatable call of which an earlier attempt may have run.
func alreadySentRefusal(c *request.Call) *request.Refusal {
	return &request.Refusal{
		Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed,
		Detail: "an earlier attempt may have run, upstream " + c.Upstream.Name + " was not asked",
	}
}
