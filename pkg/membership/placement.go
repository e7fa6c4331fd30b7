package membership

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// placeTime bounds asking for a place, in milliseconds; instances are a few milliseconds apart, and a place that is chosen
	// without asking is only a little worse.
	placeTime clock.Millis = 40
	// placeDownTime is how long an instance that gave no place is not asked, in milliseconds.
	placeDownTime clock.Millis = 2000
	// untoldTime is how long a place that was given counts by itself, in milliseconds; by then its work was told in two rounds.
	untoldTime = 2 * loadPeriod
	// maxPlaces bounds the upstreams whose last place is remembered.
	maxPlaces = 4096
)

// PlaceArgs asks which of some upstreams should get so much work, in tokens of the largest model.
type PlaceArgs struct {
	Upstreams []string
	Work      float32
}

// PlaceReply names the upstream.
type PlaceReply struct {
	Upstream string
}

// places are those given out lately, whose work the instances have not told yet.
type places struct {
	mu    sync.Mutex
	given []place
	// work is the sum of given by upstream, and all the work that is known of all instances.
	work map[string]float32
	all  map[string]float32
	// lastAt is when an upstream was given last; streams that it still writes would pause while it reads the next prompt.
	lastAt map[string]clock.Millis
}

type place struct {
	upstream string
	work     float32
	until    clock.Millis
}

// take gives the place with the least work, and of equal ones that which was not given for longest.
func (p *places) take(args PlaceArgs, now clock.Millis) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.given) > 0 && p.given[0].until <= now {
		p.work[p.given[0].upstream] -= p.given[0].work
		p.given = p.given[1:]
	}
	if len(p.given) == 0 {
		// Sums of fractions leave a rest.
		p.work = map[string]float32{}
	}
	if len(p.lastAt) > maxPlaces {
		p.lastAt = nil
	}
	best, least := "", float32(0)
	for _, u := range args.Upstreams {
		w := p.all[u] + p.work[u]
		if best == "" || w < least || w == least && p.lastAt[u] < p.lastAt[best] {
			best, least = u, w
		}
	}
	if best != "" {
		if p.lastAt == nil {
			p.lastAt = map[string]clock.Millis{}
		}
		p.lastAt[best] = now
		p.work[best] += args.Work
		p.given = append(p.given, place{upstream: best, work: args.Work, until: now + untoldTime})
	}
	return best
}

func (p *places) know(all map[string]float32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = all
}

// Place answers another instance's question for a place. All ask the instance that runs longest, so that two long prompts that
// arrive at different instances within a round don't meet at one upstream.
func (l *Loads) Place(args PlaceArgs, reply *PlaceReply) error {
	reply.Upstream = l.places.take(args, l.Clock.Now())
	return nil
}

// AskPlace returns the upstream that should get the work, or nothing when the instance that knows doesn't answer.
func (l *Loads) AskPlace(ctx context.Context, upstreams []string, work float64) string {
	args := PlaceArgs{Upstreams: upstreams, Work: float32(work)}
	eldest := l.Eldest()
	if eldest == l.Self || eldest == "" {
		return l.places.take(args, l.Clock.Now())
	}
	if l.down.is(eldest, l.Clock.Now()) {
		return ""
	}
	var reply PlaceReply
	if err := l.Network.CallWithin(ctx, placeTime, eldest, LoadsName+".Place", args, &reply); err != nil {
		if ctx.Err() == nil {
			l.down.mark(eldest, l.Clock.Now()+placeDownTime)
			l.Network.Common.Log.WithName("caravan").Info("no place given", "instance", eldest, "cause", err.Error())
		}
		return ""
	}
	return reply.Upstream
}
