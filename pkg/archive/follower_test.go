package archive

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
)

// script answers reads by a list of steps and ends the follower after the last one.
type script struct {
	steps []step
	asked []string
	end   context.CancelFunc
	clock *clock.Manual
}

type step struct {
	batch Batch[string]
	err   error
}

func (s *script) next(what string) (Batch[string], error) {
	s.asked = append(s.asked, what)
	if len(s.steps) == 0 {
		s.end()
		return Batch[string]{}, context.Canceled
	}
	st := s.steps[0]
	s.steps = s.steps[1:]
	return st.batch, st.err
}

func (s *script) Newest(context.Context) (Batch[string], error) { return s.next("newest") }

func (s *script) Read(_ context.Context, from int64, wait clock.Millis) (Batch[string], error) {
	s.clock.Advance(0)
	what := "read"
	if wait == 0 {
		what = "read now"
	}
	return s.next(what + " " + string(rune('0'+from)))
}

func TestFollower(t *testing.T) {
	trimmed := errors.Mark(errors.New("gone"), ErrTrimmed)
	for _, c := range []struct {
		name    string
		steps   []step
		asked   []string
		applied []string
	}{
		{
			name:    "newest, then what follows",
			steps:   []step{{batch: Batch[string]{Items: []string{"a"}, Whole: true, Next: 2}}, {batch: Batch[string]{Items: []string{"b"}, Next: 3}}},
			asked:   []string{"newest", "read 2", "read 3"},
			applied: []string{"a", "b"},
		},
		{
			name:    "dropped history is read anew",
			steps:   []step{{batch: Batch[string]{Whole: true, Next: 2}}, {err: trimmed}, {batch: Batch[string]{Items: []string{"c"}, Whole: true, Next: 9}}},
			asked:   []string{"newest", "read 2", "newest", "read 9"},
			applied: []string{"c"},
		},
		{
			name:  "after a failure the next read doesn't wait",
			steps: []step{{batch: Batch[string]{Whole: true, Next: 2}}, {err: errors.New("down")}, {batch: Batch[string]{Next: 2}}},
			asked: []string{"newest", "read 2", "read now 2", "read 2"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			m := clock.NewManual(0)
			s := &script{steps: c.steps, end: cancel, clock: m}
			var applied []string
			f := &Follower[string]{Clock: &hasty{m}, Log: logr.Discard(), Topic: s, Name: "test", Wait: 1000, Apply: func(b Batch[string]) {
				applied = append(applied, b.Items...)
			}}
			if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("ended with %v", err)
			}
			if diff := cmp.Diff(c.asked, s.asked); diff != "" {
				t.Errorf("reads (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.applied, applied); diff != "" {
				t.Errorf("applied (-want +got):\n%s", diff)
			}
		})
	}
}

// hasty is a manual clock whose short timers are due at once.
type hasty struct{ *clock.Manual }

func (h *hasty) Timer(d clock.Millis) (<-chan struct{}, func()) {
	if d <= followerPause {
		d = 0
	}
	return h.Manual.Timer(d)
}

func TestCache(t *testing.T) {
	r := func(key, value string) Record { return Record{Key: key, Value: []byte(value)} }
	c := &Cache{}
	if _, known := c.Whole(TopicListings); known {
		t.Error("a topic that was not read is known")
	}
	c.Take(TopicListings, Batch[Record]{Items: []Record{r("a", "1")}, Whole: true, Next: 5, SentAt: 10})
	c.Take(TopicListings, Batch[Record]{Items: []Record{r("b", "2"), r("a", "")}, Next: 7, SentAt: 20})
	b, _ := c.Whole(TopicListings)
	if diff := cmp.Diff(Batch[Record]{Items: []Record{r("b", "2")}, Whole: true, Next: 7, SentAt: 20}, b); diff != "" {
		t.Errorf("whole (-want +got):\n%s", diff)
	}
	for _, x := range []struct {
		from  int64
		items int
		err   error
	}{{5, 2, nil}, {6, 1, nil}, {7, 0, nil}, {4, 0, ErrTrimmed}, {8, 0, ErrBehind}} {
		b, _, err := c.After(TopicListings, x.from)
		if len(b.Items) != x.items || !errors.Is(err, x.err) {
			t.Errorf("from %d: %d records and %v, want %d and %v", x.from, len(b.Items), err, x.items, x.err)
		}
	}
	_, changed, _ := c.After(TopicListings, 7)
	c.Take(TopicListings, Batch[Record]{Next: 7, SentAt: 30})
	select {
	case <-changed:
		t.Error("a read without records wakes those that wait for some")
	default:
	}
	c.Take(TopicListings, Batch[Record]{Items: []Record{r("c", "3")}, Next: 8, SentAt: 40})
	<-changed
	// A record that could not be read has a position, so that the tail can't be counted back over it.
	c.Take(TopicListings, Batch[Record]{Items: []Record{r("d", "4")}, Next: 10, SentAt: 50})
	if _, _, err := c.After(TopicListings, 8); !errors.Is(err, ErrTrimmed) {
		t.Errorf("records behind a gap give %v", err)
	}
}
