package gateway

import (
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
		c.known.Store(&revision.Reply{Version: c.view.table.Version, Settled: !c.view.doubted, Record: c.view.tableRecord})
	}
}

// applyFinding ends the doubt whether other instances have a newer configuration, and takes over what one of them has.
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
	c.view.doubted = false
	c.renew()
	c.publish()
}

// applyOperations applies a batch of operators' changes, and has other instances asked when they may know newer ones.
func (c *Control) applyOperations(b archive.Batch[catalogue.Operation], now clock.Millis) {
	first, restores, outdated := !c.view.operationsEra.read, c.view.operationsEra.restores, c.Age(now) > c.MaxAge
	c.view.ApplyOperations(b, now)
	if c.OnDoubt != nil && (first && b.Era > 0 || outdated && c.view.operationsEra.restores > restores) {
		c.Log.Info("the store came back from an older copy, asking other instances for a newer configuration", "era", b.Era)
		c.view.doubt(now)
		c.OnDoubt()
	}
	c.asOf = b.AsOf
	c.renew()
}

// buildRevisions creates the check whether other instances have a newer configuration than a store that came back from an older copy.
func (in *Instance) buildRevisions() error {
	in.revisions = &revision.Checker{
		Clock: in.Clock, Log: in.Log.WithName("revision"), Self: in.self, Network: in.network, AwaitMembers: in.awaitMembers,
		Members: func() []catalogue.Member { return in.control.Snapshot().Members }, Own: in.control.Known,
		Report: func(f revision.Finding) { in.control.Send(f) },
	}
	in.control.OnDoubt, in.control.MaxAge, in.control.DecodeOperation = in.revisions.Wake, in.maxReadyAge(), in.decodeOperation
	return in.network.Register(revision.ServiceName, in.revisions)
}
