package ledger

import (
	"context"

	"carawayknot.example/carawayknot/pkg/request"
)

// billWriter forwards an answer, and its end only after the bill has been persisted.
type billWriter struct {
	request.Writer
	biller *Biller
	billed bool
}

// WriteEnd bills the call, for which c.Usage must be complete, and then forwards the end.
func (w *billWriter) WriteEnd(ctx context.Context, c *request.Call, e request.End) error {
	if !w.billed {
		w.billed = true
		w.biller.persist(ctx, w.biller.newBill(c, request.Ran))
	}
	return w.Writer.WriteEnd(ctx, c, e)
}
