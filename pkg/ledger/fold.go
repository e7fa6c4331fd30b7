package ledger

import (
	"container/list"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// defaultDedupWindow is how long after the end of a request a copy of its bill is recognized as a duplicate.
const defaultDedupWindow = 3600 * clock.Second

// Total is the number and the cost of the billed requests of one workspace.
type Total struct {
	Requests int64
	Cost     catalogue.Micros
}

// Fold sums up the billing stream in offset order, counts each request once, and depends on nothing but the entries.
type Fold struct {
	// Window is how long bills are remembered for deduplication, in milliseconds; 0 means one hour. It bounds the memory.
	Window clock.Millis

	// Totals has the sums by workspace.
	Totals map[string]Total
	// Duplicates counts the copies of bills that are in a total.
	Duplicates int64
	// Late counts the bills that are in no total because they came after the window, so that they may be duplicates, or
	// because their time is in the future. LateCost is the sum of their costs.
	Late     int64
	LateCost catalogue.Micros
	// Malformed counts the records that can't be decoded as a bill or lack a request id.
	Malformed int64

	next int64
	// logTime is the latest time, by the clock of the log, of an entry with a bill.
	logTime clock.Millis
	seen    map[BillKey]*list.Element
	// seenOrder has the keys of seen in order of arrival, oldest first.
	seenOrder list.List
}

type seenBill struct {
	key BillKey
	// at is the logTime when the bill arrived.
	at clock.Millis
}

// Add folds one entry and reports whether it was counted in a total; entries below Next are ignored.
func (f *Fold) Add(e backoffice.Entry) bool {
	if e.Offset < f.next {
		return false
	}
	f.next = e.Offset + 1
	bill, err := DecodeBill(e.Data)
	if err != nil || bill.RequestID == "" {
		f.Malformed++
		return false
	}
	f.logTime = max(f.logTime, e.At)
	f.expire()
	if f.seen[bill.Key()] != nil {
		f.Duplicates++
		return false
	}
	if bill.At < f.logTime-f.window() || bill.At > e.At+maxClockSkew {
		f.Late++
		f.LateCost += bill.Cost
		return false
	}
	f.remember(bill)
	t := f.Totals[bill.Workspace]
	t.Requests++
	t.Cost += bill.Cost
	f.Totals[bill.Workspace] = t
	return true
}

// Next returns the lowest offset that Add accepts.
func (f *Fold) Next() int64 { return f.next }

// Remembered returns how many bills are remembered for deduplication.
func (f *Fold) Remembered() int { return len(f.seen) }

func (f *Fold) window() clock.Millis { return orDefault(f.Window, defaultDedupWindow) }

func (f *Fold) remember(bill *Bill) {
	if f.seen == nil {
		f.seen = map[BillKey]*list.Element{}
	}
	if f.Totals == nil {
		f.Totals = map[string]Total{}
	}
	f.seen[bill.Key()] = f.seenOrder.PushBack(seenBill{key: bill.Key(), at: f.logTime})
}

// expire forgets bills that arrived more than a window and the clock skew ago. A request ends before the first copy of its
// bill arrives, up to the clock skew, so that any further copy counts as late from then on.
func (f *Fold) expire() {
	for first := f.seenOrder.Front(); first != nil; first = f.seenOrder.Front() {
		b := first.Value.(seenBill)
		if b.at >= f.logTime-f.window()-maxClockSkew {
			return
		}
		f.seenOrder.Remove(first)
		delete(f.seen, b.key)
	}
}

// maxClockSkew bounds how far an instance's wall clock may be ahead of the log's.
const maxClockSkew = 60 * clock.Second
