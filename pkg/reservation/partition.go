package reservation

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// PartitionEpoch has the number of streams over which claims are partitioned for keys with timestamps from From on. As the
// timestamp of a key never changes, all instances map it to the same stream, provided that they learn of an epoch before
// it begins.
type PartitionEpoch struct {
	// From is a wall time.
	From  clock.Millis
	Count int
}

// streamName returns the name of the stream of partition n.
func (e PartitionEpoch) streamName(n int) string {
	if e.Count <= 1 {
		return StreamName
	}
	return fmt.Sprintf("%s-%d-%02d", StreamName, e.Count, n)
}

// StreamOf returns the name of the stream that carries the claims of a key, given the epochs in ascending order: keys before
// the first epoch belong to it too, and without epochs there is a single stream.
func StreamOf(epochs []PartitionEpoch, key string, keyAt clock.Millis) string {
	var current PartitionEpoch
	for i, e := range epochs {
		if i == 0 || e.From <= keyAt {
			current = e
		}
	}
	if current.Count <= 1 {
		return StreamName
	}
	return current.streamName(int(xxhash.Sum64String(key) % uint64(current.Count)))
}

// Streams returns the names of all streams of the epochs, without duplicates.
func Streams(epochs []PartitionEpoch) []string {
	if len(epochs) == 0 {
		return []string{StreamName}
	}
	var names []string
	seen := map[string]bool{}
	for _, e := range epochs {
		for n := range max(e.Count, 1) {
			if name := e.streamName(n); !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// Partitions is a filter that routes each request to the Coordinator of the stream that its key maps to.
type Partitions struct {
	Epochs []PartitionEpoch
	// Coordinators has a Coordinator for each of Streams(Epochs).
	Coordinators map[string]*Coordinator
}

// Run runs all Coordinators until ctx ends or one of them fails.
func (p *Partitions) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, co := range p.Coordinators {
		g.Go(func() error { return co.Run(ctx) })
	}
	return g.Wait()
}

// Filter passes a non-repeatable request to the Coordinator of its key's stream, and a repeatable one directly to next.
func (p *Partitions) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Request.Repeatable {
		return next.Handle(ctx, c)
	}
	fp, err := newFingerprint(c.Request)
	if err != nil {
		return err
	}
	return p.Coordinators[StreamOf(p.Epochs, fp.key, fp.keyAt)].Filter(ctx, c, next)
}

// Ready reports whether all Coordinators are ready.
func (p *Partitions) Ready() bool {
	for _, co := range p.Coordinators {
		if !co.Ready() {
			return false
		}
	}
	return true
}

// Flush waits until all outcomes and releases are in the log, and returns the cause if ctx ends first.
func (p *Partitions) Flush(ctx context.Context) error {
	for _, co := range p.Coordinators {
		if err := co.Flush(ctx); err != nil {
			return err
		}
	}
	return nil
}
