package entry

import (
	"context"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/reservation"
	"carawayknot.example/carawayknot/pkg/session"
	"carawayknot.example/carawayknot/pkg/settings"
)

// revisionPollPeriod is how often waitRevision checks the revision in force, in milliseconds.
const revisionPollPeriod clock.Millis = 20

// build creates all components without starting any.
func (h *Daemon) build() error {
	if err := h.readKeys(); err != nil {
		return err
	}
	h.self = newSelf(h.Common)
	h.metrics = desk.NewMetrics()
	h.inFlight = &desk.InFlight{}
	h.buildPlatform()
	h.control = newControl(h.Common, h.self)
	h.prefixes = &dispatch.PrefixIndex{}
	h.outliers = &dispatch.OutlierDetector{}
	h.control.Forget = func(upstream string) {
		h.prefixes.Forget(upstream)
		h.outliers.Forget(upstream)
	}
	h.admission = &dispatch.Admission{Limit: h.Common.Settings.Limits.InFlight}
	h.budget = &delivery.Budget{Total: h.Common.Settings.Limits.AnswerBytes, PerRequest: h.Common.Settings.Limits.RequestBytes}
	h.buildPeers()
	h.buildStores()
	h.buildApplier()
	h.registerMetrics()
	return h.registerReceivers()
}

func (h *Daemon) readKeys() (err error) {
	k := h.Common.Settings.Keys
	for _, f := range []struct {
		to   *[]byte
		path string
	}{{&h.keys.Admin, k.AdminFile}, {&h.keys.Peer, k.PeerFile}, {&h.keys.Session, k.SessionFile}} {
		if *f.to, err = settings.ReadKey(f.path); err != nil {
			return err
		}
	}
	return nil
}

func (h *Daemon) buildPlatform() {
	p := h.Common.Settings.Platform
	h.log = &backoffice.Log{BaseURL: p.Log}
	h.list = &backoffice.List{BaseURL: p.List}
	h.ratings = &backoffice.Ratings{BaseURL: p.Ratings}
	h.engines = &backoffice.Engines{}
}

func (h *Daemon) buildPeers() {
	h.network = &membership.Network{Common: h.Common, Key: h.keys.Peer, Self: h.self}
	h.exchange = &membership.Exchange{
		Common:       h.Common,
		Self:         h.self,
		Client:       h.network,
		Cluster:      h.control.Knowledge,
		RunInControl: h.control.Do,
		OnExchange:   h.control.afterExchange,
	}
}

// afterExchange runs in the control thread after a gossip exchange; items is true when it changed an item.
func (c *Control) afterExchange(items bool) {
	if items {
		c.mergeItems()
	}
	c.refreshViewTime()
}

// buildStores creates the components that keep idempotency claims, bills and session pins.
func (h *Daemon) buildStores() {
	c := h.Common
	members := func() []catalogue.Member { return h.control.Snapshot().Members }
	instances := func() int { return len(members()) }
	h.claimLog = &ledger.Batcher{Common: c, Log: h.log, Stream: reservation.StreamName, Instances: instances}
	h.billLog = &ledger.Batcher{Common: c, Log: h.log, Stream: ledger.BillingStream, Instances: instances}
	h.claims = &reservation.Coordinator{
		Common:      c,
		Log:         h.claimLog,
		Tail:        &ledger.Tail{Common: c, Log: h.log, Stream: reservation.StreamName},
		Incarnation: h.self.Incarnation,
	}
	h.billKeeper = &ledger.BillKeeper{Common: c, Log: h.billLog}
	h.biller = &ledger.Biller{Common: c, Log: h.billLog, Peers: h.network, Members: members, Keeper: h.billKeeper}
	h.bills = &billFinder{Log: h.log}
	h.pinKeeper = &session.Keeper{Common: c}
	h.pins = &session.Affinity{Common: c, Keys: [][]byte{h.keys.Session}, Keeper: h.pinKeeper, Peers: h.network, Members: members}
}

func (h *Daemon) buildApplier() {
	h.applier = &archive.Applier{
		Common:  h.Common,
		Log:     h.log,
		State:   func() *catalogue.State { return h.control.Snapshot().Config },
		Wait:    h.waitRevision,
		Holders: h.holders,
		Ready:   h.canApply,
	}
}

func (h *Daemon) registerReceivers() error {
	for name, receiver := range map[string]any{
		membership.ExchangeName: &membership.Receiver{Exchange: h.exchange},
		"BillKeeper":            h.billKeeper,
		"Keeper":                h.pinKeeper,
		dumpReceiver:            &Dumper{daemon: h},
	} {
		if err := h.network.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// waitRevision blocks until this instance has the revision in force, or ctx ends.
func (h *Daemon) waitRevision(ctx context.Context, r catalogue.Revision) error {
	for h.control.Snapshot().Config.Revision < r {
		if err := clock.Sleep(ctx, h.Common.Clock, revisionPollPeriod); err != nil {
			return err
		}
	}
	return nil
}

// holders counts the members that are known to hold the revision, and names the others.
func (h *Daemon) holders(r catalogue.Revision) (have int, missing []string) {
	ctx, cancel := clock.WithTimeout(context.Background(), h.Common.Clock, callTimeout)
	defer cancel()
	type held struct {
		have    int
		missing []string
	}
	// A buffered channel, since the control thread may still run the function after the timeout.
	got := make(chan held, 1)
	err := h.control.Do(ctx, func() {
		n, m := h.control.Knowledge.Holders(r)
		got <- held{n, m}
	})
	if err != nil {
		return 0, []string{h.self.Name}
	}
	answer := <-got
	return answer.have, answer.missing
}

// canApply reports whether changes may be appended: the log was not replaced, and it was read completely or is empty.
func (h *Daemon) canApply() bool {
	ctx, cancel := clock.WithTimeout(context.Background(), h.Common.Clock, callTimeout)
	defer cancel()
	got := make(chan bool, 1)
	j := h.control.Journal
	err := h.control.Do(ctx, func() { got <- !j.Replaced() && (j.Ready() || j.Empty()) })
	return err == nil && <-got
}
