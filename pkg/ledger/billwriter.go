package ledger

import (
	"context"

	"carawayknot.example/carawayknot/pkg/request"
)

// billWriter passes an answer on, and its end only once the bill is safe.
type billWriter struct {
	request.Writer
	biller *Biller
	billed bool
}

// WriteEnd bills the call; c.Usage must be complete by now.
func (w *billWriter) WriteEnd(ctx context.Context, c *request.Call, e request.End) error {
	if !w.billed {
		w.billed = true
		w.biller.makeSafe(ctx, w.biller.bill(c, request.Ran))
	}
	return w.Writer.WriteEnd(ctx, c, e)
}
