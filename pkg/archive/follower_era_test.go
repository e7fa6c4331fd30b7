package archive

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Guards against records that are skipped because a store that came back from an older copy gave out their positions again.
func TestFollowerReadsAnewInAnotherEra(t *testing.T) {
	whole := func(era, next int64, items ...string) step {
		return step{batch: Batch[string]{Items: items, Whole: true, Next: next, Era: era}}
	}
	following := func(era, next int64, items ...string) step {
		return step{batch: Batch[string]{Items: items, Next: next, Era: era}}
	}
	for _, c := range []struct {
		name    string
		steps   []step
		reads   []string
		applied []string
	}{
		{"a higher era", []step{whole(4, 2, "a"), following(5, 3, "skipped"), whole(5, 3, "b"), following(5, 4, "c")},
			[]string{"newest", "read 2", "newest", "read 3", "read 4"}, []string{"a", "b", "c"}},
		{"the first rise of an era that begins with 0", []step{whole(0, 2, "a"), following(1, 2), whole(1, 1, "b")},
			[]string{"newest", "read 2", "newest", "read 1"}, []string{"a", "b"}},
		{"a late response of an earlier era", []step{whole(4, 2, "a"), following(3, 3, "late"), whole(4, 3, "b"), following(4, 4, "c")},
			[]string{"newest", "read 2", "newest", "read 3", "read 4"}, []string{"a", "b", "c"}},
		{"an earlier era that a second response confirms", []step{whole(4, 2, "a"), following(3, 3, "late"), whole(3, 3, "b"), following(3, 4, "c")},
			[]string{"newest", "read 2", "newest", "read 3", "read 4"}, []string{"a", "b", "c"}},
		{"an unknown era follows the known one", []step{whole(4, 2, "a"), following(0, 3, "b"), following(4, 4, "c")},
			[]string{"newest", "read 2", "read 3", "read 4"}, []string{"a", "b", "c"}},
		{"newest items of an unknown era", []step{whole(4, 2, "a"), following(5, 2), whole(0, 2, "b"), following(4, 3, "c")},
			[]string{"newest", "read 2", "newest", "read 2", "read 3"}, []string{"a", "b", "c"}},
		{"positions that are gone in a higher era", []step{whole(4, 2, "a"), {err: errors.Mark(errors.New("gone"), ErrTrimmed)}, whole(5, 1, "b"), following(5, 2, "c")},
			[]string{"newest", "read 2", "newest", "read 1", "read 2"}, []string{"a", "b", "c"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			m := clock.NewManual(0)
			s := &scriptedTopic{steps: c.steps, end: cancel, clock: m}
			var applied []string
			f := &Follower[string]{Clock: &skippingClock{m}, Log: logr.Discard(), Topic: s, Name: "test", Wait: 1000, Apply: func(b Batch[string]) {
				applied = append(applied, b.Items...)
			}}
			if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("Run() = %v, want context.Canceled", err)
			}
			if diff := cmp.Diff(c.reads, s.reads); diff != "" {
				t.Errorf("reads (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.applied, applied); diff != "" {
				t.Errorf("applied (-want +got):\n%s", diff)
			}
		})
	}
}

// changingTopic answers each call in another era and counts the calls.
type changingTopic struct {
	calls int64
	end   context.CancelFunc
}

func (s *changingTopic) answer(whole bool) (Batch[string], error) {
	s.calls++
	if s.calls == 10 {
		s.end()
	}
	return Batch[string]{Whole: whole, Era: s.calls}, nil
}

func (s *changingTopic) Newest(context.Context) (Batch[string], error) { return s.answer(true) }

func (s *changingTopic) Read(context.Context, int64, clock.Millis) (Batch[string], error) {
	return s.answer(false)
}

// countingClock counts the timers of a manual clock, which expire at once.
type countingClock struct {
	*clock.Manual
	pauses int
}

func (c *countingClock) Timer(d clock.Millis) (<-chan struct{}, func()) {
	if d == retryPause {
		c.pauses++
		d = 0
	}
	return c.Manual.Timer(d)
}

// Guards against reads without a pause from a store that changes its era all the time.
func TestFollowerPausesWhenTheEraChangesWithEachRead(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &countingClock{Manual: clock.NewManual(0)}
	f := &Follower[string]{Clock: c, Log: logr.Discard(), Topic: &changingTopic{end: cancel}, Wait: 1000, Apply: func(Batch[string]) {}}
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Run() = %v, want context.Canceled", err)
	}
	if c.pauses != 5 {
		t.Errorf("%d pauses in 10 reads of 10 eras, want 5", c.pauses)
	}
}
