package membership

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// countingStore counts the reads of a store whose topics end at next.
type countingStore struct {
	clock clock.Clock
	next  int64
	reads int
	// wait is that of the last read.
	wait clock.Millis
	err  error
}

func (s *countingStore) Newest(context.Context, archive.TopicName) (archive.Batch[archive.Record], error) {
	s.reads++
	return archive.Batch[archive.Record]{Whole: true, Next: s.next, AsOf: s.clock.Now()}, nil
}

func (s *countingStore) Read(_ context.Context, _ archive.TopicName, from int64, wait clock.Millis) (archive.Batch[archive.Record], error) {
	s.reads++
	s.wait = wait
	if s.err != nil {
		return archive.Batch[archive.Record]{}, s.err
	}
	b := archive.Batch[archive.Record]{Next: s.next, AsOf: s.clock.Now()}
	for range s.next - from {
		b.Items = append(b.Items, archive.Record{Key: "k", Value: []byte("v")})
	}
	return b, nil
}

// peerPair is an instance that serves its cache, and a source of a younger one that reads from it.
type peerPair struct {
	clock  *clock.Manual
	cache  *archive.Cache
	store  *countingStore
	source *PeerSource
	zone   int
}

func newPeerPair(t *testing.T) *peerPair {
	t.Helper()
	p := &peerPair{clock: clock.NewManual(10_000), cache: &archive.Cache{}, zone: minZoneSize}
	p.store = &countingStore{clock: p.clock, next: 5}
	common := settings.Common{Log: logr.Discard(), Clock: p.clock}
	oldNetwork := &Network{Common: common, Self: catalogue.Member{Name: "old"}}
	if err := oldNetwork.Register(ReaderName, &Reader{Clock: p.clock, Cache: p.cache}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- oldNetwork.Serve(ctx, l) }()
	youngNetwork := &Network{Common: common, Self: catalogue.Member{Name: "young"}}
	youngNetwork.SetMembers([]catalogue.Member{{Name: "old", PeerAddress: l.Addr().String()}})
	t.Cleanup(func() {
		youngNetwork.SetMembers(nil)
		cancel()
		<-done
	})
	p.source = &PeerSource{
		Clock: p.clock, Network: youngNetwork, Store: p.store, Cache: &archive.Cache{}, Drain: 3000,
		OlderInstances: func() ([]string, int) { return []string{"old"}, p.zone }, AwaitMembers: func(context.Context) {},
	}
	return p
}

// Pattern: the store misses a record that is appended when a read arrives and returns it only to the next read, which has to follow
// before a leaving upstream may get no more work.
func TestReadsOfTheStoreEndBeforeALeavingUpstreamMustBeKnown(t *testing.T) {
	for _, c := range []struct {
		name  string
		topic archive.TopicName
		zone  int
		want  clock.Millis
	}{
		{"list in a small zone", archive.TopicListings, 2, 2250},
		{"operations in a small zone", archive.TopicOperations, 2, 2250},
		{"list, read for others too", archive.TopicListings, minZoneSize, 750},
		{"members", archive.TopicMembers, 2, 4000},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerPair(t)
			p.zone = c.zone
			p.source.OlderInstances = func() ([]string, int) { return nil, c.zone }
			if _, err := p.source.Read(context.Background(), c.topic, 5, 4000); err != nil {
				t.Fatal(err)
			}
			if p.store.wait != c.want {
				t.Errorf("the read of the store waits for %d ms, want %d of the 3000 in which a leaving upstream must be known", p.store.wait, c.want)
			}
		})
	}
}

func TestPeerSourceReadsOlderPeer(t *testing.T) {
	p := newPeerPair(t)
	p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: 9000})
	p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Items: []archive.Record{{Key: "k", Value: []byte("v")}}, Next: 5, AsOf: 9500})
	b, err := p.source.Read(context.Background(), archive.TopicOperations, 4, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Items) != 1 || b.Next != 5 || b.AsOf != 9500 || p.store.reads != 0 {
		t.Errorf("got %+v with %d reads of the store, want one item, Next 5, AsOf 9500 and no read", b, p.store.reads)
	}
	// The records must be in the cache, for other instances to read.
	if _, _, err := p.source.Cache.ReadFrom(archive.TopicOperations, 0, 5); err != nil {
		t.Error(err)
	}
}

