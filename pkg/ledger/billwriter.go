package ledger

import (
	"context"

	"carawayknot.example/carawayknot/pkg/enquiry"
)

// billWriter passes an answer on, and its end only once the bill is safe.
type billWriter struct {
	enquiry.Writer
	biller *Biller
	billed bool
}

// WriteEnd bills the call; c.Usage must be complete by now.
func (w *billWriter) WriteEnd(ctx context.Context, c *enquiry.Call, e enquiry.End) error {
	if !w.billed {
		w.billed = true
		w.biller.makeSafe(ctx, w.biller.bill(c, enquiry.Ran))
	}
	return w.Writer.WriteEnd(ctx, c, e)
}
