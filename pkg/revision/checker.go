package revision

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/membership"
)

// ServiceName is the net/rpc service name of Checker.
const ServiceName = "Revisions"

const (
	// MaxWait bounds a check, in milliseconds.
	MaxWait = 2 * clock.Second
	// askTimeout limits one call, and askPause is the pause between calls of an instance that didn't answer, both in milliseconds.
	askTimeout clock.Millis = 350
	askPause   clock.Millis = 100
	// oldestAsked and othersAsked are the numbers of instances asked: the longest running ones of the own availability zone, and any others.
	oldestAsked = 3
	othersAsked = 5
	// rounds is the number of rounds in which instances are selected; what one of them learns in a round spreads with the next one.
	rounds = 3
)

// Question is why a check is made.
type Question struct {
	// Number tells the questions of an instance apart.
	Number int64
	// Era is that of the store about which this instance is in doubt.
	Era int64
	// Known is true if this instance had the configuration of an earlier era.
	Known bool
}

// Position is a position in the operators' topic, in an era of the store.
type Position struct{ Era, Next int64 }

// After reports whether more of the topic was read up to p than up to o.
func (p Position) After(o Position) bool { return p.Era > o.Era || p.Era == o.Era && p.Next > o.Next }

// Args asks for the version of the active configuration, and for its record if Record is set.
type Args struct{ Record bool }

// Reply has the version of an instance's active configuration, 0 if it has none.
type Reply struct {
	Version int64
	// Settled is false while that instance doubts itself whether others have a newer one than the store in its era Era.
	Settled bool
	Era     int64
	// Current is true if the configuration was known to be current once, and Age how long before the reply that was last so.
	Current bool
	Age     clock.Millis
	Record  archive.Record
	// Next is the position up to which that instance has read in its era, and Before the one up to which it had read in the era before.
	Next   int64
	Before Position
	// Orders and ZonesOut are the rollout orders and the availability zones out of service that it knows.
	Orders   []catalogue.ReleaseOrder
	ZonesOut []string
}

// knownBefore returns the position up to which the instance had read before the given era.
func (r *Reply) knownBefore(era int64) Position {
	if r.Era == era {
		return r.Before
	}
	return Position{r.Era, r.Next}
}

// Finding is the result of a check, or of a part of it.
type Finding struct {
	Question Question
	// Partial is true while the check goes on.
	Partial bool
	// Newest is the newest version of the instances that answered, Heard their number, and Others that of all other instances.
	Newest int64
	Heard  int
	Others int
	// Record is the configuration of that version, if it is newer than that of this instance.
	Record archive.Record
	// Current is true if it was current once, and AsOf the last monotonic time when it was, which is negative before the start of this instance.
	Current bool
	AsOf    clock.Millis
	// Before is the latest position up to which one of them had read before the era of the question, and Orders and ZonesOut are what it knows.
	Before   Position
	Orders   []catalogue.ReleaseOrder
	ZonesOut []string
}

// add adds the reply of an instance.
func (f *Finding) add(r *Reply) {
	f.Newest = max(f.Newest, r.Version)
	if before := r.knownBefore(f.Question.Era); before.After(f.Before) {
		f.Before, f.Orders, f.ZonesOut = before, r.Orders, r.ZonesOut
	}
}

// Caller calls methods of other members.
type Caller interface {
	CallWithin(ctx context.Context, timeout clock.Millis, member, method string, args, reply any) error
}

// Checker asks other instances for the version of their configuration when woken, and answers them. Its exported fields must be set before Run.
type Checker struct {
	Clock   clock.Clock
	Log     logr.Logger
	Self    catalogue.Member
	Network Caller
	Members func() []catalogue.Member
	// AwaitMembers returns once the members are known, or after a while.
	AwaitMembers func(ctx context.Context)
	// Own returns what this instance replies to others.
	Own func(a Args) Reply
	// Report receives the result of each check, and each newer configuration that is found before its end.
	Report func(f Finding)

	once sync.Once
	wake chan struct{}
	// question is the latest one.
	question atomic.Pointer[Question]
}

// Wake starts a check for a question, which replaces one whose check has not begun; it does not block.
func (c *Checker) Wake(q Question) {
	c.init()
	c.question.Store(&q)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Checker) init() { c.once.Do(func() { c.wake = make(chan struct{}, 1) }) }

// Run checks whenever it is woken, until ctx ends, and returns the error of ctx.
func (c *Checker) Run(ctx context.Context) error {
	c.init()
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.AwaitMembers(ctx)
		f := c.Check(ctx, *c.question.Load())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.Log.Info("other instances asked for their configuration", "era", f.Question.Era, "newest", f.Newest, "heard", f.Heard, "others", f.Others,
			"fetched", f.Record.Key != "")
		c.Report(f)
	}
}

