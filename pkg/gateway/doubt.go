package gateway

import (
	"maps"
	"slices"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/revision"
)

// Known returns what this instance tells others of its configuration.
func (c *Control) Known(a revision.Args) revision.Reply {
	reply := *c.known.Load()
	if !a.Record {
		reply.Record = archive.Record{}
	}
	age := c.Age(c.Clock.Now())
	reply.Current, reply.Age = age != unknownAge, age
	return reply
}

// renew records what the view has of the configuration and up to when it is current.
func (c *Control) renew() {
	if c.view.isCurrent() {
		c.currentAt.Store(int64(c.asOf))
	}
	if c.view.table != nil {
		era := &c.view.operationsEra
		c.known.Store(&revision.Reply{
			Version: c.view.table.Version, Settled: !c.view.doubted, Era: era.era, Record: c.view.tableRecord,
			Next: era.next, Before: era.before,
			Orders: slices.Collect(maps.Values(c.view.orders)), ZonesOut: slices.Collect(maps.Keys(c.view.zonesOut)),
		})
	}
}

// applyFinding takes over a newer configuration of another instance, and ends the doubt at the end of the check for it.
func (c *Control) applyFinding(f revision.Finding, now clock.Millis) {
	if f.Record.Key != "" {
		op, err := c.DecodeOperation(f.Record)
		if err != nil {
			c.Log.Info("the configuration of another instance can't be decoded", "version", f.Newest, "error", err.Error())
			return
		}
		if c.view.AdoptTable(op, now) {
			c.Log.Info("the store lacks the configuration of another instance, taken over", "version", op.Table.Version)
			if f.Current {
				c.currentAt.Store(max(c.currentAt.Load(), int64(f.AsOf)))
			}
		}
	}
	if f.Question == c.question && f.Before.After(c.view.operationsEra.before) {
		// Others that ask this instance learn them as well.
		c.view.operationsEra.before = f.Before
		if n := c.view.AdoptOperations(f.Orders, f.ZonesOut, now); n > 0 {
			c.Log.Info("the store lacks operations of another instance, taken over", "operations", n)
		}
	}
	if !f.Partial && f.Question == c.question {
		c.endDoubt(f)
	}
	c.renew()
	c.publish()
}

// endDoubt ends the doubt after a check, unless nobody answered an instance that knows an earlier era: its view may lack what was confirmed
// after its last read in that era, and its age bounds for how long that matters.
func (c *Control) endDoubt(f revision.Finding) {
	if f.Heard > 0 || !f.Question.Known {
		c.view.doubted = false
		return
	}
	if f.Others > 0 && c.view.doubted {
		c.OnDoubt(c.question)
	}
}

// applyOperations applies a batch of operators' changes, and has other instances asked for a newer configuration when the store came back
// from an older copy: no read of the copy tells what was confirmed between the last read before and the return.
func (c *Control) applyOperations(b archive.Batch[catalogue.Operation], now clock.Millis) {
	first, restores := !c.view.operationsEra.read, c.view.operationsEra.restores
	c.view.ApplyOperations(b, now)
	if c.OnDoubt != nil && (first && b.Era > 0 || c.view.operationsEra.restores > restores) {
		c.doubt(now)
	}
	c.asOf = b.AsOf
	c.renew()
}

// doubt makes the store count as current only once other instances were asked for a newer configuration, or after a while.
func (c *Control) doubt(now clock.Millis) {
	known := c.currentAt.Load() != neverCurrent
	c.question = revision.Question{Number: c.question.Number + 1, Era: c.view.operationsEra.era, Known: known}
	c.Log.Info("the store came back from an older copy, asking other instances for a newer configuration", "era", c.question.Era, "known", known)
	grace := doubtGrace
	if known {
		grace = confirmGrace
	}
	c.view.doubt(now + grace)
	c.OnDoubt(c.question)
}

// buildRevisions creates the check whether other instances have a newer configuration than a store that came back from an older copy.
func (in *Instance) buildRevisions() error {
	in.revisions = &revision.Checker{
		Clock: in.Clock, Log: in.Log.WithName("revision"), Self: in.self, Network: in.network, AwaitMembers: in.awaitMembers,
		Members: func() []catalogue.Member { return in.control.Snapshot().Members }, Own: in.control.Known,
		Report: func(f revision.Finding) { in.control.Send(f) },
	}
	in.control.OnDoubt, in.control.DecodeOperation = in.revisions.Wake, in.decodeOperation
	return in.network.Register(revision.ServiceName, in.revisions)
}
