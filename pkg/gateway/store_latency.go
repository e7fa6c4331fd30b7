package gateway

import (
	"context"
	"sync/atomic"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

// timedSource measures how long the store takes to answer, from reads that find nothing: the time beyond the wait that was asked for.
type timedSource struct {
	archive.Source
	clock clock.Clock

	// latency is that of the last such read, in milliseconds.
	latency atomic.Int64
}

// Read reads from the store.
func (s *timedSource) Read(ctx context.Context, topic archive.TopicName, from int64, wait clock.Millis) (archive.Batch[archive.Record], error) {
	start := s.clock.Now()
	b, err := s.Source.Read(ctx, topic, from, wait)
	if took := s.clock.Now() - start; err == nil && len(b.Items) == 0 && took >= wait {
		s.latency.Store(int64(took - wait))
	}
	return b, err
}

// Latency returns how long the store took to answer lately; it is 0 if this instance doesn't read the store itself.
func (s *timedSource) Latency() clock.Millis { return clock.Millis(s.latency.Load()) }
