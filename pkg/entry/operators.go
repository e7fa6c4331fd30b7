package entry

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	dumpReceiver = "Dumper"
	// dumpTimeout bounds the collection of dumps, in milliseconds.
	dumpTimeout = 3 * clock.Second
)

// operators implements desk.Operators, on which the admin API is built.
type operators struct {
	daemon *Daemon
}

// Apply appends a change to the configuration log and returns a receipt that says how far it has come into force.
func (o *operators) Apply(ctx context.Context, ch *catalogue.Change) (catalogue.Receipt, error) {
	return o.daemon.applier.Apply(ctx, ch)
}

// Snapshot returns the newest snapshot.
func (o *operators) Snapshot() *catalogue.Snapshot { return o.daemon.control.Snapshot() }

// Dump returns the *Dump of this instance, or a *DumpError.
func (o *operators) Dump(ctx context.Context) any {
	out, err := o.daemon.dump(ctx)
	if err != nil {
		return &DumpError{Why: err.Error()}
	}
	return out
}

// DumpAll collects the dumps of all members by name, each a JSON value, a *Dump or a *DumpError.
func (o *operators) DumpAll(ctx context.Context) map[string]any {
	ctx, cancel := clock.WithTimeout(ctx, o.daemon.Common.Clock, dumpTimeout)
	defer cancel()
	out := map[string]any{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range o.daemon.control.Snapshot().Members {
		wg.Go(func() {
			d := o.dumpMember(ctx, m.Name)
			mu.Lock()
			defer mu.Unlock()
			out[m.Name] = d
		})
	}
	wg.Wait()
	return out
}

func (o *operators) dumpMember(ctx context.Context, name string) any {
	if name == o.daemon.self.Name {
		return o.Dump(ctx)
	}
	var reply DumpReply
	if err := o.daemon.network.Call(ctx, name, dumpReceiver+".Dump", &DumpArgs{}, &reply); err != nil {
		return &DumpError{Why: err.Error()}
	}
	return json.RawMessage(reply.JSON)
}

// DumpError takes the place of the dump of a member that could not be reached.
type DumpError struct {
	Why string
}

// Error returns Why.
func (e *DumpError) Error() string { return e.Why }

// Dumper is the net/rpc receiver that serves this instance's dump to other instances.
type Dumper struct {
	daemon *Daemon
}

// DumpArgs has no fields; net/rpc requires an argument type.
type DumpArgs struct{}

// DumpReply carries a Dump encoded as JSON.
type DumpReply struct {
	JSON []byte
}

// Dump fills the reply with the dump of this instance, collected within dumpTimeout.
func (d *Dumper) Dump(_ *DumpArgs, reply *DumpReply) error {
	ctx, cancel := clock.WithTimeout(context.Background(), d.daemon.Common.Clock, dumpTimeout)
	defer cancel()
	dump, err := d.daemon.dump(ctx)
	if err != nil {
		return err
	}
	reply.JSON, err = json.Marshal(dump)
	return errors.Wrap(err, "encode dump")
}
