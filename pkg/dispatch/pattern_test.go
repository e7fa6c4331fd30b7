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
type pattern struct {
	instances, engines, subjects int
	// perSecond and seconds tell the load, longShare the part of prompts that are tenfold.
	perSecond, seconds, longShare float64
	// told is true when instances tell each other their work, toldEvery milliseconds apart.
	told      bool
	toldEvery float64
	// lanes is the part of the engines that is kept for long prompts; 0 follows their part of the work.
	lanes float64
	// placed is true when one instance gives the long prompts their places.
	placed bool
}

// tokensPerMS is how fast an engine reads with the largest model.
const tokensPerMS = 46.0

// waits plays the pattern and returns how long prompts waited, in milliseconds and sorted, the short ones and the long ones.
func (p *pattern) waits() (short, long []float64) {
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
	var under []running
	lanes, given := &Lanes{}, map[string]float64{}
	now, toldAt := 0.0, 0.0
	for now < p.seconds*1000 {
		now += rnd.ExpFloat64() * 1000 / p.perSecond
		under = slices.DeleteFunc(under, func(r running) bool {
			if r.until > now {
				return false
			}
			r.board.Done(r.engine, r.tokens)
			return true
		})
		if p.told && now >= toldAt {
			toldAt = now + p.toldEvery
			tellAll(boards)
		}
		tokens, isLong := 4000+rnd.Float64()*4000, rnd.Float64() < p.longShare
		if isLong {
			tokens *= 10
		}
		board := boards[rnd.IntN(p.instances)]
		q := &Choice{Now: clock.Millis(now), Zone: "a", Key: fmt.Sprint(rnd.IntN(p.subjects)), Board: board, Outliers: &Outliers{}, Draw: fmt.Sprint(now), Long: isLong, LongShare: p.lanes}
		if q.LongShare == 0 {
			q.LongShare = lanes.Share("lm")
		}
		lanes.Take("lm", isLong, tokens, q.Now)
		if p.placed {
			q.Place = func(upstreams []string) string {
				return slices.MinFunc(upstreams, func(a, b string) int { return cmp.Compare(given[a], given[b]) })
			}
		}
		u := q.Choose(engines)
		board.Begin(u.Name, tokens)
		start := max(now, freeAt[u.Name])
		freeAt[u.Name] = start + tokens/tokensPerMS
		given[u.Name] = freeAt[u.Name]
		under = append(under, running{until: freeAt[u.Name], board: board, engine: u.Name, tokens: tokens})
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

func tellAll(boards []*Board) {
	sum := map[string]float32{}
	for _, b := range boards {
		for name, w := range b.Own() {
			sum[name] += w
		}
	}
	for _, b := range boards {
		others := map[string]float32{}
		own := b.Own()
		for name, w := range sum {
			others[name] = w - own[name]
		}
		b.Tell(others)
	}
}

func quantile(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }

// TestPatternFewSubjectsOnManyInstances is the load of the grown sites: 126 subjects of long prompts, 90 instances that each see
// a ninetieth of it, 60 engines. Homes by subject alone leave some engines with queues of seconds while others are idle.
func TestPatternFewSubjectsOnManyInstances(t *testing.T) {
	p := pattern{instances: 90, engines: 60, subjects: 126, perSecond: 180, seconds: 60}
	short, _ := p.waits()
	blind := quantile(short, 0.95)
	p.told, p.toldEvery = true, 350
	short, _ = p.waits()
	told := quantile(short, 0.95)
	if told > blind/2 {
		t.Errorf("95 in 100 wait up to %.0f ms when instances tell their work, %.0f ms when not; want half", told, blind)
	}
}

// TestPatternShortBehindLong is the calm load of the small sites with a tenth of prompts that take seconds to read: short ones
// must not wait behind those.
func TestPatternShortBehindLong(t *testing.T) {
	p := pattern{instances: 9, engines: 9, subjects: 126, perSecond: 18, seconds: 120, longShare: 0.1, told: true, toldEvery: 350}
	short, _ := p.waits()
	apart := quantile(short, 0.95)
	p.longShare = 0
	short, _ = p.waits()
	none := quantile(short, 0.95)
	if limit := none + 400; apart > limit {
		t.Errorf("95 in 100 short prompts wait up to %.0f ms beside long ones, %.0f ms without; want at most %.0f", apart, none, limit)
	}
}

// TestPatternHalfOfTheWorkIsLong is the load of the heavy days of the grown sites: prompts of ten times the usual length are a tenth
// of the requests and half of the work. With a fixed fifth of the engines for them they queue for seconds while others are idle.
func TestPatternHalfOfTheWorkIsLong(t *testing.T) {
	p := pattern{instances: 90, engines: 60, subjects: 126, perSecond: 150, seconds: 60, longShare: 0.1, told: true, toldEvery: 350, lanes: usualShare}
	_, long := p.waits()
	fixed := quantile(long, 0.75)
	p.lanes = 0
	_, long = p.waits()
	following := quantile(long, 0.75)
	if following > fixed/2 {
		t.Errorf("75 in 100 long prompts wait up to %.0f ms when their engines follow the work, %.0f ms with a fixed share; want half", following, fixed)
	}
}

// TestPatternLongPromptsMeet is the load of the grown sites: every 70 ms one of 90 instances gets a prompt that an engine reads for
// a second. What others have under way is known half a second late, so that two of them choose the same idle engine.
func TestPatternLongPromptsMeet(t *testing.T) {
	p := pattern{instances: 90, engines: 60, subjects: 126, perSecond: 150, seconds: 60, longShare: 0.1, told: true, toldEvery: 350}
	_, long := p.waits()
	alone := quantile(long, 0.95)
	p.placed = true
	_, long = p.waits()
	if placed := quantile(long, 0.95); placed > alone/4 {
		t.Errorf("95 in 100 long prompts wait up to %.0f ms when they are placed, %.0f ms when not; want a quarter", placed, alone)
	}
}
