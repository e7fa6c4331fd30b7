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

// revisionPollPeriod is how often waitRevision checks which revision is in force, in milliseconds.
const revisionPollPeriod clock.Millis = 20

// build creates all components without starting any.
func (d *Daemon) build() error {
	if err := d.readKeys(); err != nil {
		return err
	}
	d.self = newSelf(d.Common)
	d.metrics = desk.NewMetrics()
	d.inFlight = &desk.InFlight{}
	d.buildPlatform()
	d.control = newControl(d.Common, d.self)
	d.prefixes = &dispatch.PrefixIndex{}
	d.outliers = &dispatch.OutlierDetector{}
	d.control.Forget = func(upstream string) {
		d.prefixes.Forget(upstream)
		d.outliers.Forget(upstream)
	}
	d.admission = &dispatch.Admission{Limit: d.Common.Settings.Limits.InFlight}
	d.budget = &delivery.Budget{Total: d.Common.Settings.Limits.AnswerBytes, PerRequest: d.Common.Settings.Limits.RequestBytes}
	d.buildPeers()
	d.buildStores()
	d.buildApplier()
	d.registerMetrics()
	return d.registerReceivers()
}

func (d *Daemon) readKeys() (err error) {
	k := d.Common.Settings.Keys
	for _, f := range []struct {
		to   *[]byte
		path string
	}{{&d.keys.Admin, k.AdminFile}, {&d.keys.Peer, k.PeerFile}, {&d.keys.Session, k.SessionFile}} {
		if *f.to, err = settings.ReadKey(f.path); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) buildPlatform() {
	p := d.Common.Settings.Platform
	d.log = &backoffice.Log{BaseURL: p.Log}
	d.list = &backoffice.List{BaseURL: p.List}
	d.ratings = &backoffice.Ratings{BaseURL: p.Ratings}
	d.engines = &backoffice.Engines{}
}

func (d *Daemon) buildPeers() {
	d.network = &membership.Network{Common: d.Common, Key: d.keys.Peer, Self: d.self}
	d.exchange = &membership.Exchange{
		Common:       d.Common,
		Self:         d.self,
		Client:       d.network,
		Cluster:      d.control.Cluster,
		RunInControl: d.control.Do,
		OnExchange:   d.control.afterExchange,
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
func (d *Daemon) buildStores() {
	c := d.Common
	members := func() []catalogue.Member { return d.control.Snapshot().Members }
	instances := func() int { return len(members()) }
	d.claimLog = &ledger.Batcher{Common: c, Log: d.log, Stream: reservation.StreamName, Instances: instances}
	d.billLog = &ledger.Batcher{Common: c, Log: d.log, Stream: ledger.BillingStream, Instances: instances}
	d.claims = &reservation.Coordinator{
		Common:      c,
		Log:         d.claimLog,
		Tail:        &ledger.Tail{Common: c, Log: d.log, Stream: reservation.StreamName},
		Incarnation: d.self.Incarnation,
	}
	d.billKeeper = &ledger.BillKeeper{Common: c, Log: d.billLog}
	d.biller = &ledger.Biller{Common: c, Log: d.billLog, Peers: d.network, Members: members, Keeper: d.billKeeper}
	d.bills = &billFinder{Log: d.log}
	d.pinKeeper = &session.Keeper{Common: c}
	d.pins = &session.Affinity{Common: c, Keys: [][]byte{d.keys.Session}, Keeper: d.pinKeeper, Peers: d.network, Members: members}
}

func (d *Daemon) buildApplier() {
	d.applier = &archive.Applier{
		Common:  d.Common,
		Log:     d.log,
		State:   func() *catalogue.State { return d.control.Snapshot().Config },
		Wait:    d.waitRevision,
		Holders: d.holders,
		Ready:   d.canApply,
	}
}

func (d *Daemon) registerReceivers() error {
	for name, receiver := range map[string]any{
		membership.ExchangeName: &membership.Receiver{Exchange: d.exchange},
		"BillKeeper":            d.billKeeper,
		"Keeper":                d.pinKeeper,
		dumpReceiver:            &Dumper{daemon: d},
	} {
		if err := d.network.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// waitRevision blocks until the revision is in force on this instance, or ctx ends.
func (d *Daemon) waitRevision(ctx context.Context, r catalogue.Revision) error {
	for d.control.Snapshot().Config.Revision < r {
		if err := clock.Sleep(ctx, d.Common.Clock, revisionPollPeriod); err != nil {
			return err
		}
	}
	return nil
}

// holders counts the members that are known to hold the revision, and names the others.
func (d *Daemon) holders(r catalogue.Revision) (have int, missing []string) {
	ctx, cancel := clock.WithTimeout(context.Background(), d.Common.Clock, callTimeout)
	defer cancel()
	type holderCount struct {
		have    int
		missing []string
	}
	// A buffered channel, since the control thread may still run the function after the timeout.
	got := make(chan holderCount, 1)
	err := d.control.Do(ctx, func() {
		n, m := d.control.Cluster.Holders(r)
		got <- holderCount{n, m}
	})
	if err != nil {
		return 0, []string{d.self.Name}
	}
	count := <-got
	return count.have, count.missing
}

// canApply reports whether changes may be appended: the log was not replaced, and it was read completely or is empty.
func (d *Daemon) canApply() bool {
	ctx, cancel := clock.WithTimeout(context.Background(), d.Common.Clock, callTimeout)
	defer cancel()
	got := make(chan bool, 1)
	replica := d.control.Replica
	err := d.control.Do(ctx, func() { got <- !replica.Replaced() && (replica.Ready() || replica.Empty()) })
	return err == nil && <-got
}
