package ledger

import (
	"container/list"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// defaultWindow is how long after the end of a request its bill may come a second time, in milliseconds.
const defaultWindow = 3600 * clock.Second

// Total sums up bills.
type Total struct {
	Requests int64
	Cost     catalogue.Micros
}

// Fold adds up the billing stream in offset order, one bill a request. It is pure and bounded by Window.
type Fold struct {
	// Window is how long request ids are remembered after the end of their request, in milliseconds; 0 means one hour.
	Window clock.Millis

	// Totals are by workspace.
	Totals map[string]Total
	// Doubles counts the bills that had come before.
	Doubles int64
	// Late counts the bills that are in no total, because they came after the window, so that they may be doubles, or
	// because their time is in the future; LateCost is their sum.
	Late     int64
	LateCost catalogue.Micros
	// Bad counts the records that are no bills.
	Bad int64

	next  int64
	logAt clock.Millis
	known map[BillKey]*list.Element
	// order has the remembered ids in the order in which they came.
	order list.List
}

type knownBill struct {
	key BillKey
	at  clock.Millis
}

// Add folds one entry and tells whether it was counted in a total.
func (f *Fold) Add(e backoffice.Entry) bool {
	if e.Offset < f.next {
		return false
	}
	f.next = e.Offset + 1
	l, err := DecodeBill(e.Data)
	if err != nil || l.RequestID == "" {
		f.Bad++
		return false
	}
	f.logAt = max(f.logAt, e.At)
	f.expire()
	if f.known[l.Key()] != nil {
		f.Doubles++
		return false
	}
	if l.At < f.logAt-f.window() || l.At > e.At+clockSkew {
		f.Late++
		f.LateCost += l.Cost
		return false
	}
	f.remember(l)
	t := f.Totals[l.Workspace]
	t.Requests++
	t.Cost += l.Cost
	f.Totals[l.Workspace] = t
	return true
}

// Next returns the offset to fold next.
func (f *Fold) Next() int64 { return f.next }

// Remembered returns how many request ids are kept.
func (f *Fold) Remembered() int { return len(f.known) }

func (f *Fold) window() clock.Millis { return orDefault(f.Window, defaultWindow) }

func (f *Fold) remember(l *Bill) {
	if f.known == nil {
		f.known = map[BillKey]*list.Element{}
	}
	if f.Totals == nil {
		f.Totals = map[string]Total{}
	}
	f.known[l.Key()] = f.order.PushBack(knownBill{key: l.Key(), at: f.logAt})
}

// expire forgets ids that came a window ago. A bill is no older than its first copy in the log, but for the skew of
// clocks, so that a further copy is late by then.
func (f *Fold) expire() {
	for first := f.order.Front(); first != nil; first = f.order.Front() {
		b := first.Value.(knownBill)
		if b.at >= f.logAt-f.window()-clockSkew {
			return
		}
		f.order.Remove(first)
		delete(f.known, b.key)
	}
}

// clockSkew bounds how far an instance's wall clock may be ahead of the log's, in milliseconds.
const clockSkew = 60 * clock.Second
