package trace

import (
	"math"
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
)

// raisedLatencyFactor is the ratio to the control run above which the latency of a second counts as raised.
const raisedLatencyFactor = 1.5

// withoutZoneEvents returns a copy of the trace without its zone events.
func (t *Trace) withoutZoneEvents() *Trace {
	c := *t
	c.Events = slices.DeleteFunc(slices.Clone(t.Events), func(e Event) bool { return e.Zone != "" })
	return &c
}

// compareZoneMove compares the run with a control run of the same trace without zone events.
func compareZoneMove(moved, control *run) *ZoneMove {
	z := &ZoneMove{}
	for _, e := range moved.trace.Events {
		switch e.Kind {
		case EventZoneOut, EventZoneStop:
			if z.Zone == "" {
				z.Zone, z.LeftAt = e.Zone, e.At
			}
		case EventZoneIn, EventZoneStart:
			z.BackAt = max(z.BackAt, e.At)
		}
	}
	controlRecords := map[string]*Record{}
	for i := range control.records {
		rec := &control.records[i]
		controlRecords[rec.ID] = rec
		if !rec.succeeded() {
			z.FailedBefore++
		}
	}
	seconds := map[clock.Millis][2]float64{}
	for i := range moved.records {
		rec := &moved.records[i]
		controlRec := controlRecords[rec.ID]
		if !rec.succeeded() && controlRec.succeeded() {
			z.Failed++
		}
		if rec.succeeded() && controlRec.succeeded() && rec.At >= z.LeftAt {
			sums := seconds[rec.At/clock.Second]
			sums[0] += float64(rec.Total)
			sums[1] += float64(controlRec.Total)
			seconds[rec.At/clock.Second] = sums
		}
	}
	for _, sums := range seconds {
		slowdown := sums[0] / math.Max(1, sums[1])
		z.WorstSecond = max(z.WorstSecond, slowdown)
		if slowdown > raisedLatencyFactor {
			z.RaisedSeconds++
		}
	}
	return z
}
