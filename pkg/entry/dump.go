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
func (d *Daemon) dump(ctx context.Context) (*Dump, error) {
	control := make(chan ControlDump, 1)
	if err := d.control.Do(ctx, func() { control <- d.control.dump() }); err != nil {
		return nil, err
	}
	out := &Dump{
		Self:      d.self,
		Now:       d.now(),
		Ready:     "ready",
		InFlight:  d.inFlight.Count(),
		Snapshot:  d.control.Snapshot(),
		Control:   <-control,
		Flights:   d.upstreamInFlight.Counts(),
		Refused:   d.admission.Refused(),
		HeldBytes: d.budget.Held(),
		Claims:    ClaimsDump{Ready: d.claims.Ready()},
		Bills:     BillsDump{Held: d.billKeeper.Bills()},
		Sessions:  len(d.pinKeeper.Sessions()),
	}
	if err := d.ready(); err != nil {
		out.Ready = err.Error()
	}
	out.Bills.Unsafe, out.Bills.Owed = d.biller.Backlog()
	out.Traffic.Sent, out.Traffic.Received = d.network.Traffic()
	return out, nil
}

func (c *Control) dump() ControlDump {
	cluster := c.Cluster
	return ControlDump{
		Revision:     c.Replica.State().Revision,
		Next:         c.Replica.Next(),
		LogProvedAt:  c.Replica.ProvedAt(),
		ProvedAt:     cluster.ProvedAt(),
		Whole:        c.Replica.Ready(),
		Replaced:     c.Replica.Replaced(),
		HighestHeard: cluster.Freshness.Highest(),
		ListAt:       cluster.Membership.ListAt(),
		Listed:       cluster.Membership.Listed(),
		Items:        append(cluster.Gossip.Items(verdictTopic), cluster.Gossip.Items(healthTopic)...),
		Verdicts:     c.ColdStarts.Verdicts(),
		Counters:     c.Ratings.LocalCounters(),
		Suspects:     c.Ratings.Suspects(),
		Dropped:      c.Dropped(),
	}
}
