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

// waitPeriod is how often a revision that is waited for is looked for, in milliseconds.
const waitPeriod clock.Millis = 20

// build makes all parts; nothing runs yet.
func (h *House) build() error {
	if err := h.readKeys(); err != nil {
		return err
	}
	h.self = newSelf(h.Common)
	h.metrics = desk.NewMetrics()
	h.inFlight = &desk.InFlight{}
	h.buildPlatform()
	h.control = newControl(h.Common, h.self)
	h.prefixes = &dispatch.Prefixes{}
	h.outliers = &dispatch.Outliers{}
	h.control.Forget = func(upstream string) {
		h.prefixes.Forget(upstream)
		h.outliers.Forget(upstream)
	}
	h.admission = &dispatch.Admission{Limit: h.Common.Settings.Limits.InFlight}
	h.budget = &delivery.Budget{Total: h.Common.Settings.Limits.AnswerBytes, PerRequest: h.Common.Settings.Limits.RequestBytes}
	h.buildPeers()
	h.buildBooks()
	h.buildApplier()
	h.registerMetrics()
	return h.registerReceivers()
}

func (h *House) readKeys() (err error) {
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

func (h *House) buildPlatform() {
	p := h.Common.Settings.Platform
	h.log = &backoffice.Log{BaseURL: p.Log}
	h.list = &backoffice.List{BaseURL: p.List}
	h.ratings = &backoffice.Ratings{BaseURL: p.Ratings}
	h.engines = &backoffice.Engines{}
}

func (h *House) buildPeers() {
	h.network = &membership.Network{Common: h.Common, Key: h.keys.Peer, Self: h.self}
	h.exchange = &membership.Exchange{
		Common:    h.Common,
		Self:      h.self,
		Caller:    h.network,
		Knowledge: h.control.Knowledge,
		Do:        h.control.Do,
		Changed:   h.control.exchanged,
	}
}

// exchanged is called in the control thread after an exchange.
func (c *Control) exchanged(items bool) {
	if items {
		c.itemsChanged()
	}
	c.renew()
}

// buildBooks makes the parts that keep claims, bills and pins.
func (h *House) buildBooks() {
	c := h.Common
	members := func() []catalogue.Member { return h.control.Snapshot().Members }
	instances := func() int { return len(members()) }
	h.claimLog = &ledger.Batcher{Common: c, Log: h.log, Stream: reservation.StreamName, Instances: instances}
	h.billLog = &ledger.Batcher{Common: c, Log: h.log, Stream: ledger.BillingStream, Instances: instances}
	h.claims = &reservation.Book{
		Common:      c,
		Log:         h.claimLog,
		Tail:        &ledger.Tail{Common: c, Log: h.log, Stream: reservation.StreamName},
		Incarnation: h.self.Incarnation,
	}
	h.keeper = &ledger.BillKeeper{Common: c, Log: h.billLog}
	h.biller = &ledger.Biller{Common: c, Log: h.billLog, Peers: h.network, Members: members, Keeper: h.keeper}
	h.bills = &billIndex{Log: h.log}
	h.pinKeeper = &session.Keeper{Common: c}
	h.pins = &session.Book{Common: c, Keys: [][]byte{h.keys.Session}, Keeper: h.pinKeeper, Peers: h.network, Members: members}
}

func (h *House) buildApplier() {
	h.applier = &archive.Applier{
		Common:  h.Common,
		Log:     h.log,
		State:   func() *catalogue.State { return h.control.Snapshot().Config },
		Wait:    h.waitRevision,
		Holders: h.holders,
		Ready:   h.mayApply,
	}
}

func (h *House) registerReceivers() error {
	for name, receiver := range map[string]any{
		membership.ExchangeName: &membership.Receiver{Exchange: h.exchange},
		"BillKeeper":            h.keeper,
		"Keeper":                h.pinKeeper,
		dumpReceiver:            &Dumper{house: h},
	} {
		if err := h.network.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// waitRevision returns once the revision is in force here.
func (h *House) waitRevision(ctx context.Context, r catalogue.Revision) error {
	for h.control.Snapshot().Config.Revision < r {
		if err := clock.Sleep(ctx, h.Common.Clock, waitPeriod); err != nil {
			return err
		}
	}
	return nil
}

func (h *House) holders(r catalogue.Revision) (have int, missing []string) {
	ctx, cancel := clock.WithTimeout(context.Background(), h.Common.Clock, callTime)
	defer cancel()
	type held struct {
		have    int
		missing []string
	}
	// A channel, since the control thread may still run the function after the time is up.
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

// mayApply tells whether changes may be appended: the configuration is whole and the log was not replaced, or the log is empty.
func (h *House) mayApply() bool {
	ctx, cancel := clock.WithTimeout(context.Background(), h.Common.Clock, callTime)
	defer cancel()
	got := make(chan bool, 1)
	j := h.control.Journal
	err := h.control.Do(ctx, func() { got <- !j.Replaced() && (j.Ready() || j.Empty()) })
	return err == nil && <-got
}
