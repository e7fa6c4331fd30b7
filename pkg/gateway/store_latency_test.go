package gateway

import (
	"context"
	"errors"
	"testing"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

// slowSource takes some time for each read.
type slowSource struct {
	archive.Source
	clock *clock.Manual
	took  clock.Millis
	items int
	err   error
}

func (s *slowSource) Read(context.Context, archive.TopicName, int64, clock.Millis) (archive.Batch[archive.Record], error) {
	s.clock.Advance(s.took)
	return archive.Batch[archive.Record]{Items: make([]archive.Record, s.items)}, s.err
}

func TestTimedSource(t *testing.T) {
	c := clock.NewManual(0)
	inner := &slowSource{clock: c}
	s := &timedSource{Source: inner, clock: c}
	for _, step := range []struct {
		name  string
		took  clock.Millis
		items int
		err   error
		want  clock.Millis
	}{
		{"nothing found", 1800, 0, nil, 300},
		{"records end the wait", 1900, 2, nil, 300},
		{"a failed read", 2500, 0, errors.New("away"), 300},
		{"the store is quick again", 1506, 0, nil, 6},
	} {
		inner.took, inner.items, inner.err = step.took, step.items, step.err
		if _, err := s.Read(context.Background(), archive.TopicOperations, 1, 1500); !errors.Is(err, step.err) {
			t.Fatalf("%s: error %v, want %v", step.name, err, step.err)
		}
		if got := s.Latency(); got != step.want {
			t.Errorf("%s: latency %d, want %d", step.name, got, step.want)
		}
	}
}
