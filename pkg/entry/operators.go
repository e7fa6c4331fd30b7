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
	// dumpTime bounds the collecting of one dump, in milliseconds.
	dumpTime = 3 * clock.Second
)

// operators is what the admin API needs of a daemon.
type operators struct {
	house *House
}

// Apply brings a change into force and tells how far it has come.
func (o *operators) Apply(ctx context.Context, ch *catalogue.Change) (catalogue.Receipt, error) {
	return o.house.applier.Apply(ctx, ch)
}

// Snapshot returns the newest snapshot.
func (o *operators) Snapshot() *catalogue.Snapshot { return o.house.control.Snapshot() }

// Dump returns everything this instance knows.
func (o *operators) Dump(ctx context.Context) any {
	d, err := o.house.dump(ctx)
	if err != nil {
		return &DumpError{Why: err.Error()}
	}
	return d
}

// DumpAll returns the dumps of all members by name.
func (o *operators) DumpAll(ctx context.Context) map[string]any {
	ctx, cancel := clock.WithTimeout(ctx, o.house.Common.Clock, dumpTime)
	defer cancel()
	out := map[string]any{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range o.house.control.Snapshot().Members {
		wg.Go(func() {
			d := o.member(ctx, m.Name)
			mu.Lock()
			defer mu.Unlock()
			out[m.Name] = d
		})
	}
	wg.Wait()
	return out
}

func (o *operators) member(ctx context.Context, name string) any {
	if name == o.house.self.Name {
		return o.Dump(ctx)
	}
	var reply DumpReply
	if err := o.house.network.Call(ctx, name, dumpReceiver+".Dump", &DumpArgs{}, &reply); err != nil {
		return &DumpError{Why: err.Error()}
	}
	return json.RawMessage(reply.JSON)
}

// DumpError stands in for the dump of a member that can't be reached.
type DumpError struct {
	Why string
}

// Error tells the cause.
func (e *DumpError) Error() string { return e.Why }

// Dumper answers other instances that ask for this one's dump; it is a net/rpc receiver.
type Dumper struct {
	house *House
}

// DumpArgs is empty.
type DumpArgs struct{}

// DumpReply carries a dump as JSON.
type DumpReply struct {
	JSON []byte
}

// Dump returns the dump of this instance.
func (d *Dumper) Dump(_ *DumpArgs, reply *DumpReply) error {
	ctx, cancel := clock.WithTimeout(context.Background(), d.house.Common.Clock, dumpTime)
	defer cancel()
	dump, err := d.house.dump(ctx)
	if err != nil {
		return err
	}
	reply.JSON, err = json.Marshal(dump)
	return errors.Wrap(err, "encode dump")
}
