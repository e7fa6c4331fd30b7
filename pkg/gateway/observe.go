package gateway

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/rating"
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
	if s.Answered && !c.Route.Streaming {
		in.countUsage(c)
	}
	in.loadTracker.Report(s.Upstream, s.Load, s.At)
	in.planner.Gap(c, s.Gap, s.At)
	model, tokens := latencyKey(c)
	latency, slow := s.FirstToken, false
	if latency > 0 {
		slow = in.latencies.IsSlowFirstToken(model, tokens, latency)
	}
	rollout := in.control.Snapshot().Moves[c.Upstream.Service]
	running := rollout != nil && rollout.State == catalogue.ReleaseRunning
	onTarget := running && c.Upstream.Release == rollout.Target
	if latency > 0 && !onTarget {
		in.latencies.RecordFirstToken(model, tokens, latency)
	}
	slowStream := s.Gap > 0 && in.latencies.IsSlowGap(model, s.Gap)
	if s.Gap > 0 && !onTarget {
		in.latencies.RecordGap(model, s.Gap)
	}
	if !running || s.Result != request.ResultComplete && in.suspects.Suspect(c) != "" {
		// A quarantined prompt crashes upstreams of any release.
		return
	}
	result, slow, ok := releaseEvidence(c, s, slow)
	if k, a := in.awaitedOf(c); a != nil {
		if ok {
			k.Ended(a, result, slow)
		}
		if s.Gap > 0 {
			k.EndedStream(a, slowStream)
		}
		return
	}
	k := in.comparisonOf(rollout.Service, rollout.Target)
	if ok {
		k.RecordAttempt(c.Route.Name, s.Upstream, onTarget, result, slow)
	}
	if s.Gap > 0 {
		k.RecordStream(c.Route.Name, s.Upstream, onTarget, slowStream)
	}
}

// latencyKey returns the model or route by which the latency of a call's answer is known, and the tokens that are read before it begins.
func latencyKey(c *request.Call) (model string, tokens int) {
	model = c.ListedModel(c.Model)
	if model == "" {
		model = c.Route.Name
	}
	if c.Request.Prompt != nil {
		tokens = c.Request.Prompt.Tokens + c.TokensAhead
	}
	return model, tokens
}

// progress records what is known of an attempt before it ends: that its answer has begun, or the pace of its stream. An answer that outlasts a
// rollout would come too late to judge the release.
func (in *Instance) progress(c *request.Call, s request.Sample) {
	if s.Gap == 0 {
		in.countUsage(c)
	}
	k, a := in.awaitedOf(c)
	if a == nil {
		return
	}
	if s.Gap == 0 {
		k.Begun(a)
		return
	}
	model, _ := latencyKey(c)
	k.Paced(a, in.latencies.IsSlowGap(model, s.Gap))
}

// awaited is an attempt at a service with a running rollout.
type awaited struct {
	comparison *comparison
	attempt    *rating.Awaited
}

// awaitedOf returns the attempt of a call that is under way, or nil if the rollout began after it or it is a retry.
func (in *Instance) awaitedOf(c *request.Call) (*comparison, *rating.Awaited) {
	in.mu.Lock()
	defer in.mu.Unlock()
	a := in.awaited[c]
	return a.comparison, a.attempt
}

// releaseEvidence returns what an attempt says of the release of its upstream. It says nothing if another attempt of the same call has
// failed: some requests fail at any upstream, and their retries would count several times. An attempt that was ended because its
// upstream was silent is a late answer, and a failure without an answer is an answer cut off.
func releaseEvidence(c *request.Call, s request.Sample, slow bool) (result request.Result, isSlow, ok bool) {
	if isRetry(c) {
		return "", false, false
	}
	if s.Result != request.ResultFailed || s.Answered {
		return s.Result, slow, true
	}
	if gaveUpWaiting(c, s) {
		return request.ResultComplete, true, true
	}
	return request.ResultCut, false, true
}

// isRetry reports whether another attempt of the call has failed.
func isRetry(c *request.Call) bool { return len(c.Excluded) > 0 }

// gaveUpWaiting reports whether an attempt without an answer was ended because its upstream was silent for too long.
func gaveUpWaiting(c *request.Call, s request.Sample) bool {
	return s.FirstToken > 0 || c.FirstByteTimeout > 0 && s.Total >= c.FirstByteTimeout || s.At >= c.Request.Deadline
}

// recordSend counts a request that is sent to a service whose rollout is running, and awaits its answer until the returned function is called.
func (in *Instance) recordSend(c *request.Call, rollout *catalogue.ReleaseRollout, onTarget bool) (ended func()) {
	k := in.comparisonOf(rollout.Service, rollout.Target)
	k.RecordSend(onTarget)
	if isRetry(c) {
		return func() {}
	}
	var lateAt clock.Millis
	if after, known := in.latencies.SlowAfter(latencyKey(c)); known {
		lateAt = in.Clock.Now() + after
	}
	a := k.Await(c.Route.Name, c.Upstream.Name, onTarget, lateAt)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.awaited[c] = awaited{comparison: k, attempt: a}
	return func() {
		k.Drop(a)
		in.mu.Lock()
		defer in.mu.Unlock()
		delete(in.awaited, c)
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
	in.limits.AddOwn(in.Clock.Now(), counts)
	in.slots.AddOwn(in.Clock.Now(), counts)
	in.addOwnDemand(counts)
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
	in.forgetEnded(in.Clock.Now())
	in.loadTracker.SetPeerWork(work)
	in.calibration.SetPeers(counts)
	in.suspects.ApplyPeers(counts)
	in.limits.SetPeers(in.Clock.Now(), counts)
	in.slots.SetPeers(in.control.Snapshot().Upstreams, in.Clock.Now(), counts)
	in.applyPeerDemand(counts)
	for _, rollout := range in.control.Snapshot().Moves {
		in.releases.PinPeerSessions(rollout, counts)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for service, k := range in.comparisons {
		k.SetPeerCounts(k.keyPrefix(service), counts)
	}
}
