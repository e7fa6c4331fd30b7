package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// simulation is a load on many instances that share many engines.
type simulation struct {
	instances, engines, prompts int
	// perSecond is the request rate, seconds the duration, and longFraction the fraction of prompts that have ten times the length.
	perSecond, seconds, longFraction float64
	// shareWork makes the instances exchange their pending work every shareIntervalMillis.
	shareWork           bool
	shareIntervalMillis float64
	// fixedLongShare is the fraction of the engines reserved for long prompts; 0 makes it follow their share of the work.
	fixedLongShare float64
	// centralPlacement makes one instance select the engines of all long prompts.
	centralPlacement bool
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
	mix, assignedUntil := &WorkMix{}, map[string]float64{}
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
		tokens, isLong := 4000+rng.Float64()*4000, rng.Float64() < p.longFraction
		if isLong {
			tokens *= 10
		}
		tracker := trackers[rng.IntN(p.instances)]
		s := &Selector{Now: clock.Millis(now), Zone: "a", Key: fmt.Sprint(rng.IntN(p.prompts)), Loads: tracker, Outliers: &OutlierDetector{}, TieBreakKey: fmt.Sprint(now), LongPrompt: isLong, LongPromptShare: p.fixedLongShare}
		if s.LongPromptShare == 0 {
			s.LongPromptShare = mix.Share("lm")
		}
		mix.Record("lm", isLong, tokens, s.Now)
		if p.centralPlacement {
			s.Place = func(upstreams []string) string {
				return slices.MinFunc(upstreams, func(a, b string) int { return cmp.Compare(assignedUntil[a], assignedUntil[b]) })
			}
		}
		u := s.Select(engines)
		tracker.StartRequest(u.Name, tokens)
		start := max(now, freeAt[u.Name])
		freeAt[u.Name] = start + tokens/tokensPerMS
		assignedUntil[u.Name] = freeAt[u.Name]
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

// TestLongPromptShareFollowsWork guards against a fixed reservation on heavy days of large sites: prompts of ten times the usual
// length are a tenth of the requests and half of the work, so that with a fifth of the engines they queue for seconds while other
// engines are idle.
func TestLongPromptShareFollowsWork(t *testing.T) {
	p := simulation{instances: 90, engines: 60, prompts: 126, perSecond: 150, seconds: 60, longFraction: 0.1, shareWork: true, shareIntervalMillis: 350, fixedLongShare: defaultLongShare}
	_, long := p.run()
	fixed := quantile(long, 0.75)
	p.fixedLongShare = 0
	_, long = p.run()
	adaptive := quantile(long, 0.75)
	if adaptive > fixed/2 {
		t.Errorf("75th percentile of the wait of long prompts: %.0f ms if their share follows the work, %.0f ms if it is fixed; want at most half", adaptive, fixed)
	}
}

// TestCentralPlacementOfLongPrompts guards against collisions of long prompts at large sites: every 70 ms one of 90 instances gets a
// prompt that an engine processes for a second. Instances learn of each other's work half a second late, so that two of them select
// the same idle engine.
func TestCentralPlacementOfLongPrompts(t *testing.T) {
	p := simulation{instances: 90, engines: 60, prompts: 126, perSecond: 150, seconds: 60, longFraction: 0.1, shareWork: true, shareIntervalMillis: 350}
	_, long := p.run()
	independent := quantile(long, 0.95)
	p.centralPlacement = true
	_, long = p.run()
	if placed := quantile(long, 0.95); placed > independent/4 {
		t.Errorf("95th percentile of the wait of long prompts: %.0f ms with central placement, %.0f ms without; want at most a quarter", placed, independent)
	}
}
