package membership

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// ExchangeName is the name that an Exchange is registered by.
const ExchangeName = "Exchange"

// Caller calls a method of a member.
type Caller interface {
	Call(ctx context.Context, member, method string, args, reply any) error
}

// Exchange asks a few members in each period for what they know, and answers when asked.
type Exchange struct {
	Common settings.Common
	Self   catalogue.Member
	Caller Caller
	// Knowledge is used inside Do alone.
	Knowledge *Knowledge
	// Do runs f in the control thread and returns after it, or returns an error when f didn't run.
	Do func(ctx context.Context, f func()) error
	// Changed is called in the control thread after an exchange; items tells whether an item changed.
	Changed func(items bool)

	rand *rand.Rand
	// asked has the members that owe an answer.
	asked sync.Map
}

// StateAsk asks for the configuration when it is newer than a revision.
type StateAsk struct {
	Above catalogue.Revision
}

// StateAnswer carries the configuration, or nothing when it isn't newer.
type StateAnswer struct {
	State []byte
}

// Receiver has the methods that other instances call.
type Receiver struct {
	Exchange *Exchange
}

// Ask answers the opening of an exchange.
func (r *Receiver) Ask(a *Ask, out *Answer) error {
	e := r.Exchange
	ctx, cancel := context.WithTimeout(context.Background(), callTime.Duration())
	defer cancel()
	return e.Do(ctx, func() { *out = e.Knowledge.Answer(*a) })
}

// State returns the configuration.
func (r *Receiver) State(a *StateAsk, out *StateAnswer) error {
	e := r.Exchange
	ctx, cancel := context.WithTimeout(context.Background(), callTime.Duration())
	defer cancel()
	var state *catalogue.State
	if err := e.Do(ctx, func() { state = e.Knowledge.Journal.State() }); err != nil {
		return err
	}
	if state.Revision <= a.Above {
		return nil
	}
	data, err := catalogue.EncodeState(state)
	out.State = data
	return err
}

// Run exchanges until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	seed := xxhash.Sum64String(e.Self.Name)
	e.rand = rand.New(rand.NewPCG(seed, uint64(e.Self.Incarnation)))
	period := e.Common.Settings.Times.PeerTick
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		// Jitter keeps instances that started together apart.
		pause := period*3/4 + clock.Millis(e.rand.Int64N(int64(period/2)+1))
		if err := clock.Sleep(ctx, e.Common.Clock, pause); err != nil {
			return err
		}
		// A member that doesn't answer must not hold up the others.
		if err := e.start(ctx, e.rand, &wg); err != nil {
			return err
		}
	}
}

// Round asks the members of one period and returns when all answered or failed.
func (e *Exchange) Round(ctx context.Context, r *rand.Rand) error {
	var wg sync.WaitGroup
	err := e.start(ctx, r, &wg)
	wg.Wait()
	if err != nil {
		return err
	}
	return ctx.Err()
}

// start asks the members of one period; it leaves out those that still owe an answer, and waits for none.
func (e *Exchange) start(ctx context.Context, r *rand.Rand, wg *sync.WaitGroup) error {
	var peers []catalogue.Member
	if err := e.Do(ctx, func() { peers = e.Knowledge.Peers(r) }); err != nil {
		return err
	}
	for _, p := range peers {
		if _, asked := e.asked.LoadOrStore(p.Name, true); asked {
			continue
		}
		wg.Go(func() {
			defer e.asked.Delete(p.Name)
			if err := e.askPeer(ctx, p); err != nil {
				e.Common.Log.WithName("exchange").V(1).Info("peer not heard", "member", p.Name, "why", err.Error())
			}
		})
	}
	return nil
}

func (e *Exchange) askPeer(ctx context.Context, p catalogue.Member) error {
	differ, err := e.askOnce(ctx, p, false)
	if err == nil && differ {
		_, err = e.askOnce(ctx, p, true)
	}
	return err
}

func (e *Exchange) askOnce(ctx context.Context, p catalogue.Member, sparse bool) (differ bool, err error) {
	var ask Ask
	if err := e.Do(ctx, func() { ask = e.Knowledge.Ask(sparse) }); err != nil {
		return false, err
	}
	sentAt := e.Common.Clock.Now()
	var answer Answer
	if err := e.Caller.Call(ctx, p.Name, ExchangeName+".Ask", &ask, &answer); err != nil {
		return false, err
	}
	behind := false
	err = e.Do(ctx, func() {
		changed := e.Knowledge.Learn(p.Name, sentAt, answer)
		behind = e.Knowledge.Behind(answer)
		if e.Changed != nil {
			e.Changed(changed)
		}
	})
	if err == nil && behind {
		err = e.fetchState(ctx, p)
	}
	return answer.Delta.Differ, err
}

// fetchState takes the configuration from a member, for an instance that can't read it from the log.
func (e *Exchange) fetchState(ctx context.Context, p catalogue.Member) error {
	var above catalogue.Revision
	if err := e.Do(ctx, func() { above = e.Knowledge.Journal.State().Revision }); err != nil {
		return err
	}
	var out StateAnswer
	if err := e.Caller.Call(ctx, p.Name, ExchangeName+".State", &StateAsk{Above: above}, &out); err != nil {
		return err
	}
	if out.State == nil {
		return nil
	}
	state, err := catalogue.DecodeState(out.State)
	if err != nil {
		return errors.Wrapf(err, "configuration of %s", p.Name)
	}
	return e.Do(ctx, func() {
		e.Knowledge.TakeState(state)
		if e.Changed != nil {
			e.Changed(false)
		}
	})
}
