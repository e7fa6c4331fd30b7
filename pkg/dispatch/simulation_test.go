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

// pattern is a load on many instances before many engines.
type simulation struct {
	instances, engines, prompts int
	// perSecond and seconds tell the load, longShare the part of prompts that are tenfold.
	perSecond, seconds, longFraction float64
	// told is true when instances tell each other their work, toldEvery milliseconds apart.
	shareWork           bool
	shareIntervalMillis float64
	// lanes is the part of the engines that is kept for long prompts; 0 follows their part of the work.
	fixedLongShare float64
	// placed is true when one instance gives the long prompts their places.
	centralPlacement bool
}

// tokensPerMS is how fast an engine reads with the largest model.
const tokensPerMS = 46.0

// waits plays the pattern and returns how long prompts waited, in milliseconds and sorted, the short ones and the long ones.
func (p *simulation) run() (short, long []float64) {
	rnd := rand.New(rand.NewPCG(7, 11))
	engines := make([]*catalogue.Upstream, p.engines)
	freeAt := map[string]float64{}
	for i := range engines {
		engines[i] = &catalogue.Upstream{Name: fmt.Sprint("engine-", i), Zone: "a", Slots: 64}
	}
	boards := make([]*Board, p.instances)
	for i := range boards {
		boards[i] = &Board{}
	}
	type running struct {
		until  float64
		board  *Board
		engine string
		tokens float64
	}
	var inFlight []running
	mix, assignedUntil := &Lanes{}, map[string]float64{}
	now, sharedAt := 0.0, 0.0
	for now < p.seconds*1000 {
		now += rnd.ExpFloat64() * 1000 / p.perSecond
		inFlight = slices.DeleteFunc(inFlight, func(r running) bool {
			if r.until > now {
				return false
			}
			r.board.SubtractWork(r.engine, r.tokens)
			return true
		})
		if p.shareWork && now >= sharedAt {
			sharedAt = now + p.shareIntervalMillis
			shareWorkAmong(boards)
		}
		tokens, isLong := 4000+rnd.Float64()*4000, rnd.Float64() < p.longFraction
		if isLong {
			tokens *= 10
		}
		board := boards[rnd.IntN(p.instances)]
		q := &Selector{Now: clock.Millis(now), Zone: "a", Key: fmt.Sprint(rnd.IntN(p.prompts)), Board: board, Outliers: &Outliers{}, TieBreakKey: fmt.Sprint(now), LongPrompt: isLong, LongPromptShare: p.fixedLongShare}
		if q.LongPromptShare == 0 {
			q.LongPromptShare = mix.Share("lm")
		}
		mix.Record("lm", isLong, tokens, q.Now)
		if p.centralPlacement {
			q.Place = func(upstreams []string) string {
				return slices.MinFunc(upstreams, func(a, b string) int { return cmp.Compare(assignedUntil[a], assignedUntil[b]) })
			}
		}
		u := q.Select(engines)
		board.StartRequest(u.Name, tokens)
		start := max(now, freeAt[u.Name])
		freeAt[u.Name] = start + tokens/tokensPerMS
		assignedUntil[u.Name] = freeAt[u.Name]
		inFlight = append(inFlight, running{until: freeAt[u.Name], board: board, engine: u.Name, tokens: tokens})
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

func shareWorkAmong(boards []*Board) {
	totals := map[string]float32{}
	for _, b := range boards {
		for name, w := range b.Own() {
			totals[name] += w
		}
	}
	for _, b := range boards {
		others := map[string]float32{}
		own := b.Own()
		for name, w := range totals {
			others[name] = w - own[name]
		}
		b.Tell(others)
	}
}

func quantile(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }

// TestPatternFewSubjectsOnManyInstances is the load of the grown sites: 126 subjects of long prompts, 90 instances that each see
// a ninetieth of it, 60 engines. Homes by subject alone leave some engines with queues of seconds while others are idle.
func TestSharedWorkReducesQueueingOfFewPrompts(t *testing.T) {
	p := simulation{instances: 90, engines: 60, prompts: 126, perSecond: 180, seconds: 60}
	short, _ := p.run()
	unshared := quantile(short, 0.95)
	p.shareWork, p.shareIntervalMillis = true, 350
	short, _ = p.run()
	shared := quantile(short, 0.95)
	if shared > unshared/2 {
		t.Errorf("95 in 100 wait up to %.0f ms when instances tell their work, %.0f ms when not; want half", shared, unshared)
	}
}

// TestPatternShortBehindLong is the calm load of the small sites with a tenth of prompts that take seconds to read: short ones
// must not wait behind those.
func TestShortPromptsDoNotWaitBehindLongOnes(t *testing.T) {
	p := simulation{instances: 9, engines: 9, prompts: 126, perSecond: 18, seconds: 120, longFraction: 0.1, shareWork: true, shareIntervalMillis: 350}
	short, _ := p.run()
	mixed := quantile(short, 0.95)
	p.longFraction = 0
	short, _ = p.run()
	shortOnly := quantile(short, 0.95)
	if limit := shortOnly + 400; mixed > limit {
		t.Errorf("95 in 100 short prompts wait up to %.0f ms beside long ones, %.0f ms without; want at most %.0f", mixed, shortOnly, limit)
	}
}

// TestPatternHalfOfTheWorkIsLong is the load of the heavy days of the grown sites: prompts of ten times the usual length are a tenth
// of the requests and half of the work. With a fixed fifth of the engines for them they queue for seconds while others are idle.
func TestLongPromptShareFollowsWork(t *testing.T) {
	p := simulation{instances: 90, engines: 60, prompts: 126, perSecond: 150, seconds: 60, longFraction: 0.1, shareWork: true, shareIntervalMillis: 350, fixedLongShare: defaultLongShare}
	_, long := p.run()
	fixed := quantile(long, 0.75)
	p.fixedLongShare = 0
	_, long = p.run()
	adaptive := quantile(long, 0.75)
	if adaptive > fixed/2 {
		t.Errorf("75 in 100 long prompts wait up to %.0f ms when their engines follow the work, %.0f ms with a fixed share; want half", adaptive, fixed)
	}
}

// TestPatternLongPromptsMeet is the load of the grown sites: every 70 ms one of 90 instances gets a prompt that an engine reads for
// a second. What others have under way is known half a second late, so that two of them choose the same idle engine.
func TestCentralPlacementOfLongPrompts(t *testing.T) {
	p := simulation{instances: 90, engines: 60, prompts: 126, perSecond: 150, seconds: 60, longFraction: 0.1, shareWork: true, shareIntervalMillis: 350}
	_, long := p.run()
	independent := quantile(long, 0.95)
	p.centralPlacement = true
	_, long = p.run()
	if placed := quantile(long, 0.95); placed > independent/4 {
		t.Errorf("95 in 100 long prompts wait up to %.0f ms when they are placed, %.0f ms when not; want a quarter", placed, independent)
	}
}
