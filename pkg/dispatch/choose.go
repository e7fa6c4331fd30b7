package dispatch

import (
	"context"
	"slices"
	"strconv"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// coldPart is the part of what a cold upstream bears that all instances together send it.
	coldPart = 0.6
	// leastMembers is how many instances are taken to send to a cold upstream when fewer are known.
	leastMembers = 9
	// streamFirstPart and callFirstPart are the parts of the target after which the beginning of an answer is asked for
	// elsewhere: a stream's target has room for two tries, a plain call's for two of twice the usual time.
	streamFirstPart = 0.7
	callFirstPart   = 0.55
)

// choose picks the service, the release and the upstream of the next attempt.
func (f *Dispatch) choose(ctx context.Context, c *request.Call) (*catalogue.Upstream, *request.Refusal) {
	s, now := f.Snapshot(), f.Clock.Now()
	service := splitService(c)
	pool := s.Routes.Pools[service]
	if pool == nil {
		return nil, request.Refuse(request.ReasonNoUpstream, jitter(c.Request.ID, clock.Second), "the service %s is not known", service)
	}
	c.Pool = pool
	from := f.release(s, c, s.Pools[service], now)
	from = others(from, c.Excluded)
	warm, cold := byWarmth(from, now)
	q := &Choice{Now: now, Zone: f.Zone, Board: f.Board, Outliers: f.Outliers, Draw: c.Request.ID + strconv.Itoa(c.Attempts)}
	if c.Route.Affinity {
		q.Key = PromptKey(c)
		q.Long = f.long(c)
		q.LongShare = f.Lanes.Share(pool.Name)
		if f.Places != nil {
			q.Place = func(upstreams []string) string { return f.place(ctx, c, upstreams) }
		}
	}
	u := q.Choose(warm)
	if u == nil {
		u = f.chooseCold(s, pool, cold, now)
	}
	if u == nil {
		return nil, request.Refuse(request.ReasonNoUpstream, jitter(c.Request.ID, clock.Second/2), "no upstream of %s may get new work", service)
	}
	c.FirstByteLimit = 0
	if len(warm) > 1 && !c.Headed && c.Runs+1 < c.Route.MaxAttempts {
		c.FirstByteLimit = f.firstByteLimit(c)
	}
	return u, nil
}

// place returns which of the upstreams should get a prompt that takes long, or nothing when no other instance tells.
func (f *Dispatch) place(ctx context.Context, c *request.Call, upstreams []string) string {
	work := f.work(c)
	u := f.Places.AskPlace(ctx, upstreams, work)
	f.Log.Info("placed", "request", c.Request.ID, "upstream", u, "among", len(upstreams), "work", int(work))
	return u
}

// long tells whether the prompt of the call takes long to read for the largest model; its answer by a smaller one comes in good time
// only if that one doesn't wait either.
func (f *Dispatch) long(c *request.Call) bool {
	if c.Request.Prompt == nil {
		return false
	}
	model := c.Model
	if sizes := c.Route.Sizes; len(sizes) > 0 {
		model = sizes[len(sizes)-1]
	}
	expected, known := f.Paces.Expect(model, c.Request.Prompt.Tokens)
	return known && expected >= longTime
}

// firstByteLimit returns the time after which the beginning of the answer is asked for elsewhere.
func (f *Dispatch) firstByteLimit(c *request.Call) clock.Millis {
	if c.Request.Prompt == nil {
		return clock.Millis(callFirstPart * float64(c.Route.Target))
	}
	return f.Paces.Limit(c.Model, c.Request.Prompt.Tokens, clock.Millis(streamFirstPart*float64(c.Route.Target)))
}

// chooseCold picks a cold upstream that bears one more request of this instance.
func (f *Dispatch) chooseCold(s *catalogue.Snapshot, pool *catalogue.Pool, cold []*catalogue.Upstream, now clock.Millis) *catalogue.Upstream {
	rate := coldPart * pool.ColdRate / float64(max(leastMembers, len(s.Members)))
	for _, u := range cold {
		if f.Board.TakeCold(u.Name, now, rate) {
			return u
		}
	}
	return nil
}

// release keeps the upstreams of the release that the call belongs to.
func (f *Dispatch) release(s *catalogue.Snapshot, c *request.Call, from []*catalogue.Upstream, now clock.Millis) []*catalogue.Upstream {
	m := s.Moves[c.Pool.Name]
	if m == nil {
		return from
	}
	var target, rest []*catalogue.Upstream
	for _, u := range from {
		if u.Release == m.Target {
			target = append(target, u)
		} else {
			rest = append(rest, u)
		}
	}
	onTarget := f.Releases.OnTarget(m, c, now)
	if onTarget && len(c.Excluded) > 0 && m.State == catalogue.ReleaseRunning && len(rest) > 0 && m.Keeping(now) {
		// What failed on a release that is not judged yet goes to the one that is known.
		onTarget = false
	}
	if onTarget && len(target) > 0 {
		return target
	}
	if m.State == catalogue.ReleaseReverted || len(rest) > 0 {
		return rest
	}
	return target
}

// splitService returns the service that the call belongs to, the same for all attempts.
func splitService(c *request.Call) string {
	split := c.Route.Split
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	at := request.Fraction("split", c.Request.ID) * total
	for _, s := range split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return split[len(split)-1].Service
}

func others(from []*catalogue.Upstream, excluded []string) []*catalogue.Upstream {
	if len(excluded) == 0 {
		return from
	}
	var left []*catalogue.Upstream
	for _, u := range from {
		if !slices.Contains(excluded, u.Name) {
			left = append(left, u)
		}
	}
	if len(left) == 0 {
		// All have failed once; one of them is better than none.
		return from
	}
	return left
}

func byWarmth(from []*catalogue.Upstream, now clock.Millis) (warm, cold []*catalogue.Upstream) {
	for _, u := range from {
		if now < u.ColdUntil {
			cold = append(cold, u)
		} else {
			warm = append(warm, u)
		}
	}
	return warm, cold
}
