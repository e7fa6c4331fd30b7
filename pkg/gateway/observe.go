package gateway

import (
	"context"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// comparisonOf returns the comparison of a service's releases; a new target starts a new one.
func (h *Instance) comparisonOf(service, target string) *comparison {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.comparisons[service]
	if k == nil || k.target != target {
		k = &comparison{target: target}
		h.comparisons[service] = k
	}
	return k
}

// observe records an attempt in the metrics, the load board, the latency estimates and the comparison of releases.
func (h *Instance) observe(c *request.Call, s request.Sample) {
	h.metrics.ObserveAttempt(s)
	h.board.Report(s.Upstream, s.Load, s.At)
	model, tokens, latency := c.Model, 0, s.FirstToken
	if c.Request.Prompt != nil {
		tokens = c.Request.Prompt.Tokens
	}
	if model == "" {
		model = c.Route.Name
	}
	slow := false
	if latency > 0 {
		slow = h.latencies.IsSlowFirstToken(model, tokens, latency)
		h.latencies.RecordFirstToken(model, tokens, latency)
	}
	m := h.control.Snapshot().Moves[c.Upstream.Service]
	running := m != nil && m.State == catalogue.ReleaseRunning
	onTarget := running && c.Upstream.Release == m.Target
	slowStream := s.Gap > 0 && h.latencies.IsSlowGap(model, s.Gap)
	if s.Gap > 0 && !onTarget {
		h.latencies.RecordGap(model, s.Gap)
	}
	if !running {
		return
	}
	k := h.comparisonOf(m.Service, m.Target)
	k.RecordAttempt(c.Route.Name, s.Upstream, onTarget, s.Result, slow)
	if s.Gap > 0 {
		k.RecordPace(c.Route.Name, s.Upstream, onTarget, slowStream)
	}
}

// keyPrefix returns the prefix of the keys under which instances exchange their counts for a release rollout.
func (k *comparison) keyPrefix(service string) string { return service + " " + k.target + " " }

// localLoads returns this instance's outstanding work by upstream, and its counts for long prompts and release rollouts.
func (h *Instance) localLoads() (work, counts map[string]float32) {
	counts = map[string]float32{}
	h.longPromptShares.AddOwnWork(h.Clock.Now(), counts)
	for _, m := range h.control.Snapshot().Moves {
		h.releases.AddOwnSessions(m, h.Clock.Now(), counts)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, k := range h.comparisons {
		k.AddLocalCounts(k.keyPrefix(service), counts)
	}
	return h.board.OwnWork(), counts
}

// applyRemoteLoads replaces the outstanding work and the counts of the other instances.
func (h *Instance) applyRemoteLoads(work, counts map[string]float32) {
	h.board.SetPeerWork(work)
	h.longPromptShares.SetPeerWork(counts)
	for _, m := range h.control.Snapshot().Moves {
		h.releases.PinPeerSessions(m, counts)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, k := range h.comparisons {
		k.SetRemoteCounts(k.keyPrefix(service), counts)
	}
}

func (h *Instance) statusWritten(service, target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writtenStatuses[service] == target
}

func (h *Instance) markStatusWritten(service, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writtenStatuses[service] = target
}

// recordStatuses notes for which rollouts the store has a status, and drops pending reverts that the store has already.
func (h *Instance) recordStatuses(b archive.Batch[catalogue.ReleaseStatus]) {
	for _, st := range b.Items {
		if st.Removed {
			continue
		}
		h.markStatusWritten(st.Service, st.Target)
		if st.State == catalogue.ReleaseReverted {
			h.mu.Lock()
			delete(h.pendingReverts, st.Service)
			h.mu.Unlock()
		}
	}
}

// queueRevert queues the status of a reverted rollout, which is written repeatedly until the store has it.
func (h *Instance) queueRevert(m *catalogue.ReleaseMove) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingReverts[m.Service] = pendingRevert{rollout: m, notBefore: h.Clock.Now() + h.writeDelay(m)}
}

// pendingRevert is a reverted rollout whose status is to be written from notBefore on.
type pendingRevert struct {
	rollout   *catalogue.ReleaseMove
	notBefore clock.Millis
}

// writeReverts writes the statuses of pending reverts and retries those that fail.
func (h *Instance) writeReverts(ctx context.Context) error {
	c := &RolloutController{Instance: h}
	for {
		if err := clock.Sleep(ctx, h.Clock, rolloutPeriod); err != nil {
			return err
		}
		h.mu.Lock()
		var due []*catalogue.ReleaseMove
		for _, r := range h.pendingReverts {
			if h.Clock.Now() >= r.notBefore {
				due = append(due, r.rollout)
			}
		}
		h.mu.Unlock()
		for _, rollout := range due {
			if c.putStatus(ctx, rollout, catalogue.ReleaseReverted) {
				h.mu.Lock()
				delete(h.pendingReverts, rollout.Service)
				h.mu.Unlock()
			}
		}
	}
}
