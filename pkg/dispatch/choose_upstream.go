package dispatch

import (
	"math"
	"slices"
	"strconv"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/occupancy"
	"carawayknot.example/carawayknot/pkg/placement"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// coldRateShare is the fraction of a cold upstream's ColdRate that all instances together may use.
	coldRateShare = 0.6
	// minMembers is the smallest number of instances assumed to share ColdRate, since an instance may not know all of them yet.
	minMembers = 9
	// streamFirstByteShare and callFirstByteShare are the fractions of the route's target latency after which an attempt without a
	// first byte is retried at another upstream: the target of a stream leaves time for two attempts, that of a plain call for two
	// that take twice the usual time.
	streamFirstByteShare = 0.7
	callFirstByteShare   = 0.55
)

// choose selects the service, the release and the upstream of the next attempt, and enters the request there.
func (f *Dispatch) choose(c *request.Call) (choice placement.Choice, stay *occupancy.Stay, refusal *request.Refusal) {
	s, now := f.Snapshot(), f.Clock.Now()
	service := Service(c)
	pool := s.Routes.Pools[service]
	if pool == nil {
		return placement.Choice{}, nil, request.Refuse(request.ReasonNoUpstream, jitter(c.Request.ID, clock.Second), "the service %s is not known", service)
	}
	c.Pool = pool
	listed, soonest := f.Notices.Open(s.Pools[service], now)
	if len(listed) == 0 && len(s.Pools[service]) > 0 {
		return placement.Choice{}, nil, f.Notices.refuse(c, service, soonest)
	}
	candidates := f.filterByRelease(s, c, listed, now)
	open := f.Limits.Open(withoutExcluded(candidates, c.Excluded), now)
	if len(open) == 0 && len(candidates) > 0 {
		open = f.Limits.Open(withoutExcluded(f.otherUpstreams(s, listed, candidates), c.Excluded), now)
	}
	choice, stay, warm := f.chooseOpen(s, c, f.Slots.Open(open, now), now)
	switch {
	case choice.Upstream != nil:
	case len(open) == 0 && len(candidates) > 0:
		return placement.Choice{}, nil, f.Limits.Refuse(c, service, candidates, now)
	case len(open) > 0 && len(f.Slots.Open(open, now)) == 0:
		return placement.Choice{}, nil, request.Refuse(request.ReasonOverloaded, f.Slots.RetryAfter(service, open, c.Request.Deadline, now), "the slots of all upstreams of %s are taken", service)
	default:
		return placement.Choice{}, nil, request.Refuse(request.ReasonNoUpstream, jitter(c.Request.ID, clock.Second/2), "no upstream of %s may get new work", service)
	}
	c.FirstByteTimeout, c.TokensAhead = 0, tokensAhead(pool, c.Model, f.Loads.Work(choice.Upstream.Name))
	if warm > 1 && !c.Request.HandedOver && !c.HeadWritten && c.Runs+1 < c.Route.MaxAttempts {
		c.FirstByteTimeout = f.firstByteTimeout(c, choice.Forecast)
	}
	return choice, stay, nil
}

// chooseOpen selects one of the upstreams that have room and are below their limits, and counts the request toward both; it also returns the
// number of warm ones.
func (f *Dispatch) chooseOpen(s *catalogue.Snapshot, c *request.Call, open []*catalogue.Upstream, now clock.Millis) (choice placement.Choice, stay *occupancy.Stay, warmCount int) {
	selector := &Selector{Now: now, Zone: f.Zone, Loads: f.Loads, Outliers: f.Outliers, TieBreakKey: c.Request.ID + strconv.Itoa(c.Attempts)}
	if c.Route.Affinity {
		selector.Key, selector.PromptWork = PromptAffinityKey(c), promptWork(c)
	}
	for {
		warm, cold := splitCold(open, now)
		choice = f.selectWarm(c, selector, warm)
		u := choice.Upstream
		if u == nil {
			u = f.chooseCold(s, c.Pool, cold, now)
		} else if relief := f.chooseCold(s, c.Pool, selector.soonerThan(u, cold), now); relief != nil {
			u = relief
		}
		if u == nil {
			return placement.Choice{}, nil, len(warm)
		}
		if u != choice.Upstream {
			choice = placement.Choice{Upstream: u}
		}
		if f.Limits.TryTake(u.Name, now) {
			if stay, ok := f.Slots.TryEnter(u, now); ok {
				return choice, stay, len(warm)
			}
		}
		// Another call has taken what the limit or the room allows.
		open = slices.DeleteFunc(slices.Clone(open), func(other *catalogue.Upstream) bool { return other == u })
	}
}

// open returns the upstreams to which this instance may send a request now, by what they said of themselves.
func (f *Dispatch) open(upstreams []*catalogue.Upstream, now clock.Millis) []*catalogue.Upstream {
	listed, _ := f.Notices.Open(upstreams, now)
	return f.Slots.Open(f.Limits.Open(listed, now), now)
}

// otherUpstreams returns those of the listed upstreams that have the old release if the candidates are those of the new one in a running rollout; there are none
// otherwise, because the old release's requests may not go to a release that is not known to be good.
func (f *Dispatch) otherUpstreams(s *catalogue.Snapshot, listed, candidates []*catalogue.Upstream) []*catalogue.Upstream {
	service := candidates[0].Service
	rollout := s.Moves[service]
	if rollout == nil || rollout.State != catalogue.ReleaseRunning || candidates[0].Release != rollout.Target {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(listed), func(u *catalogue.Upstream) bool { return u.Release == rollout.Target })
}

