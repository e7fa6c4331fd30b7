package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

// fakeStore has the values that were written to the only record; down and loseAnswers make the next calls fail.
type fakeStore struct {
	log               [][]byte
	reads, writes     int
	down, loseAnswers int
}

func (s *fakeStore) Newest(context.Context, archive.TopicName) (archive.Batch[archive.Record], error) {
	s.reads++
	if s.down > 0 {
		s.down--
		return archive.Batch[archive.Record]{}, errors.New("store is down")
	}
	b := archive.Batch[archive.Record]{Whole: true, Next: int64(len(s.log))}
	if n := len(s.log); n > 0 && len(s.log[n-1]) > 0 {
		b.Items = []archive.Record{{Key: recordKey, Value: s.log[n-1]}}
	}
	return b, nil
}

func (s *fakeStore) PutIf(_ context.Context, _ archive.TopicName, _ string, value []byte, at int64) (int64, error) {
	s.writes++
	end := int64(len(s.log))
	if at != end {
		return end, &archive.ConditionError{End: end}
	}
	s.log = append(s.log, value)
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, errors.New("answer lost")
	}
	return end + 1, nil
}

// write appends a record as another instance does.
func (s *fakeStore) write(t *testing.T, at clock.Millis, items ...string) {
	t.Helper()
	value, err := json.Marshal(Record{Items: items, WrittenAt: int64(at)})
	if err != nil {
		t.Fatal(err)
	}
	s.log = append(s.log, value)
}

// items returns the items of the last record.
func (s *fakeStore) items(t *testing.T) []string {
	t.Helper()
	if len(s.log) == 0 || len(s.log[len(s.log)-1]) == 0 {
		return nil
	}
	var r Record
	if err := json.Unmarshal(s.log[len(s.log)-1], &r); err != nil {
		t.Fatal(err)
	}
	return r.Items
}

// fakeSuspects are a set of items.
type fakeSuspects struct {
	mu    sync.Mutex
	items map[string]bool
}

func (s *fakeSuspects) Kept() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.items))
}

func (s *fakeSuspects) Hear(keys []string) []string {
	for _, key := range keys {
		s.set(key, true)
	}
	return nil
}

func (s *fakeSuspects) set(key string, suspect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspect {
		s.items[key] = true
	} else {
		delete(s.items, key)
	}
}

func TestKeeper(t *testing.T) {
	type result struct {
		Known, Stored []string
		Reads, Writes int
	}
	for _, c := range []struct {
		name              string
		stored            []string
		age               clock.Millis
		down, loseAnswers int
		// then happens after the start.
		then func(k *Keeper, s *fakeStore, known *fakeSuspects)
		want result
	}{
		{name: "nothing is quarantined", want: result{Reads: 1}},
		{name: "read at the start", stored: []string{"a"}, want: result{Known: []string{"a"}, Stored: []string{"a"}, Reads: 1}},
		{name: "the store is down at the start", stored: []string{"a"}, down: 2, want: result{Known: []string{"a"}, Stored: []string{"a"}, Reads: 3}},
		{name: "an old record", stored: []string{"a"}, age: recordTTL, want: result{Stored: []string{"a"}, Reads: 1}},
		{name: "met here", stored: []string{"a"}, then: func(k *Keeper, _ *fakeStore, known *fakeSuspects) {
			known.set("b", true)
			k.Wake()
		}, want: result{Known: []string{"a", "b"}, Stored: []string{"a", "b"}, Reads: 1, Writes: 1}},
		{name: "met here, nothing new", stored: []string{"a"}, then: func(k *Keeper, _ *fakeStore, _ *fakeSuspects) { k.Wake() },
			want: result{Known: []string{"a"}, Stored: []string{"a"}, Reads: 1}},
		{name: "another instance wrote meanwhile", then: func(k *Keeper, s *fakeStore, known *fakeSuspects) {
			s.write(t, k.Clock.Wall(), "c")
			known.set("b", true)
			k.Wake()
		}, want: result{Known: []string{"b", "c"}, Stored: []string{"b", "c"}, Reads: 2, Writes: 2}},
		{name: "the answer to the write is lost", loseAnswers: 1, then: func(k *Keeper, _ *fakeStore, known *fakeSuspects) {
			known.set("b", true)
			k.Wake()
		}, want: result{Known: []string{"b"}, Stored: []string{"b"}, Reads: 2, Writes: 2}},
		{name: "cleared", stored: []string{"a"}, then: func(k *Keeper, _ *fakeStore, known *fakeSuspects) {
			known.set("a", false)
			k.Wake()
		}, want: result{Reads: 1, Writes: 1}},
		{name: "many changes", then: func(k *Keeper, _ *fakeStore, known *fakeSuspects) {
			for i := range 10 {
				known.set(string(rune('a'+i)), true)
				k.Wake()
				time.Sleep(10 * time.Millisecond)
			}
		}, want: result{Known: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}, Stored: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"},
			Reads: 1, Writes: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clk, store, known := clock.NewReal(), &fakeStore{down: c.down, loseAnswers: c.loseAnswers}, &fakeSuspects{items: map[string]bool{}}
				if c.stored != nil {
					store.write(t, clk.Wall()-c.age, c.stored...)
				}
				k := &Keeper{Clock: clk, Log: logr.Discard(), Store: store, Suspects: known, Members: func() int { return 9 }}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_ = k.Run(ctx)
				}()
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if c.then != nil {
					c.then(k, store, known)
				}
				time.Sleep(10 * time.Second)
				cancel()
				<-ended
				got := result{Known: k.kept(), Stored: store.items(t), Reads: store.reads, Writes: store.writes}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}
