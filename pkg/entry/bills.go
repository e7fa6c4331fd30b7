package entry

import (
	"context"

	"carawayknot.example/carawayknot/pkg/ledger"
)

// maxBillReads bounds the reads of the billing stream for one lookup.
const maxBillReads = 400

// billFinder looks up the bill of a request by scanning the billing stream from its oldest record. It keeps no index,
// since operators rarely look up bills.
type billFinder struct {
	Log Log
}

// Bill returns the first bill of the request in the log; found is false when none of the records read has one.
func (b *billFinder) Bill(ctx context.Context, requestID string) (bill any, found bool, err error) {
	from := int64(0)
	for range maxBillReads {
		batch, err := b.Log.Read(ctx, ledger.BillingStream, from, maxRecordsPerRead, 0)
		if err != nil {
			if oldest, ok := oldestRetained(err); ok && oldest > from {
				from = oldest
				continue
			}
			return nil, false, err
		}
		for _, e := range batch.Entries {
			if decoded, err := ledger.DecodeBill(e.Data); err == nil && decoded.RequestID == requestID {
				return decoded, true, nil
			}
			from = e.Offset + 1
		}
		if from >= batch.End {
			break
		}
	}
	return nil, false, nil
}
