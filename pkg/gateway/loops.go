package gateway

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// operationsWait is how long a read of the operators' topic waits, in milliseconds: with one lost read and its repeat the
	// view is still younger than the 5 s for which a key that was taken away may be used.
	operationsWait clock.Millis = 1500
	// listWait is the same for the list of upstreams, where nothing depends on a read that brings nothing.
	listWait clock.Millis = 4000
	// membersWait is the same for the members.
	membersWait clock.Millis = 20000
	// statusWait is how long a read of the statuses of moves waits, in milliseconds.
	statusWait clock.Millis = 10000
)

// loops starts what runs beside the requests.
func (h *House) loops(ctx context.Context, peer net.Listener) (*errgroup.Group, context.Context) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return follow(ctx, h, archive.TopicOperations, operationsWait, h.Decoders.Operation, h.wakeMover)
	})
	g.Go(func() error { return follow(ctx, h, archive.TopicListings, listWait, h.Decoders.Listing, nil) })
	g.Go(func() error { return h.followMembers(ctx) })
	g.Go(func() error { return h.enrol(ctx) })
	g.Go(func() error { return h.network.Serve(ctx, peer) })
	g.Go(func() error { return h.followMoves(ctx) })
	g.Go(func() error { return h.report(ctx) })
	g.Go(func() error { return h.loads.Run(ctx) })
	g.Go(func() error { return h.reload(ctx) })
	return g, ctx
}

// follow keeps up with a topic and tells the control thread, and then what else is to know.
func follow[T any](ctx context.Context, h *House, name archive.TopicName, wait clock.Millis, decode func(archive.Record) (T, error), also func(archive.Batch[T])) error {
	log := h.Log.WithName("store")
	f := &archive.Follower[T]{
		Clock: h.Clock, Log: log, Name: string(name), Wait: wait,
		Topic: &archive.Decoded[T]{Source: h.shared, Log: log, Name: name, Decode: decode},
		Apply: func(b archive.Batch[T]) {
			h.control.Tell(b)
			if also != nil {
				also(b)
			}
		},
	}
	return f.Run(ctx)
}

// reportPeriod is the time between the lines that tell how the instance is, in milliseconds.
const reportPeriod clock.Millis = 10 * clock.Second

// report logs now and then how the instance is.
func (h *House) report(ctx context.Context) error {
	for {
		if err := clock.Sleep(ctx, h.Clock, reportPeriod); err != nil {
			return err
		}
		s := h.control.Snapshot()
		direct, peers := h.shared.Reads()
		values := []any{"inFlight", h.inFlight.Count(), "viewAgeMs", h.control.Age(h.Clock.Now()), "upstreams", len(s.Upstreams),
			"members", len(s.Members), "storeReads", direct, "instanceReads", peers}
		if s.Routes != nil {
			values = append(values, "table", s.Routes.Version)
		}
		if h.LogDropped != nil {
			values = append(values, "linesDropped", h.LogDropped())
		}
		h.Log.Info("status", values...)
	}
}

// wakeMover starts the following of moves once one is ordered.
func (h *House) wakeMover(b archive.Batch[catalogue.Operation]) {
	for _, op := range b.Items {
		if op.Kind == catalogue.OperationRelease {
			select {
			case h.wake <- struct{}{}:
			default:
			}
			return
		}
	}
}

// followMoves waits for the first order, then follows the statuses and settles moves.
func (h *House) followMoves(ctx context.Context) error {
	select {
	case <-h.wake:
	case <-ctx.Done():
		return ctx.Err()
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.retryReverts(ctx) })
	g.Go(func() error { return follow(ctx, h, archive.TopicStatuses, statusWait, h.Decoders.Status, h.noteTold) })
	g.Go(func() error {
		m := &Mover{House: h}
		for {
			if err := clock.Sleep(ctx, h.Clock, movePeriod); err != nil {
				return err
			}
			m.Round(ctx)
		}
	})
	return g.Wait()
}
