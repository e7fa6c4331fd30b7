package gateway

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// operationsWaitFraction is the fraction of the time for which a revoked key may be used that a read of the operators' topic waits
// for new records, at most maxOperationsWait: even if one read is lost and repeated, the view stays younger than that time.
const operationsWaitFraction = 0.3

const (
	// maxOperationsWait bounds how long a read of the operators' topic waits for new records.
	maxOperationsWait clock.Millis = 1500
	// listWait is the same for the upstream list; it may be longer because nothing depends on an empty read, while one of the
	// operators' topic confirms that the view is current.
	listWait clock.Millis = 4000
	// membersWait is the same for the members' topic.
	membersWait clock.Millis = 20000
	// statusWait is the same for the statuses of release rollouts.
	statusWait clock.Millis = 10000
)

// startLoops starts the background loops; the returned context ends when one of them fails.
func (in *Instance) startLoops(ctx context.Context, peer net.Listener) (*errgroup.Group, context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return followTopic(ctx, in, archive.TopicOperations, operationsWait(in.Settings.Bounds.Revocation), in.decodeOperation, in.signalRollout)
	})
	g.Go(func() error {
		return followTopic(ctx, in, archive.TopicListings, listWait, in.Decoders.Listing, in.observeListings())
	})
	g.Go(func() error { return in.followMembers(ctx) })
	g.Go(func() error { return in.register(ctx) })
	g.Go(func() error { return in.network.Serve(ctx, peer) })
	g.Go(func() error { return in.runRollouts(ctx) })
	g.Go(func() error { return in.logStatus(ctx) })
	g.Go(func() error { return in.loads.Run(ctx) })
	g.Go(func() error { return in.rumors.Run(ctx) })
	g.Go(func() error { return in.revisions.Run(ctx) })
	g.Go(func() error { return in.quarantine.Run(ctx) })
	g.Go(func() error { return in.detours.Run(ctx) })
	g.Go(func() error { return in.reload(ctx) })
	g.Go(func() error { return in.runAccounts(ctx) })
	in.startDuties(ctx, g)
	return g, ctx
}

// operationsWait returns how long a read of the operators' topic waits for new records.
func operationsWait(revocation clock.Millis) clock.Millis {
	return min(maxOperationsWait, clock.Millis(operationsWaitFraction*float64(revocation)))
}

// decodeOperation decodes an operation, and keeps the record of a configuration.
func (in *Instance) decodeOperation(r archive.Record) (catalogue.Operation, error) {
	op, err := in.Decoders.Operation(r)
	if op.Table != nil {
		op.Key, op.Value = r.Key, r.Value
	}
	return op, err
}

// followTopic reads a topic continuously and passes each batch to the control actor, and then to onBatch unless that is nil.
func followTopic[T any](ctx context.Context, in *Instance, name archive.TopicName, wait clock.Millis,
	decode func(archive.Record) (T, error), onBatch func(archive.Batch[T])) error {
	log := in.Log.WithName("store")
	f := &archive.Follower[T]{
		Clock: in.Clock, Log: log, Name: string(name), Wait: wait,
		Topic: &archive.DecodedTopic[T]{Source: in.peerSource, Log: log, Name: name, Decode: decode},
		Apply: func(b archive.Batch[T]) {
			in.control.Send(b)
			if onBatch != nil {
				onBatch(b)
			}
		},
	}
	return f.Run(ctx)
}

// statusPeriod is the time between the log lines with the state of the instance.
const statusPeriod clock.Millis = 10 * clock.Second

// logStatus logs the state of the instance periodically.
func (in *Instance) logStatus(ctx context.Context) error {
	for {
		if err := clock.Sleep(ctx, in.Clock, statusPeriod); err != nil {
			return err
		}
		s := in.control.Snapshot()
		storeReads, instanceReads := in.peerSource.Reads()
		values := []any{"inFlight", in.inFlight.Count(), "viewAgeMs", in.control.Age(in.Clock.Now()), "upstreams", len(s.Upstreams),
			"members", len(s.Members), "storeReads", storeReads, "instanceReads", instanceReads}
		if s.Routes != nil {
			values = append(values, "configurationVersion", s.Routes.Version)
		}
		if in.LogDropped != nil {
			values = append(values, "logLinesDropped", in.LogDropped())
		}
		in.Log.Info("instance status", values...)
	}
}

// signalRollout wakes runRollouts once a release rollout is ordered.
func (in *Instance) signalRollout(b archive.Batch[catalogue.Operation]) {
	for _, op := range b.Items {
		if op.Kind == catalogue.OperationRelease {
			select {
			case in.rolloutOrdered <- struct{}{}:
			default:
			}
			return
		}
	}
}

// runRollouts waits for the first ordered rollout, then follows the statuses and controls the rollouts.
func (in *Instance) runRollouts(ctx context.Context) error {
	select {
	case <-in.rolloutOrdered:
	case <-ctx.Done():
		return ctx.Err()
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return in.writeStatuses(ctx) })
	g.Go(func() error {
		return followTopic(ctx, in, archive.TopicStatuses, statusWait, in.Decoders.Status, in.recordStatuses)
	})
	c := &RolloutController{Instance: in}
	g.Go(func() error { return in.repeatEach(ctx, rolloutPeriod, c.Judge) })
	// Writes may take long, and must not hold up a verdict.
	g.Go(func() error { return in.repeatEach(ctx, rolloutPeriod, func() { c.WriteStatuses(ctx) }) })
	return g.Wait()
}

// repeatEach calls f, with a pause of period before each call, until ctx ends, and returns the error of ctx.
func (in *Instance) repeatEach(ctx context.Context, period clock.Millis, f func()) error {
	for {
		if err := clock.Sleep(ctx, in.Clock, period); err != nil {
			return err
		}
		f()
	}
}
