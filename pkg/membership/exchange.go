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

// ExchangeName is the net/rpc service name of Receiver.
const ExchangeName = "Exchange"

// PeerClient calls an RPC method of another instance, which is addressed by its member name.
type PeerClient interface {
	Call(ctx context.Context, member, method string, args, reply any) error
}

// Exchange runs the gossip protocol: in each period it pulls state from a few members, and it answers the calls of others.
type Exchange struct {
	Common settings.Common
	Self   catalogue.Member
	Client PeerClient
	// Cluster is accessed inside RunInControl only.
	Cluster *ClusterState
	// RunInControl runs f in the control goroutine and waits for its end; when it returns an error, f did not run.
	RunInControl func(ctx context.Context, f func()) error
	// OnExchange is called in the control goroutine after each exchange; itemsChanged is true when a gossip item changed.
	OnExchange func(itemsChanged bool)

	rand *rand.Rand
	// inFlight has the names of the members whose answer is pending.
	inFlight sync.Map
}

// StateAsk requests the configuration if its revision is above Above.
type StateAsk struct {
	Above catalogue.Revision
}

// StateAnswer carries the encoded configuration, or no data when it is not newer.
type StateAnswer struct {
	State []byte
}

// Receiver is the net/rpc receiver for the calls of other instances.
type Receiver struct {
	Exchange *Exchange
}

// Ask replies with this instance's revision and proofs and the items that the sender of the digest lacks.
func (r *Receiver) Ask(a *Ask, out *Answer) error {
	e := r.Exchange
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	return e.RunInControl(ctx, func() { *out = e.Cluster.Answer(*a) })
}

// State replies with the encoded configuration if its revision is above that of the request.
func (r *Receiver) State(a *StateAsk, out *StateAnswer) error {
	e := r.Exchange
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	var state *catalogue.State
	if err := e.RunInControl(ctx, func() { state = e.Cluster.Replica.State() }); err != nil {
		return err
	}
	if state.Revision <= a.Above {
		return nil
	}
	data, err := catalogue.EncodeState(state)
	out.State = data
	return err
}

// Run exchanges with peers in each period until ctx ends, and returns the error of ctx.
func (e *Exchange) Run(ctx context.Context) error {
	seed := xxhash.Sum64String(e.Self.Name)
	e.rand = rand.New(rand.NewPCG(seed, uint64(e.Self.Incarnation)))
	period := e.Common.Settings.Times.PeerTick
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		// Jitter keeps instances that were started together from exchanging in step.
		interval := period*3/4 + clock.Millis(e.rand.Int64N(int64(period/2)+1))
		if err := clock.Sleep(ctx, e.Common.Clock, interval); err != nil {
			return err
		}
		// A member that doesn't answer must not delay the exchange with the others.
		if err := e.startRound(ctx, e.rand, &wg); err != nil {
			return err
		}
	}
}

// Round exchanges with the peers of one period and returns when all calls have ended.
func (e *Exchange) Round(ctx context.Context, r *rand.Rand) error {
	var wg sync.WaitGroup
	err := e.startRound(ctx, r, &wg)
	wg.Wait()
	if err != nil {
		return err
	}
	return ctx.Err()
}

// startRound starts the exchanges of one period without waiting for them; it skips members whose last answer is still pending.
func (e *Exchange) startRound(ctx context.Context, r *rand.Rand, wg *sync.WaitGroup) error {
	var peers []catalogue.Member
	if err := e.RunInControl(ctx, func() { peers = e.Cluster.Peers(r) }); err != nil {
		return err
	}
	for _, p := range peers {
		if _, pending := e.inFlight.LoadOrStore(p.Name, true); pending {
			continue
		}
		wg.Go(func() {
			defer e.inFlight.Delete(p.Name)
			if err := e.exchangeWith(ctx, p); err != nil {
				e.Common.Log.WithName("exchange").V(1).Info("exchange with peer failed", "member", p.Name, "error", err.Error())
			}
		})
	}
	return nil
}

func (e *Exchange) exchangeWith(ctx context.Context, p catalogue.Member) error {
	viewsDiffer, err := e.sendAsk(ctx, p, false)
	if err == nil && viewsDiffer {
		_, err = e.sendAsk(ctx, p, true)
	}
	return err
}

func (e *Exchange) sendAsk(ctx context.Context, p catalogue.Member, sparse bool) (viewsDiffer bool, err error) {
	var ask Ask
	if err := e.RunInControl(ctx, func() { ask = e.Cluster.Ask(sparse) }); err != nil {
		return false, err
	}
	sentAt := e.Common.Clock.Now()
	var answer Answer
	if err := e.Client.Call(ctx, p.Name, ExchangeName+".Ask", &ask, &answer); err != nil {
		return false, err
	}
	needsState := false
	err = e.RunInControl(ctx, func() {
		changed := e.Cluster.MergeAnswer(p.Name, sentAt, answer)
		needsState = e.Cluster.NeedsState(answer)
		if e.OnExchange != nil {
			e.OnExchange(changed)
		}
	})
	if err == nil && needsState {
		err = e.fetchState(ctx, p)
	}
	return answer.Delta.Differ, err
}

// fetchState fetches the configuration from a member, for an instance that can't read it from the log.
func (e *Exchange) fetchState(ctx context.Context, p catalogue.Member) error {
	var above catalogue.Revision
	if err := e.RunInControl(ctx, func() { above = e.Cluster.Replica.State().Revision }); err != nil {
		return err
	}
	var out StateAnswer
	if err := e.Client.Call(ctx, p.Name, ExchangeName+".State", &StateAsk{Above: above}, &out); err != nil {
		return err
	}
	if out.State == nil {
		return nil
	}
	state, err := catalogue.DecodeState(out.State)
	if err != nil {
		return errors.Wrapf(err, "decode configuration of %s", p.Name)
	}
	return e.RunInControl(ctx, func() {
		e.Cluster.AdoptState(state)
		if e.OnExchange != nil {
			e.OnExchange(false)
		}
	})
}
