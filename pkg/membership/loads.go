package membership

import (
	"context"
	"maps"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// LoadsName is the name under which instances tell each other what they have under way.
const LoadsName = "Loads"

const (
	// loadPeriod is how often an instance tells what it has under way, in milliseconds; reading a long prompt takes seconds.
	loadPeriod clock.Millis = 350
	// loadTime is how long what an instance told is taken for true, in milliseconds.
	loadTime clock.Millis = 1500
)

// LoadArgs tells the work that an instance, or the instances of a zone, have under way, by upstream.
type LoadArgs struct {
	From string
	Zone string
	Work map[string]float32
	// Seen counts what was seen since the start, under keys of those who count.
	Seen map[string]float32
}

// LoadReply tells the work of others, by upstream, and what they saw.
type LoadReply struct {
	Work map[string]float32
	Seen map[string]float32
}

// Loads exchanges the work that is under way at upstreams, and what was seen of new releases: instances tell the longest running one of their zone, and those
// tell each other the sums of their zones. So each instance knows the sum over all, at a cost that doesn't grow with their
// number but for those few.
type Loads struct {
	Clock   clock.Clock
	Self    string
	Zone    string
	Network *Network
	// Own returns the work of this instance and what it saw.
	Own func() (work, seen map[string]float32)
	// Others takes the work of all other instances and what they saw; both are empty when they can't be asked.
	Others func(work, seen map[string]float32)
	// Heads returns the instance that runs longest of each zone, by zone, and Eldest the one of all.
	Heads  func() map[string]string
	Eldest func() string

	places places
	down   downMarks

	mu sync.Mutex
	// zone has what instances of the own zone told, and zones the sums of other zones.
	zone  map[string]told
	zones map[string]told
}

type told struct {
	work map[string]float32
	seen map[string]float32
	at   clock.Millis
}

// Run exchanges work until ctx ends.
func (l *Loads) Run(ctx context.Context) error {
	for {
		if err := clock.Sleep(ctx, l.Clock, loadPeriod); err != nil {
			return err
		}
		l.round(ctx)
	}
}

func (l *Loads) round(ctx context.Context) {
	heads := l.Heads()
	if head := heads[l.Zone]; head != l.Self && head != "" {
		var reply LoadReply
		args := LoadArgs{From: l.Self, Zone: l.Zone}
		args.Work, args.Seen = l.Own()
		if err := l.Network.CallWithin(ctx, loadPeriod, head, LoadsName+".Tell", args, &reply); err == nil {
			l.Others(reply.Work, reply.Seen)
		} else {
			l.Others(nil, nil)
		}
		return
	}
	var wg sync.WaitGroup
	for zone, head := range heads {
		if zone != l.Zone {
			wg.Go(func() { l.tellZone(ctx, zone, head) })
		}
	}
	wg.Wait()
	work, seen := l.sum(l.Self, true)
	l.Others(work, seen)
	all := maps.Clone(work)
	own, _ := l.Own()
	addAll(all, own)
	l.places.know(all)
}

// tellZone tells the head of another zone the sum of this one and keeps the sum of the other.
func (l *Loads) tellZone(ctx context.Context, zone, head string) {
	args := LoadArgs{From: l.Self, Zone: l.Zone}
	args.Work, args.Seen = l.sum("", false)
	l.addOwn(args.Work, args.Seen)
	var reply LoadReply
	if err := l.Network.CallWithin(ctx, loadPeriod, head, LoadsName+".Tell", args, &reply); err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zones == nil {
		l.zones = map[string]told{}
	}
	l.zones[zone] = told{work: reply.Work, seen: reply.Seen, at: l.Clock.Now()}
}

// Tell takes what an instance has under way, or the head of a zone the sum of its zone, and answers with the rest.
func (l *Loads) Tell(args LoadArgs, reply *LoadReply) error {
	l.mu.Lock()
	t := told{work: args.Work, seen: args.Seen, at: l.Clock.Now()}
	same := args.Zone == l.Zone
	if same {
		if l.zone == nil {
			l.zone = map[string]told{}
		}
		l.zone[args.From] = t
	} else {
		if l.zones == nil {
			l.zones = map[string]told{}
		}
		l.zones[args.Zone] = t
	}
	l.mu.Unlock()
	reply.Work, reply.Seen = l.sum(args.From, same)
	l.addOwn(reply.Work, reply.Seen)
	return nil
}

func (l *Loads) addOwn(work, seen map[string]float32) {
	ownWork, ownSeen := l.Own()
	addAll(work, ownWork)
	addAll(seen, ownSeen)
}

// sum adds up what instances of the zone but one told, and with others what other zones told.
func (l *Loads) sum(without string, others bool) (work, seen map[string]float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	work, seen = map[string]float32{}, map[string]float32{}
	for name, t := range l.zone {
		if now-t.at > loadTime {
			delete(l.zone, name)
			continue
		}
		if name != without {
			addAll(work, t.work)
			addAll(seen, t.seen)
		}
	}
	if !others {
		return work, seen
	}
	for zone, t := range l.zones {
		if now-t.at > loadTime {
			delete(l.zones, zone)
			continue
		}
		addAll(work, t.work)
		addAll(seen, t.seen)
	}
	return work, seen
}

func addAll(sum, more map[string]float32) {
	for key, n := range more {
		sum[key] += n
	}
}
