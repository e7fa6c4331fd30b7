package membership

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// placementTimeout limits a placement call, in milliseconds. Instances are a few milliseconds apart, and an upstream that is
	// chosen without the call is only a little worse.
	placementTimeout clock.Millis = 40
	// placementCooldown is how long an instance is not called after a failed placement call, in milliseconds.
	placementCooldown clock.Millis = 2000
	// placementTTL is how long a placement counts by itself, in milliseconds; after two rounds its work is part of the load reports.
	placementTTL = 2 * loadReportPeriod
	// maxPlacements limits the upstreams whose last placement is remembered.
	maxPlacements = 4096
)

// PlaceArgs asks which of some upstreams should get an amount of work, in tokens of the largest model.
type PlaceArgs struct {
	Upstreams []string
	Work      float32
}

// PlaceReply names the chosen upstream, or none when no upstream was offered.
type PlaceReply struct {
	Upstream string
}

// placementTracker adds the work of recent placements, which load reports lack, to that of the reports; it is safe for concurrent use.
type placementTracker struct {
	mu     sync.Mutex
	recent []placement
	// recentWork is the sum of recent by upstream, reportedWork the work of all instances by their load reports.
	recentWork   map[string]float32
	reportedWork map[string]float32
	// lastPlacedAt has the time at which each upstream was last chosen, by which ties are broken: an upstream that was chosen a short
	// while ago may still be writing streams, which would pause while it reads the next prompt.
	lastPlacedAt map[string]clock.Millis
}

type placement struct {
	upstream string
	work     float32
	until    clock.Millis
}

// choose returns the upstream with the least work and, among equal ones, the one that was not chosen for longest.
func (p *placementTracker) choose(args PlaceArgs, now clock.Millis) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.recent) > 0 && p.recent[0].until <= now {
		p.recentWork[p.recent[0].upstream] -= p.recent[0].work
		p.recent = p.recent[1:]
	}
	if len(p.recent) == 0 {
		// Subtracting float32 fractions leaves a rounding error.
		p.recentWork = map[string]float32{}
	}
	if len(p.lastPlacedAt) > maxPlacements {
		p.lastPlacedAt = nil
	}
	best, least := "", float32(0)
	for _, u := range args.Upstreams {
		w := p.reportedWork[u] + p.recentWork[u]
		if best == "" || w < least || w == least && p.lastPlacedAt[u] < p.lastPlacedAt[best] {
			best, least = u, w
		}
	}
	if best != "" {
		if p.lastPlacedAt == nil {
			p.lastPlacedAt = map[string]clock.Millis{}
		}
		p.lastPlacedAt[best] = now
		p.recentWork[best] += args.Work
		p.recent = append(p.recent, placement{upstream: best, work: args.Work, until: now + placementTTL})
	}
	return best
}

func (p *placementTracker) setReportedWork(work map[string]float32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportedWork = work
}

// Place replies with the upstream that should get the work; all instances call the longest-running one, so that two long prompts
// that arrive at different instances between two load reports don't get the same upstream.
func (l *Loads) Place(args PlaceArgs, reply *PlaceReply) error {
	reply.Upstream = l.placements.choose(args, l.Clock.Now())
	return nil
}

// PlaceLongPrompt returns the upstream that should get the work, or "" when the longest-running instance can't be reached.
func (l *Loads) PlaceLongPrompt(ctx context.Context, upstreams []string, work float64) string {
	args := PlaceArgs{Upstreams: upstreams, Work: float32(work)}
	leader := l.Leader()
	if leader == l.Self || leader == "" {
		return l.placements.choose(args, l.Clock.Now())
	}
	if l.cooldowns.active(leader, l.Clock.Now()) {
		return ""
	}
	var reply PlaceReply
	if err := l.Network.CallWithin(ctx, placementTimeout, leader, LoadsName+".Place", args, &reply); err != nil {
		if ctx.Err() == nil {
			l.cooldowns.start(leader, l.Clock.Now()+placementCooldown)
			l.Network.Common.Log.WithName("membership").Info("placement call failed", "instance", leader, "error", err.Error())
		}
		return ""
	}
	return reply.Upstream
}
