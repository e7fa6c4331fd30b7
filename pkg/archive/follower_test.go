package archive

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
)

// scriptedTopic answers reads from a list of steps and stops the follower after the last one.
type scriptedTopic struct {
	steps []step
	reads []string
	end   context.CancelFunc
	clock *clock.Manual
}

type step struct {
	batch Batch[string]
	err   error
}

func (s *scriptedTopic) next(call string) (Batch[string], error) {
	s.reads = append(s.reads, call)
	if len(s.steps) == 0 {
		s.end()
		return Batch[string]{}, context.Canceled
	}
	st := s.steps[0]
	s.steps = s.steps[1:]
	return st.batch, st.err
}

func (s *scriptedTopic) Newest(context.Context) (Batch[string], error) { return s.next("newest") }

func (s *scriptedTopic) Read(_ context.Context, from int64, wait clock.Millis) (Batch[string], error) {
	s.clock.Advance(0)
	call := "read"
	if wait == 0 {
		call = "read now"
	}
	return s.next(call + " " + string(rune('0'+from)))
}

func TestFollower(t *testing.T) {
	trimmed := errors.Mark(errors.New("gone"), ErrTrimmed)
	for _, c := range []struct {
		name    string
		steps   []step
		reads   []string
		applied []string
	}{
		{
			name:    "newest items, then the following ones",
			steps:   []step{{batch: Batch[string]{Items: []string{"a"}, Whole: true, Next: 2}}, {batch: Batch[string]{Items: []string{"b"}, Next: 3}}},
			reads:   []string{"newest", "read 2", "read 3"},
			applied: []string{"a", "b"},
		},
		{
			name:    "newest items are read again after trimming",
			steps:   []step{{batch: Batch[string]{Whole: true, Next: 2}}, {err: trimmed}, {batch: Batch[string]{Items: []string{"c"}, Whole: true, Next: 9}}},
			reads:   []string{"newest", "read 2", "newest", "read 9"},
			applied: []string{"c"},
		},
		{
			name:  "after a failure the next read doesn't wait",
			steps: []step{{batch: Batch[string]{Whole: true, Next: 2}}, {err: errors.New("down")}, {batch: Batch[string]{Next: 2}}},
			reads: []string{"newest", "read 2", "read now 2", "read 2"},
		},
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

// skippingClock is a manual clock whose timers of at most retryPause expire at once.
type skippingClock struct{ *clock.Manual }

func (c *skippingClock) Timer(d clock.Millis) (<-chan struct{}, func()) {
	if d <= retryPause {
		d = 0
	}
	return c.Manual.Timer(d)
}

func TestCache(t *testing.T) {
	r := func(key, value string) Record { return Record{Key: key, Value: []byte(value)} }
	c := &Cache{}
	if _, found := c.Newest(TopicListings); found {
		t.Error("Newest() found a topic that was not read")
	}
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("a", "1")}, Whole: true, Next: 5, AsOf: 10})
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("b", "2"), r("a", "")}, Next: 7, AsOf: 20})
	b, _ := c.Newest(TopicListings)
	if diff := cmp.Diff(Batch[Record]{Items: []Record{r("b", "2")}, Whole: true, Next: 7, AsOf: 20}, b); diff != "" {
		t.Errorf("Newest() (-want +got):\n%s", diff)
	}
	for _, x := range []struct {
		from  int64
		items int
		err   error
	}{{5, 2, nil}, {6, 1, nil}, {7, 0, nil}, {4, 0, ErrTrimmed}, {8, 0, ErrBehind}} {
		b, _, err := c.ReadFrom(TopicListings, 0, x.from)
		if len(b.Items) != x.items || !errors.Is(err, x.err) {
			t.Errorf("ReadFrom(%d): got %d records and error %v, want %d and %v", x.from, len(b.Items), err, x.items, x.err)
		}
	}
	_, changed, _ := c.ReadFrom(TopicListings, 0, 7)
	c.Update(TopicListings, Batch[Record]{Next: 7, AsOf: 30})
	select {
	case <-changed:
		t.Error("a read without records woke readers that wait for new ones")
	default:
	}
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("c", "3")}, Next: 8, AsOf: 40})
	<-changed
	// A batch with a position gap, left by a record that could not be read, empties the tail.
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("d", "4")}, Next: 10, AsOf: 50})
	if _, _, err := c.ReadFrom(TopicListings, 0, 8); !errors.Is(err, ErrTrimmed) {
		t.Errorf("ReadFrom() before a gap = %v, want ErrTrimmed", err)
	}
}