// firstByteTimeout returns the time without a first byte after which the attempt is retried at another upstream.
func (f *Dispatch) firstByteTimeout(c *request.Call, predicted placement.Forecast) clock.Millis {
	if c.Request.Prompt == nil {
		return clock.Millis(callFirstByteShare * float64(c.Route.Target))
	}
	if predicted.FirstToken > 0 {
		return max(clock.Millis(streamFirstByteShare*float64(c.Route.Target)), firstByteTimeoutFactor*predicted.FirstToken)
	}
	return f.Latency.FirstByteTimeout(c.Model, c.Request.Prompt.Tokens, c.TokensAhead, clock.Millis(streamFirstByteShare*float64(c.Route.Target)))
}

// chooseCold returns the first cold upstream to which this instance may send one more request, or nil.
func (f *Dispatch) chooseCold(s *catalogue.Snapshot, pool *catalogue.Pool, cold []*catalogue.Upstream, now clock.Millis) *catalogue.Upstream {
	rate := coldRateShare * pool.ColdRate / float64(max(minMembers, len(s.Members)))
	for _, u := range cold {
		if f.Loads.AllowCold(u.Name, now, u.ColdUntil, rate) {
			return u
		}
	}
	return nil
}

// filterByRelease returns the upstreams of the release that serves the call.
func (f *Dispatch) filterByRelease(s *catalogue.Snapshot, c *request.Call, upstreams []*catalogue.Upstream, now clock.Millis) []*catalogue.Upstream {
	rollout := s.Moves[c.Pool.Name]
	if rollout == nil {
		return upstreams
	}
	var target, rest []*catalogue.Upstream
	for _, u := range upstreams {
		if u.Release == rollout.Target {
			target = append(target, u)
		} else {
			rest = append(rest, u)
		}
	}
	useTarget := f.Releases.UseTarget(rollout, c, now)
	if useTarget && len(c.Excluded) > 0 && rollout.State == catalogue.ReleaseRunning && len(rest) > 0 && rollout.KeepsSessions(now) {
		// An attempt that failed on the canary release is retried on the old one, which is known to work.
		useTarget = false
	}
	if useTarget && len(target) > 0 {
		if len(c.Excluded) > 0 {
			return target
		}
		return f.Releases.loaded(rollout, target, len(rest), now)
	}
	if rollout.State == catalogue.ReleaseReverted || len(rest) > 0 {
		return rest
	}
	return target
}

// Service returns the service of the call by the weights of the route's split; all attempts of a call get the same one.
func Service(c *request.Call) string {
	split := c.Route.Split
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	point := request.HashFraction("split", c.Request.ID) * total
	for _, s := range split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return split[len(split)-1].Service
}

// withoutExcluded returns the upstreams that are not excluded, or all of them if each one is.
func withoutExcluded(upstreams []*catalogue.Upstream, excluded []string) []*catalogue.Upstream {
	if len(excluded) == 0 {
		return upstreams
	}
	var remaining []*catalogue.Upstream
	for _, u := range upstreams {
		if !slices.Contains(excluded, u.Name) {
			remaining = append(remaining, u)
		}
	}
	if len(remaining) == 0 {
		// Each upstream has failed once; trying one again is better than refusing the call.
		return upstreams
	}
	return remaining
}

func splitCold(upstreams []*catalogue.Upstream, now clock.Millis) (warm, cold []*catalogue.Upstream) {
	for _, u := range upstreams {
		if now < u.ColdUntil {
			cold = append(cold, u)
		} else {
			warm = append(warm, u)
		}
	}
	return warm, cold
}

// ExpectedWait predicts how long the prompt of a call waits before the model reads it, in milliseconds, at the upstream that is busier than
// this share of the warm ones; it is 0 while nothing is known of the model.
func (f *Dispatch) ExpectedWait(c *request.Call, model string, share float64) clock.Millis {
	if c.Pool == nil || c.Request.Prompt == nil {
		return 0
	}
	now := f.Clock.Now()
	warm, _ := splitCold(f.open(f.Snapshot().Pools[c.Pool.Name], now), now)
	if len(warm) == 0 {
		return 0
	}
	work := f.workAt(warm, share)
	tokens := c.Request.Prompt.Tokens
	behindOthers, _ := f.Latency.ExpectedFirstToken(model, tokens+tokensAhead(c.Pool, model, work))
	alone, _ := f.Latency.ExpectedFirstToken(model, tokens)
	return behindOthers - alone
}

// workAt returns the pending work of the upstream that is busier than this share of them.
func (f *Dispatch) workAt(upstreams []*catalogue.Upstream, share float64) float64 {
	if share <= 0 {
		return f.minWork(upstreams)
	}
	works := make([]float64, len(upstreams))
	for i, u := range upstreams {
		works[i] = f.Loads.Work(u.Name)
	}
	slices.Sort(works)
	return works[min(int(share*float64(len(works))), len(works)-1)]
}

// minWork returns the pending work of the idlest upstream; each prompt is weighed by it before it is sent, so that the first one without work
// ends the search.
func (f *Dispatch) minWork(upstreams []*catalogue.Upstream) float64 {
	least := math.Inf(1)
	for _, u := range upstreams {
		if least = min(least, f.Loads.Work(u.Name)); least <= 0 {
			break
		}
	}
	return least
}
