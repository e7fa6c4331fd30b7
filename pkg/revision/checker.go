package revision

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/membership"
)

// ServiceName is the net/rpc service name of Checker.
const ServiceName = "Revisions"

const (
	// MaxWait bounds a check, in milliseconds: without any other instance that answers, the store is all there is.
	MaxWait = 2 * clock.Second
	// askTimeout limits one call, and askPause is the pause between calls of an instance that didn't answer, both in milliseconds.
	askTimeout clock.Millis = 350
	askPause   clock.Millis = 100
	// oldestAsked and othersAsked are the numbers of instances asked: the longest running ones of the own availability zone, and any others.
	oldestAsked = 3
	othersAsked = 5
)

// Args asks for the version of the active configuration, and for its record if Record is set.
type Args struct{ Record bool }

// Reply has the version of an instance's active configuration, 0 if it has none.
type Reply struct {
	Version int64
	// Settled is false while that instance doubts itself whether others have a newer one.
	Settled bool
	// Current is true if the configuration was known to be current once, and Age how long before the reply that was last so.
	Current bool
	Age     clock.Millis
	Record  archive.Record
}

// Finding is the result of a check.
type Finding struct {
	// Newest is the newest version of the instances that answered, and Heard their number.
	Newest int64
	Heard  int
	// Record is the configuration of that version, if it is newer than that of this instance.
	Record archive.Record
	// Current is true if it was current once, and AsOf the last monotonic time when it was, which is negative before the start of this instance.
	Current bool
	AsOf    clock.Millis
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
	// Report receives the result of each check.
	Report func(f Finding)

	once sync.Once
	wake chan struct{}
}

// Wake starts a check; it does not block.
func (c *Checker) Wake() {
	c.init()
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
		f := c.Check(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.Log.Info("other instances asked for their configuration", "newest", f.Newest, "heard", f.Heard, "fetched", f.Record.Key != "")
		c.Report(f)
	}
}

// Check asks some instances until a settled one or all of them have answered, at most for MaxWait, and fetches a newer configuration.
func (c *Checker) Check(ctx context.Context) Finding {
	end := c.Clock.Now() + MaxWait
	unheard, heard := c.selectPeers(), map[string]Reply{}
	for len(unheard) > 0 {
		settled := false
		for name, reply := range c.ask(ctx, unheard) {
			heard[name] = reply
			settled = settled || reply.Settled
		}
		unheard = slices.DeleteFunc(unheard, func(m catalogue.Member) bool { _, found := heard[m.Name]; return found })
		if settled || len(unheard) == 0 || c.Clock.Now()+askPause >= end || clock.Sleep(ctx, c.Clock, askPause) != nil {
			break
		}
	}
	f := Finding{Heard: len(heard)}
	for _, reply := range heard {
		f.Newest = max(f.Newest, reply.Version)
	}
	if f.Newest > c.Own(Args{}).Version {
		c.fetch(ctx, &f, heard)
	}
	return f
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
		if full.Settled && full.Current {
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

// selectPeers returns the instances to ask.
func (c *Checker) selectPeers() []catalogue.Member {
	var zone, others []catalogue.Member
	for _, m := range membership.Rank("revision "+c.Self.Name, c.Members()) {
		switch {
		case m.Name == c.Self.Name:
		case m.Zone == c.Self.Zone:
			zone = append(zone, m)
		default:
			others = append(others, m)
		}
	}
	slices.SortStableFunc(zone, func(a, b catalogue.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	oldest := min(oldestAsked, len(zone))
	others = append(others, zone[oldest:]...)
	return append(zone[:oldest:oldest], others[:min(othersAsked, len(others))]...)
}

// Ask replies with what this instance knows of the configuration.
func (c *Checker) Ask(args Args, reply *Reply) error {
	*reply = c.Own(args)
	return nil
}
