package gateway

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/rating"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// movePeriod is how often moves are looked at, in milliseconds.
	movePeriod clock.Millis = 100
	// completePart is the part of the span after which a good move is completed; what is in flight on the old release ends before.
	completePart = 0.8
	// spreadPart is the part of a move's span over which instances spread what each of them could tell, so that mostly one does.
	spreadPart = 0.1
	// putTime bounds a write of a status, in milliseconds.
	putTime clock.Millis = 1500
)

// StatusWriter tells operators how far a move is.
type StatusWriter interface {
	PutStatus(ctx context.Context, st catalogue.ReleaseStatus) error
}

// Mover judges the moves to new releases and settles them. All instances do so on their own; a status that two of them write
// does no harm.
type Mover struct {
	House *House
}

type comparison struct {
	target string
	rating.Comparison
}

// Round looks at each move once.
func (m *Mover) Round(ctx context.Context) {
	h := m.House
	now := h.Clock.Now()
	s := h.control.Snapshot()
	for service, move := range s.Moves {
		if move.State != catalogue.ReleaseRunning {
			continue
		}
		k := h.comparisonOf(service, move.Target)
		v := k.Verdict()
		delay := h.spread(move)
		switch {
		case v.Bad:
			h.Log.Info("release is bad", "service", service, "target", move.Target, "answers", v.Answers, "failed", v.Failed, "slow", v.Slow, "dragging", v.Dragging)
			m.settle(ctx, move, catalogue.ReleaseReverted)
		case now >= move.StartedAt+clock.Millis(completePart*float64(move.Span))+delay && hasRelease(s, service, move.Target):
			h.Log.Info("release is good", "service", service, "target", move.Target, "answers", v.Answers, "failed", v.Failed, "slow", v.Slow, "dragging", v.Dragging)
			m.settle(ctx, move, catalogue.ReleaseCompleted)
		case now >= move.StartedAt+delay && !h.told(service, move.Target):
			m.put(ctx, move, catalogue.ReleaseRunning)
		}
	}
}

// spread returns how long this instance waits before it tells something of a move that others can tell as well.
func (h *House) spread(m *catalogue.ReleaseMove) clock.Millis {
	return clock.Millis(request.Fraction("spread "+m.Service+m.Target, h.Settings.Name) * spreadPart * float64(m.Span))
}

func hasRelease(s *catalogue.Snapshot, service, release string) bool {
	for _, u := range s.Pools[service] {
		if u.Release == release {
			return true
		}
	}
	return false
}

// settle stops the use of the losing release here at once, and tells operators. A completed move is told before anything
// depends on it.
func (m *Mover) settle(ctx context.Context, move *catalogue.ReleaseMove, state catalogue.ReleaseState) {
	h := m.House
	if state == catalogue.ReleaseReverted {
		h.control.Tell(settled{service: move.Service, target: move.Target, state: state})
		h.revert(move)
		return
	}
	if m.put(ctx, move, state) {
		h.control.Tell(settled{service: move.Service, target: move.Target, state: state})
	}
}

func (m *Mover) put(ctx context.Context, move *catalogue.ReleaseMove, state catalogue.ReleaseState) bool {
	h := m.House
	ctx, cancel := clock.WithTimeout(ctx, h.Clock, putTime)
	defer cancel()
	st := catalogue.ReleaseStatus{Service: move.Service, Target: move.Target, State: state, Started: true, StartedAt: move.StartedAt}
	if err := h.Status.PutStatus(ctx, st); err != nil {
		h.Log.Info("status not told", "service", move.Service, "target", move.Target, "state", state, "cause", err.Error())
		return false
	}
	h.Log.Info("status told", "service", move.Service, "target", move.Target, "state", state)
	h.markTold(move.Service, move.Target)
	return true
}