func TestPeerSourceFallsBackToStore(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(p *peerPair)
	}{
		{"the older peer has read nothing", func(*peerPair) {}},
		{"the older peer's last read is too old", func(p *peerPair) {
			p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: 10_000 - 1951})
		}},
		{"the older peer has read less", func(p *peerPair) {
			p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 3, AsOf: 10_000})
		}},
		{"the older peer is unreachable", func(p *peerPair) { p.source.Network.SetMembers(nil) }},
		{"the zone is small", func(p *peerPair) {
			p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 5, AsOf: 10_000})
			p.zone = minZoneSize - 1
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerPair(t)
			c.set(p)
			b, err := p.source.Read(context.Background(), archive.TopicOperations, 4, 0)
			if err != nil || b.Next != 5 || b.AsOf != 10_000 || p.store.reads != 1 {
				t.Errorf("got %+v and %v with %d reads of the store, want Next 5, AsOf 10000 and one read", b, err, p.store.reads)
			}
		})
	}
}

// Guards against changes that are undone when the newest records come from an instance that has read less.
func TestNewestRecordsNeverComeFromAnInstanceThatHasReadLess(t *testing.T) {
	for _, c := range []struct {
		name string
		// own is the position up to which the reader has read, peer that of the older instance.
		own, peer  int64
		storeReads int
	}{
		{"less", 5, 4, 1},
		{"as much", 4, 4, 0},
		{"more", 4, 5, 0},
		{"the reader has read nothing", 0, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerPair(t)
			p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: c.peer, AsOf: 10_000})
			if c.own > 0 {
				p.source.Cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: c.own, AsOf: 9500})
			}
			b, err := p.source.Newest(t.Context(), archive.TopicOperations)
			if err != nil || b.Next < c.own || p.store.reads != c.storeReads {
				t.Errorf("got position %d and %v with %d reads of the store, want at least %d and %d reads", b.Next, err, p.store.reads, c.own, c.storeReads)
			}
		})
	}
}

func TestPeerSourceReturnsTrimmedOfPeer(t *testing.T) {
	p := newPeerPair(t)
	p.cache.Update(archive.TopicListings, archive.Batch[archive.Record]{Whole: true, Next: 5, AsOf: 10_000})
	if _, err := p.source.Read(context.Background(), archive.TopicListings, 2, 0); !errors.Is(err, archive.ErrTrimmed) {
		t.Errorf("got %v, want %v", err, archive.ErrTrimmed)
	}
}

// TestPeerSourceStoreOutage reproduces the load of many instances on a store that fails for all of them for 8 s, each retrying four
// topics every 300 ms. An instance with an older peer reads from that one in between and backs off from the store.
func TestPeerSourceStoreOutage(t *testing.T) {
	topics := []archive.TopicName{archive.TopicOperations, archive.TopicListings, archive.TopicStatuses, archive.TopicMembers}
	for _, c := range []struct {
		name               string
		zone               int
		err                error
		minReads, maxReads int
	}{
		{"unreachable", minZoneSize, errors.New("connection refused"), 5, 16},
		{"refusing", minZoneSize, errors.Mark(errors.New("503"), archive.ErrRefused), 20, 48},
		{"without older peers every read is tried", minZoneSize - 1, errors.New("connection refused"), 100, 108},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerPair(t)
			p.zone, p.store.err = c.zone, c.err
			for end := p.clock.Now() + 8000; p.clock.Now() < end; p.clock.Advance(300) {
				for _, topic := range topics {
					if _, err := p.source.Read(context.Background(), topic, 4, 0); err == nil {
						t.Fatal("read succeeded while the store fails, want an error")
					}
				}
			}
			if p.store.reads < c.minReads || p.store.reads > c.maxReads {
				t.Errorf("%d reads of the store in 8 s, want %d to %d", p.store.reads, c.minReads, c.maxReads)
			}
			// Once the older peer has read again, a read must not wait for the backoff.
			p.store.err = nil
			p.clock.Advance(topicCooldown)
			for _, topic := range topics {
				p.cache.Update(topic, archive.Batch[archive.Record]{Whole: true, Next: 5, AsOf: p.clock.Now()})
			}
			if b, err := p.source.Read(context.Background(), archive.TopicOperations, 5, 0); err != nil || b.AsOf != p.clock.Now() {
				t.Errorf("read after the older peer recovered: %+v and %v, want AsOf at the current time", b, err)
			}
		})
	}
}
