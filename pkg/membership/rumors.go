package membership

import (
	"context"
	"strconv"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// RumorsName is the net/rpc service name of Rumors.
const RumorsName = "Rumors"

const (
	// rumorFanout is the number of members to which an instance passes a rumor on.
	rumorFanout = 5
	// rumorDelay is how long an instance collects news before it passes them on, in milliseconds.
	rumorDelay clock.Millis = 20
	// rumorTimeout limits one call, in milliseconds.
	rumorTimeout clock.Millis = 350
	// rumorBytesPerSecond and rumorBurstBytes limit what an instance sends; rumorCallBytes estimates a call without items.
	rumorBytesPerSecond = 300
	rumorBurstBytes     = 4000
	rumorCallBytes      = 120
)

// RumorArgs has news of the sender.
type RumorArgs struct{ Items []string }

// RumorReply has the items of the receiver that are newer than those it got.
type RumorReply struct{ Items []string }

// Caller calls methods of other members.
type Caller interface {
	CallWithin(ctx context.Context, timeout clock.Millis, member, method string, args, reply any) error
}

// Rumors spreads urgent news among all instances: each passes what is new to it on to a few of its neighbours at once, so that news
// depend on no single instance. Instances that a rumor misses learn of it from load reports. Its exported fields must be set before Run.
type Rumors struct {
	Clock   clock.Clock
	Log     logr.Logger
	Self    catalogue.Member
	Network Caller
	Members func() []catalogue.Member
	// News returns the items to pass on, and counts them as told.
	News func() []string
	// Hear adds items of another instance and returns those of this instance that are newer.
	Hear func(items []string) (newer []string)

	once sync.Once
	wake chan struct{}
	// spare is the number of bytes that may be sent as of spareAt.
	spare   float64
	spareAt clock.Millis
	// passed counts the times that news were passed on, each time to other neighbours.
	passed int
}

// Wake makes Run pass the news on soon; it does not block.
func (r *Rumors) Wake() {
	r.init()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Rumors) init() { r.once.Do(func() { r.wake = make(chan struct{}, 1) }) }

// Run passes news on until ctx ends, and returns the error of ctx.
func (r *Rumors) Run(ctx context.Context) error {
	r.init()
	r.spare, r.spareAt = rumorBurstBytes, r.Clock.Now()
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := clock.Sleep(ctx, r.Clock, max(rumorDelay, r.untilSpare())); err != nil {
			return err
		}
		r.pass(ctx)
	}
}

// untilSpare returns the time until bytes may be sent, in milliseconds.
func (r *Rumors) untilSpare() clock.Millis {
	now := r.Clock.Now()
	r.spare = min(rumorBurstBytes, r.spare+(now-r.spareAt).Seconds()*rumorBytesPerSecond)
	r.spareAt = now
	return clock.Millis(max(0, -r.spare) / rumorBytesPerSecond * float64(clock.Second))
}

// pass sends the news to some neighbours.
func (r *Rumors) pass(ctx context.Context) {
	items := r.News()
	if len(items) == 0 {
		return
	}
	bytes := rumorCallBytes
	for _, item := range items {
		bytes += len(item)
	}
	r.passed++
	peers := Rank(r.Self.Name+" "+strconv.Itoa(r.passed), neighbours(r.Self, r.Members()))
	var wg sync.WaitGroup
	for _, peer := range peers[:min(rumorFanout, len(peers))] {
		r.spare -= float64(bytes)
		wg.Go(func() { r.tell(ctx, peer.Name, items) })
	}
	wg.Wait()
}

func (r *Rumors) tell(ctx context.Context, member string, items []string) {
	var reply RumorReply
	if err := r.Network.CallWithin(ctx, rumorTimeout, member, RumorsName+".Tell", RumorArgs{Items: items}, &reply); err != nil {
		r.Log.V(1).Info("passing news on failed", "member", member, "error", err.Error())
		return
	}
	if len(reply.Items) > 0 {
		r.Hear(reply.Items)
	}
}

// Tell adds the news of another instance, and replies with what this instance knows better.
func (r *Rumors) Tell(args RumorArgs, reply *RumorReply) error {
	reply.Items = r.Hear(args.Items)
	return nil
}
