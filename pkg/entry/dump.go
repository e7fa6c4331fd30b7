package entry

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/rating"
	"carawayknot.example/carawayknot/pkg/request"
)

// Dump is a diagnostic dump of one instance's state; its times are monotonic milliseconds of that instance.
type Dump struct {
	Self      catalogue.Member
	Now       clock.Millis
	Ready     string
	InFlight  int
	Snapshot  *catalogue.Snapshot
	Control   ControlDump
	Flights   map[string]int
	Refused   map[request.Reason]int
	HeldBytes int64
	Claims    ClaimsDump
	Bills     BillsDump
	Sessions  int
	Traffic   TrafficDump
}

// ControlDump is the part of a dump that the control thread owns: log position, members, gossip items, verdicts and ratings.
type ControlDump struct {
	Revision     catalogue.Revision
	Next         int64
	LogProvedAt  clock.Millis
	ProvedAt     clock.Millis
	Whole        bool
	Replaced     bool
	HighestHeard catalogue.Revision
	ListAt       clock.Millis
	Listed       []catalogue.Member
	Items        []membership.Item
	Verdicts     []dispatch.Verdict
	Counters     []rating.Counter
	Suspects     []rating.Suspect
	Dropped      int64
}

// ClaimsDump says whether the instance has read enough of the claim stream to decide on idempotency keys.
type ClaimsDump struct {
	Ready bool
}

// BillsDump counts the bills that are not in the log yet, and lists those held for other instances.
type BillsDump struct {
	// Unsafe counts the bills that only this instance has, and Owed those that the log does not have.
	Unsafe int
	Owed   int
	// Held are the bills held for other instances.
	Held []*ledger.Bill
}

// TrafficDump counts the bytes sent to and received from other instances since the start.
type TrafficDump struct {
	Sent     int64
	Received int64
}

// dump collects the dump of this instance.
func (h *Daemon) dump(ctx context.Context) (*Dump, error) {
	control := make(chan ControlDump, 1)
	if err := h.control.Do(ctx, func() { control <- h.control.dump() }); err != nil {
		return nil, err
	}
	d := &Dump{
		Self:      h.self,
		Now:       h.now(),
		Ready:     "ready",
		InFlight:  h.inFlight.Count(),
		Snapshot:  h.control.Snapshot(),
		Control:   <-control,
		Flights:   h.flights.Counts(),
		Refused:   h.admission.Refused(),
		HeldBytes: h.budget.Held(),
		Claims:    ClaimsDump{Ready: h.claims.Ready()},
		Bills:     BillsDump{Held: h.billKeeper.Bills()},
		Sessions:  len(h.pinKeeper.Sessions()),
	}
	if err := h.ready(); err != nil {
		d.Ready = err.Error()
	}
	d.Bills.Unsafe, d.Bills.Owed = h.biller.Backlog()
	d.Traffic.Sent, d.Traffic.Received = h.network.Traffic()
	return d, nil
}

func (c *Control) dump() ControlDump {
	k := c.Knowledge
	return ControlDump{
		Revision:     c.Journal.State().Revision,
		Next:         c.Journal.Next(),
		LogProvedAt:  c.Journal.ProvedAt(),
		ProvedAt:     k.ProvedAt(),
		Whole:        c.Journal.Ready(),
		Replaced:     c.Journal.Replaced(),
		HighestHeard: k.Freshness.Highest(),
		ListAt:       k.Membership.ListAt(),
		Listed:       k.Membership.Listed(),
		Items:        append(k.Gossip.Items(verdictTopic), k.Gossip.Items(healthTopic)...),
		Verdicts:     c.ColdWatch.Verdicts(),
		Counters:     c.Ratings.LocalCounters(),
		Suspects:     c.Ratings.Suspects(),
		Dropped:      c.Dropped(),
	}
}
