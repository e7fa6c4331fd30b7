package entry

import (
	"context"

	"carawayknot.example/carawayknot/pkg/ledger"
)

// billReads bounds the reads of the billing stream for one question.
const billReads = 400

// billIndex finds the bill of a request by reading the billing stream, newest part last; operators ask rarely.
type billIndex struct {
	Log Log
}

// Bill returns the first bill of the request in the log.
func (b *billIndex) Bill(ctx context.Context, requestID string) (bill any, found bool, err error) {
	from := int64(0)
	for range billReads {
		batch, err := b.Log.Read(ctx, ledger.BillingStream, from, readLimit, 0)
		if err != nil {
			if oldest, ok := oldestKept(err); ok && oldest > from {
				from = oldest
				continue
			}
			return nil, false, err
		}
		for _, e := range batch.Entries {
			if line, err := ledger.DecodeBill(e.Data); err == nil && line.RequestID == requestID {
				return line, true, nil
			}
			from = e.Offset + 1
		}
		if from >= batch.End {
			break
		}
	}
	return nil, false, nil
}
