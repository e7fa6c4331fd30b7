package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// simulation is a load on many instances that share many engines.
type simulation struct {
	instances, engines, prompts int
	// shared is the fraction of the tokens of a prompt that an engine keeps for the next request with the same prompt.
	shared float64
	// scale multiplies the tokens of prompts and the rate at which engines read them; 0 means 1.
	scale float64
	// perSecond is the request rate, seconds the duration, and longFraction the fraction of prompts that have ten times the length.
	perSecond, seconds, longFraction float64
	// shareWork makes the instances exchange their pending work every shareIntervalMillis.
	shareWork           bool
	shareIntervalMillis float64
}

// tokensPerMS is the rate at which an engine processes prompts with the largest model.
const tokensPerMS = 46.0

// run returns the sorted queueing times of short and of long prompts, in milliseconds.
func (p *simulation) run() (short, long []float64) {
	rng := rand.New(rand.NewPCG(7, 11))
	engines := make([]*catalogue.Upstream, p.engines)
	freeAt := map[string]float64{}
	for i := range engines {
		engines[i] = &catalogue.Upstream{Name: fmt.Sprint("engine-", i), Zone: "a", Slots: 64}
	}
	trackers := make([]*LoadTracker, p.instances)
	for i := range trackers {
		trackers[i] = &LoadTracker{}
	}
	type running struct {
		until   float64
		tracker *LoadTracker
		engine  string
		tokens  float64
	}
	var inFlight []running
	kept := map[string]bool{}
	scale := cmp.Or(p.scale, 1)
	now, sharedAt := 0.0, 0.0
	for now < p.seconds*1000 {
		now += rng.ExpFloat64() * 1000 / p.perSecond
		inFlight = slices.DeleteFunc(inFlight, func(r running) bool {
			if r.until > now {
				return false
			}
			r.tracker.SubtractWork(r.engine, r.tokens)
			return true
		})
		if p.shareWork && now >= sharedAt {
			sharedAt = now + p.shareIntervalMillis
			shareWorkAmong(trackers)
		}
		tokens, isLong := scale*(4000+rng.Float64()*4000), rng.Float64() < p.longFraction
		if isLong {
			tokens *= 10
		}
		prompt := fmt.Sprint(rng.IntN(p.prompts))
		tracker := trackers[rng.IntN(p.instances)]
		s := &Selector{Now: clock.Millis(now), Zone: "a", Key: prompt, PromptWork: tokens, Loads: tracker, Outliers: &OutlierDetector{}, TieBreakKey: fmt.Sprint(now)}
		u := s.Select(engines)
		tracker.StartRequest(u.Name, tokens)
		start := max(now, freeAt[u.Name])
		read := tokens
		if kept[u.Name+prompt] {
			read -= p.shared * tokens
		}
		kept[u.Name+prompt] = true
		freeAt[u.Name] = start + read/(scale*tokensPerMS)
		inFlight = append(inFlight, running{until: freeAt[u.Name], tracker: tracker, engine: u.Name, tokens: tokens})
		if isLong {
			long = append(long, start-now)
		} else {
			short = append(short, start-now)
		}
	}
	slices.Sort(short)
	slices.Sort(long)
	return short, long
}

// shareWorkAmong gives each tracker the pending work of all others.
func shareWorkAmong(trackers []*LoadTracker) {
	totals := map[string]float32{}
	for _, l := range trackers {
		for name, w := range l.OwnWork() {
			totals[name] += w
		}
	}
	for _, l := range trackers {
		others := map[string]float32{}
		own := l.OwnWork()
		for name, w := range totals {
			others[name] = w - own[name]
		}
		l.SetPeerWork(others)
	}
}

func quantile(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }

// TestSharedWorkReducesQueueingOfFewPrompts guards against hot spots of prompt affinity: with 126 distinct prompts over 60 engines,
// and 90 instances that each see a ninetieth of the load, affinity alone builds queues of seconds at some engines while others are
// idle.
func TestSharedWorkReducesQueueingOfFewPrompts(t *testing.T) {
	p := simulation{instances: 90, engines: 60, prompts: 126, perSecond: 180, seconds: 60}
	short, _ := p.run()
	unshared := quantile(short, 0.95)
	p.shareWork, p.shareIntervalMillis = true, 350
	short, _ = p.run()
	shared := quantile(short, 0.95)
	if shared > unshared/2 {
		t.Errorf("95th percentile of the wait: %.0f ms with shared work, %.0f ms without; want at most half", shared, unshared)
	}
}

// TestShortPromptsDoNotWaitBehindLongOnes guards against head-of-line blocking at a small site on a calm day, where a tenth of the
// prompts take seconds to process.
func TestShortPromptsDoNotWaitBehindLongOnes(t *testing.T) {
	p := simulation{instances: 9, engines: 9, prompts: 126, perSecond: 18, seconds: 120, longFraction: 0.1, shareWork: true, shareIntervalMillis: 350}
	short, _ := p.run()
	mixed := quantile(short, 0.95)
	p.longFraction = 0
	short, _ = p.run()
	shortOnly := quantile(short, 0.95)
	if limit := shortOnly + 400; mixed > limit {
		t.Errorf("95th percentile of the wait of short prompts: %.0f ms with long ones, %.0f ms without; want at most %.0f ms", mixed, shortOnly, limit)
	}
}

// TestPlacementIsTheSameOnSlowerEngines guards against bounds that suit one speed of engines: on engines that read eight times slower,
// prompts of an eighth of the length wait for the same time.
func TestPlacementIsTheSameOnSlowerEngines(t *testing.T) {
	p := simulation{instances: 8, engines: 9, prompts: 60, perSecond: 25, seconds: 60, longFraction: 0.1, shared: 0.6, shareWork: true, shareIntervalMillis: 350}
	short, long := p.run()
	p.scale = 1.0 / 8
	slowShort, slowLong := p.run()
	for _, q := range []float64{0.5, 0.95, 0.99} {
		if fast, slow := quantile(short, q), quantile(slowShort, q); math.Abs(fast-slow) > 0.05*fast+1 {
			t.Errorf("quantile %.2f of the wait of short prompts: %.0f ms on fast engines, %.0f ms on slow ones", q, fast, slow)
		}
		if fast, slow := quantile(long, q), quantile(slowLong, q); math.Abs(fast-slow) > 0.05*fast+1 {
			t.Errorf("quantile %.2f of the wait of long prompts: %.0f ms on fast engines, %.0f ms on slow ones", q, fast, slow)
		}
	}
}

// TestBusyUpstreamsShareTheShortPrompts guards against herds: all upstreams have prompts waiting after a part of them was lost, and the
// instances send short ones by the same load report until the next one.
func TestBusyUpstreamsShareTheShortPrompts(t *testing.T) {
	const prompts = 400
	upstreams := make([]*catalogue.Upstream, 6)
	work := map[string]float32{}
	for i := range upstreams {
		upstreams[i] = &catalogue.Upstream{Name: fmt.Sprint("engine-", i), Zone: "a"}
		work[upstreams[i].Name] = float32(20_000 + 2000*i)
	}
	tracker := &LoadTracker{}
	tracker.SetPeerWork(work)
	got := map[string]int{}
	for i := range prompts {
		s := &Selector{Key: fmt.Sprint("prompt ", i), PromptWork: 300, Loads: tracker, Outliers: &OutlierDetector{}, TieBreakKey: fmt.Sprint(i)}
		got[s.Select(upstreams).Name]++
	}
	for name, n := range got {
		if n > prompts/3 {
			t.Errorf("%s got %d of %d prompts, want at most a third", name, n, prompts)
		}
	}
}
