package gateway

import (
	"context"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// comparisonOf returns the comparison of a service's releases, a new one for a new target.
func (h *House) comparisonOf(service, target string) *comparison {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.comparisons[service]
	if k == nil || k.target != target {
		k = &comparison{target: target}
		h.comparisons[service] = k
	}
	return k
}

// observe takes in what an attempt showed.
func (h *House) observe(c *request.Call, s request.Sample) {
	h.metrics.Observe(s)
	h.board.Report(s.Upstream, s.Load, s.At)
	model, tokens, took := c.Model, 0, s.FirstToken
	if c.Request.Prompt != nil {
		tokens = c.Request.Prompt.Tokens
	}
	if model == "" {
		model = c.Route.Name
	}
	slow := false
	if took > 0 {
		slow = h.paces.Slow(model, tokens, took)
		h.paces.Take(model, tokens, took)
	}
	m := h.control.Snapshot().Moves[c.Upstream.Service]
	running := m != nil && m.State == catalogue.ReleaseRunning
	onTarget := running && c.Upstream.Release == m.Target
	drags := s.Gap > 0 && h.paces.Drags(model, s.Gap)
	if s.Gap > 0 && !onTarget {
		h.paces.TakeGap(model, s.Gap)
	}
	if !running {
		return
	}
	k := h.comparisonOf(m.Service, m.Target)
	k.Take(c.Route.Name, s.Upstream, onTarget, s.Result, slow)
	if s.Gap > 0 {
		k.TakePace(c.Route.Name, s.Upstream, onTarget, drags)
	}
}

// prefix begins the keys under which instances tell each other what they saw of a move.
func (k *comparison) prefix(service string) string { return service + " " + k.target + " " }

// ownLoads returns the work under way and what was seen of the moves that are judged.
func (h *House) ownLoads() (work, seen map[string]float32) {
	seen = map[string]float32{}
	h.lanes.Own(h.Clock.Now(), seen)
	for _, m := range h.control.Snapshot().Moves {
		h.releases.Own(m, h.Clock.Now(), seen)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, k := range h.comparisons {
		k.Own(k.prefix(service), seen)
	}
	return h.board.Own(), seen
}

// othersLoads takes in what other instances have under way and saw.
func (h *House) othersLoads(work, seen map[string]float32) {
	h.board.Tell(work)
	h.lanes.Tell(seen)
	for _, m := range h.control.Snapshot().Moves {
		h.releases.Tell(m, seen)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, k := range h.comparisons {
		k.Tell(k.prefix(service), seen)
	}
}

func (h *House) told(service, target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.toldMoves[service] == target
}

func (h *House) markTold(service, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.toldMoves[service] = target
}

// noteTold remembers which moves another instance has told of.
func (h *House) noteTold(b archive.Batch[catalogue.ReleaseStatus]) {
	for _, st := range b.Items {
		if st.Removed {
			continue
		}
		h.markTold(st.Service, st.Target)
		if st.State == catalogue.ReleaseReverted {
			h.mu.Lock()
			delete(h.reverting, st.Service)
			h.mu.Unlock()
		}
	}
}

// revert has a move told as reverted, again and again until the store has it.
func (h *House) revert(m *catalogue.ReleaseMove) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reverting[m.Service] = revert{move: m, at: h.Clock.Now() + h.spread(m)}
}

// revert is a move that is to be told as reverted from at on.
type revert struct {
	move *catalogue.ReleaseMove
	at   clock.Millis
}

func (h *House) retryReverts(ctx context.Context) error {
	m := &Mover{House: h}
	for {
		if err := clock.Sleep(ctx, h.Clock, movePeriod); err != nil {
			return err
		}
		h.mu.Lock()
		var open []*catalogue.ReleaseMove
		for _, r := range h.reverting {
			if h.Clock.Now() >= r.at {
				open = append(open, r.move)
			}
		}
		h.mu.Unlock()
		for _, move := range open {
			if m.put(ctx, move, catalogue.ReleaseReverted) {
				h.mu.Lock()
				delete(h.reverting, move.Service)
				h.mu.Unlock()
			}
		}
	}
}