// Check asks some instances for a newer configuration, at most for MaxWait, and fetches it. An instance that knows no earlier era asks until
// one that has settled in the same era, or all, have answered. Any other one hears as many as it can, because an answer doesn't tell whether its
// instance had been turned away by the store as well.
func (c *Checker) Check(ctx context.Context, q Question) Finding {
	end := c.Clock.Now() + MaxWait
	f, heard := Finding{Question: q, Others: c.countOthers()}, map[string]Reply{}
	var unheard []catalogue.Member
	for round := 0; ; round++ {
		if round < rounds {
			unheard = appendMissing(unheard, c.selectPeers(round))
		}
		replies := c.ask(ctx, unheard)
		settled := false
		for name, reply := range replies {
			heard[name] = reply
			f.add(&reply)
			settled = settled || reply.Settled && q.Era != 0 && reply.Era == q.Era
		}
		unheard = slices.DeleteFunc(unheard, func(m catalogue.Member) bool { _, found := replies[m.Name]; return found })
		f.Heard = len(heard)
		if f.Newest > c.Own(Args{}).Version {
			c.fetch(ctx, &f, heard)
		}
		if c.isDone(&f, round, settled, len(unheard)) || c.Clock.Now()+askPause >= end {
			return f
		}
		if f.Record.Key != "" {
			partial := f
			partial.Partial = true
			c.Report(partial)
		}
		if clock.Sleep(ctx, c.Clock, askPause) != nil {
			return f
		}
	}
}

// isDone reports whether a check ends with a round after which some of the selected instances have not answered.
func (c *Checker) isDone(f *Finding, round int, settled bool, unheard int) bool {
	switch {
	case settled && !f.Question.Known:
		return true
	case round+1 < rounds && f.Heard < f.Others:
		return false
	case unheard == 0:
		return true
	}
	return f.Question.Known && f.Heard > 0
}

// appendMissing appends those members that are not in the list yet.
func appendMissing(list, members []catalogue.Member) []catalogue.Member {
	for _, m := range members {
		if !slices.ContainsFunc(list, func(o catalogue.Member) bool { return o.Name == m.Name }) {
			list = append(list, m)
		}
	}
	return list
}

// countOthers returns the number of other instances.
func (c *Checker) countOthers() int {
	n := 0
	for _, m := range c.Members() {
		if m.Name != c.Self.Name {
			n++
		}
	}
	return n
}

// fetch adds the newest configuration to the finding, from one of the instances that have it.
func (c *Checker) fetch(ctx context.Context, f *Finding, heard map[string]Reply) {
	for name, reply := range heard {
		if reply.Version < f.Newest {
			continue
		}
		sentAt := c.Clock.Now()
		var full Reply
		if err := c.call(ctx, name, Args{Record: true}, &full); err != nil || full.Version < f.Newest {
			continue
		}
		f.Newest, f.Record = full.Version, full.Record
		if full.Current {
			f.Current, f.AsOf = true, sentAt-full.Age
		}
		return
	}
}

// ask returns the replies of those members that answer in time, by name.
func (c *Checker) ask(ctx context.Context, members []catalogue.Member) map[string]Reply {
	var mu sync.Mutex
	var wg sync.WaitGroup
	replies := map[string]Reply{}
	for _, m := range members {
		wg.Go(func() {
			var reply Reply
			if c.call(ctx, m.Name, Args{}, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[m.Name] = reply
		})
	}
	wg.Wait()
	return replies
}

func (c *Checker) call(ctx context.Context, member string, args Args, reply *Reply) error {
	err := c.Network.CallWithin(ctx, askTimeout, member, ServiceName+".Ask", args, reply)
	if err != nil {
		c.Log.V(1).Info("asking for the configuration failed", "member", member, "error", err.Error())
	}
	return err
}

// selectPeers returns the instances to ask in a round: the longest running ones of the own availability zone, which newer ones of the
// zone read from, and any others in the first round; any in the later ones.
func (c *Checker) selectPeers(round int) []catalogue.Member {
	var zone, others []catalogue.Member
	for _, m := range membership.Rank(fmt.Sprintf("revision %s %d", c.Self.Name, round), c.Members()) {
		switch {
		case m.Name == c.Self.Name:
		case m.Zone == c.Self.Zone && round == 0:
			zone = append(zone, m)
		default:
			others = append(others, m)
		}
	}
	slices.SortStableFunc(zone, func(a, b catalogue.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	oldest := min(oldestAsked, len(zone))
	others = append(others, zone[oldest:]...)
	return append(zone[:oldest:oldest], others[:min(oldestAsked+othersAsked-oldest, len(others))]...)
}

// Ask replies with what this instance knows of the configuration.
func (c *Checker) Ask(args Args, reply *Reply) error {
	*reply = c.Own(args)
	return nil
}
