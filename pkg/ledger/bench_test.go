package ledger

import (
	"fmt"
	"testing"

	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/request"
)

func chatBill(b *testing.B) *Bill {
	b.Helper()
	return &Bill{RequestID: uuid.NewString(), Workspace: "chai", Profile: "notes", Outcome: request.Ran, Cost: 1234,
		Usage: []request.Usage{{Version: "swala@2", Upstream: "engine-7", InputTokens: 900, OutputTokens: 220, Cost: 1234}},
		At:    1796243523000, Instance: "entry-17"}
}

func BenchmarkFold(b *testing.B) {
	for _, window := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("remembered=%d", window), func(b *testing.B) {
			f := &Fold{}
			bill := chatBill(b)
			size, offset := 0, int64(0)
			for b.Loop() {
				bill.RequestID = uuid.NewString()
				data, err := encodeBill(bill)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if f.Remembered() == window {
					f = &Fold{next: offset}
				}
				f.Add(backoffice.Entry{Offset: offset, At: bill.At, Data: data})
				offset++
			}
			b.ReportMetric(float64(size), "log-B/bill")
		})
	}
}
