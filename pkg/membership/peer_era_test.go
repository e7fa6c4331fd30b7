package membership

import (
	"bytes"
	"context"
	"encoding/gob"
	"testing"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Guards against an instance that joins records of two eras because another instance has noticed later or sooner that the store came
// back from an older copy.
func TestPeerSourceKeepsErasApart(t *testing.T) {
	const topic = archive.TopicStatuses
	record := []archive.Record{{Key: "k", Value: []byte("v")}}
	for _, c := range []struct {
		name string
		// peer is the era of the older instance, own that of the reader and other that of another topic of the reader.
		peer, own, other int64
		whole            bool
		storeReads       int
		trimmed          bool
	}{
		{name: "the same era", peer: 4, own: 4},
		{name: "the older instance is behind", peer: 3, own: 4, storeReads: 1},
		{name: "the older instance doesn't know eras", peer: 0, own: 4, storeReads: 1},
		{name: "the older instance is ahead", peer: 5, own: 4, trimmed: true},
		{name: "neither knows eras", peer: 0, own: 0},
		{name: "newest records of the same era", peer: 4, other: 4, whole: true},
		{name: "newest records of an earlier era than another topic", peer: 3, other: 4, whole: true, storeReads: 1},
		{name: "newest records of a later era", peer: 5, other: 4, whole: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerPair(t)
			p.cache.Update(topic, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: 9500, Era: c.peer})
			p.cache.Update(topic, archive.Batch[archive.Record]{Items: record, Next: 5, AsOf: 9500, Era: c.peer})
			if c.own != 0 {
				p.source.Cache.Update(topic, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: 9500, Era: c.own})
			}
			if c.other != 0 {
				p.source.Cache.Update(archive.TopicListings, archive.Batch[archive.Record]{Whole: true, Era: c.other})
			}
			var b archive.Batch[archive.Record]
			var err error
			if c.whole && c.storeReads > 0 {
				// The wait of the older instance for a later era ends on its manual clock.
				done := make(chan struct{})
				defer close(done)
				go advanceUntil(p.clock, done)
			}
			if c.whole {
				b, err = p.source.Newest(context.Background(), topic)
			} else {
				b, err = p.source.Read(context.Background(), topic, 4, 0)
			}
			if errors.Is(err, archive.ErrTrimmed) != c.trimmed || err != nil && !c.trimmed || p.store.reads != c.storeReads {
				t.Fatalf("got %+v and error %v after %d reads of the store, want %d reads, trimmed %t", b, err, p.store.reads, c.storeReads, c.trimmed)
			}
			if c.storeReads == 0 && !c.trimmed && b.Era != c.peer {
				t.Errorf("got era %d from the older instance, want %d", b.Era, c.peer)
			}
		})
	}
}

func advanceUntil(m *clock.Manual, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
			m.Advance(1)
		}
	}
}

// An older build has messages without an era.
func TestReadMessagesOfAnOlderBuild(t *testing.T) {
	type oldArgs struct {
		Topic archive.TopicName
		Whole bool
		From  int64
	}
	type oldReply struct {
		Records []archive.Record
		Next    int64
	}
	for _, c := range []struct{ sent, got any }{
		{ReadArgs{Topic: archive.TopicListings, From: 7, Era: 4}, &oldArgs{}},
		{oldArgs{Topic: archive.TopicListings, From: 7}, &ReadArgs{}},
		{ReadReply{Next: 7, Era: 4}, &oldReply{}},
		{oldReply{Next: 7}, &ReadReply{}},
	} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(c.sent); err != nil {
			t.Fatal(err)
		}
		if err := gob.NewDecoder(&b).Decode(c.got); err != nil {
			t.Errorf("%T read as %T: %v", c.sent, c.got, err)
		}
	}
}

// waitingStore has reads that wait until their context ends.
type waitingStore struct {
	countingStore
	waiting chan struct{}
}

func (s *waitingStore) Read(ctx context.Context, _ archive.TopicName, _ int64, _ clock.Millis) (archive.Batch[archive.Record], error) {
	s.waiting <- struct{}{}
	<-ctx.Done()
	return archive.Batch[archive.Record]{}, ctx.Err()
}

// Guards against lost statuses and members that are noticed only at the end of a long wait, because the store that came back from an
// older copy doesn't end the reads that wait.
func TestWaitEndsWhenAnotherTopicShowsALaterEra(t *testing.T) {
	p := newPeerPair(t)
	p.zone = 1
	store := &waitingStore{countingStore: countingStore{clock: p.clock}, waiting: make(chan struct{})}
	p.source.Store = store
	p.source.Cache.Update(archive.TopicMembers, archive.Batch[archive.Record]{Whole: true, Next: 4, Era: 4})
	done := make(chan error)
	go func() {
		_, err := p.source.Read(context.Background(), archive.TopicMembers, 4, 20_000)
		done <- err
	}()
	<-store.waiting
	p.source.Cache.Update(archive.TopicListings, archive.Batch[archive.Record]{Whole: true, Era: 4})
	select {
	case err := <-done:
		t.Fatalf("the wait ended with %v in the same era", err)
	default:
	}
	p.source.Cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Era: 5})
	var eraErr *archive.EraError
	if err := <-done; !errors.Is(err, archive.ErrTrimmed) || !errors.As(err, &eraErr) {
		t.Errorf("the wait ended with %v, want an *EraError that is ErrTrimmed", err)
	}
}
