package gateway

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// comparisonOf returns the comparison of a service's releases; a new target starts a new one.
func (in *Instance) comparisonOf(service, target string) *comparison {
	in.mu.Lock()
	defer in.mu.Unlock()
	k := in.comparisons[service]
	if k == nil || k.target != target {
		k = &comparison{target: target}
		in.comparisons[service] = k
	}
	return k
}

// observe records an attempt in the metrics, the load tracker, the latency estimates and the comparison of releases.
func (in *Instance) observe(c *request.Call, s request.Sample) {
	in.metrics.ObserveAttempt(s)
	in.loadTracker.Report(s.Upstream, s.Load, s.At)
	model, tokens, latency := c.Model, 0, s.FirstToken
	if c.Request.Prompt != nil {
		tokens = c.Request.Prompt.Tokens + c.TokensAhead
	}
	if model == "" {
		model = c.Route.Name
	}
	slow := false
	if latency > 0 {
		slow = in.latencies.IsSlowFirstToken(model, tokens, latency)
		in.latencies.RecordFirstToken(model, tokens, latency)
	}
	rollout := in.control.Snapshot().Moves[c.Upstream.Service]
	running := rollout != nil && rollout.State == catalogue.ReleaseRunning
	onTarget := running && c.Upstream.Release == rollout.Target
	slowStream := s.Gap > 0 && in.latencies.IsSlowGap(model, s.Gap)
	if s.Gap > 0 && !onTarget {
		in.latencies.RecordGap(model, s.Gap)
	}
	if !running || s.Result != request.ResultComplete && in.suspects.Suspect(c) != "" {
		// A quarantined prompt crashes upstreams of any release.
		return
	}
	k := in.comparisonOf(rollout.Service, rollout.Target)
	k.RecordAttempt(c.Route.Name, s.Upstream, onTarget, s.Result, slow)
	if s.Gap > 0 {
		k.RecordStream(c.Route.Name, s.Upstream, onTarget, slowStream)
	}
}

// keyPrefix returns the prefix of the keys under which instances exchange their counts for a release rollout.
func (k *comparison) keyPrefix(service string) string { return service + " " + k.target + " " }

// ownLoads returns this instance's pending work by upstream, and its counts for release rollouts, its calibration of confidences and its
// evidence of crashes.
func (in *Instance) ownLoads() (work, counts map[string]float32) {
	counts = map[string]float32{}
	in.calibration.AddOwn(counts)
	in.suspects.AddOwn(counts)
	for _, rollout := range in.control.Snapshot().Moves {
		in.releases.AddOwnSessions(rollout, in.Clock.Now(), counts)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for service, k := range in.comparisons {
		k.AddOwnCounts(k.keyPrefix(service), counts)
	}
	return in.loadTracker.OwnWork(), counts
}

// applyPeerLoads replaces the pending work and the counts of the other instances.
func (in *Instance) applyPeerLoads(work, counts map[string]float32) {
	in.loadTracker.SetPeerWork(work)
	in.calibration.SetPeers(counts)
	if len(in.control.Snapshot().Members) > 0 {
		// Before the members are known there is nobody to hear from.
		in.suspects.ApplyPeers(counts)
	}
	for _, rollout := range in.control.Snapshot().Moves {
		in.releases.PinPeerSessions(rollout, counts)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for service, k := range in.comparisons {
		k.SetPeerCounts(k.keyPrefix(service), counts)
	}
}
