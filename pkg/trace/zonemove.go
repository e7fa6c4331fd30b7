package trace

import (
	"math"
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
)

// raisedFactor is how much longer answers must take in a second for it to count as raised.
const raisedFactor = 1.5

// withoutMoves returns the trace without the moves of zones.
func (t *Trace) withoutMoves() *Trace {
	c := *t
	c.Events = slices.DeleteFunc(slices.Clone(t.Events), func(e Event) bool { return e.Zone != "" })
	return &c
}

// compareMove compares the run with one of the same trace in which no zone moved.
func compareMove(moved, still *run) *ZoneMove {
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
	before := map[string]*Record{}
	for i := range still.records {
		rec := &still.records[i]
		before[rec.ID] = rec
		if !rec.ok() {
			z.FailedBefore++
		}
	}
	seconds := map[clock.Millis][2]float64{}
	for i := range moved.records {
		rec := &moved.records[i]
		old := before[rec.ID]
		if !rec.ok() && old.ok() {
			z.Failed++
		}
		if rec.ok() && old.ok() && rec.At >= z.LeftAt {
			sums := seconds[rec.At/clock.Second]
			sums[0] += float64(rec.Total)
			sums[1] += float64(old.Total)
			seconds[rec.At/clock.Second] = sums
		}
	}
	for _, sums := range seconds {
		factor := sums[0] / math.Max(1, sums[1])
		z.WorstSecond = max(z.WorstSecond, factor)
		if factor > raisedFactor {
			z.RaisedSeconds++
		}
	}
	return z
}
