package membership

import (
	"context"
	"fmt"
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

// peerPair is an instance that serves its cache, and a source of one that comes after it in the feed order.
type peerPair struct {
	clock  *clock.Manual
	cache  *archive.Cache
	store  *countingStore
	source *PeerSource
	// zone has the members of the zone in feed order.
	zone []catalogue.Member
	// stopClock is closed once no call is pending any more.
	stopClock chan struct{}
}

func newPeerPair(t *testing.T) *peerPair {
	t.Helper()
	p := &peerPair{clock: clock.NewManual(10_000), cache: &archive.Cache{}, stopClock: make(chan struct{})}
	for i := range minZoneSize {
		p.zone = append(p.zone, catalogue.Member{Name: fmt.Sprint("edge-", i), Zone: "a", Incarnation: 1})
	}
	p.zone = Rank("feed a", p.zone)
	p.store = &countingStore{clock: p.clock, next: 5}
	common := settings.Common{Log: logr.Discard(), Clock: p.clock}
	firstNetwork := &Network{Common: common, Self: p.zone[0]}
	if err := firstNetwork.Register(ReaderName, &Reader{Clock: p.clock, Cache: p.cache}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- firstNetwork.Serve(ctx, l) }()
	p.zone[0].PeerAddress = l.Addr().String()
	network := &Network{Common: common, Self: p.zone[1]}
	network.SetMembers(p.zone)
	t.Cleanup(func() {
		network.SetMembers(nil)
		cancel()
		<-done
		close(p.stopClock)
	})
	p.source = &PeerSource{
		Clock: p.clock, Log: logr.Discard(), Self: p.zone[1], Network: network, Store: p.store, Cache: &archive.Cache{}, Drain: 3000,
		Members: func() []catalogue.Member { return p.zone }, AwaitMembers: func(context.Context) {},
	}
	return p
}

// makeSmall leaves a zone in which instances don't read from each other.
func (p *peerPair) makeSmall() { p.zone = p.zone[:minZoneSize-1] }

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
			p.zone = p.zone[:c.zone]
			p.source.Self = p.zone[0]
			p.source.Cache.Update(c.topic, archive.Batch[archive.Record]{Whole: true, Next: 5, AsOf: p.clock.Now()})
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
		// reads is the number of reads until the store is read.
		reads int
	}{
		{"the first of the zone is unreachable", func(p *peerPair) { p.source.Network.(*Network).SetMembers(nil) }, 2},
		{"the zone is small", func(p *peerPair) {
			p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 5, AsOf: 10_000})
			p.makeSmall()
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerPair(t)
			p.source.Cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: 9_500})
			c.set(p)
			var b archive.Batch[archive.Record]
			var err error
			for range c.reads {
				b, err = p.source.Read(context.Background(), archive.TopicOperations, 4, 0)
			}
			if err != nil || b.Next != 5 || b.AsOf != 10_000 || p.store.reads != 1 {
				t.Errorf("got %+v and %v with %d reads of the store, want Next 5, AsOf 10000 and one read", b, err, p.store.reads)
			}
		})
	}
}

// Failure: an instance whose view was old made all of its zone call the store.
func TestInstancesBehindAnOldViewLeaveTheStoreAlone(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(p *peerPair)
	}{
		{"the one before has read nothing", func(*peerPair) {}},
		{"its last read is older", func(p *peerPair) {
			p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: 10_000 - 1951})
		}},
		{"it has read less", func(p *peerPair) {
			p.cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 3, AsOf: 10_000})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerPair(t)
			p.source.Cache.Update(archive.TopicOperations, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: 9_000})
			c.set(p)
			// The waits of the other instance end on its manual clock, of which few seconds pass meanwhile.
			p.source.Drain = 1000 * clock.Second
			go advanceUntil(p.clock, p.stopClock)
			if b, err := p.source.Read(context.Background(), archive.TopicOperations, 4, 0); err == nil {
				t.Errorf("got %+v, want an error", b)
			}
			if p.store.reads != 0 {
				t.Errorf("%d reads of the store, want none", p.store.reads)
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
// topics every 300 ms. The first of a zone calls it less and less, the others hardly ever.
func TestPeerSourceStoreOutage(t *testing.T) {
	topics := []archive.TopicName{archive.TopicOperations, archive.TopicListings, archive.TopicStatuses, archive.TopicMembers}
	for _, c := range []struct {
		name               string
		first, small       bool
		err                error
		minReads, maxReads int
	}{
		{"unreachable", true, false, errors.New("connection refused"), 5, 16},
		{"refusing", true, false, errors.Mark(errors.New("503"), archive.ErrRefused), 20, 48},
		{"unreachable, not the first", false, false, errors.New("connection refused"), 0, 16},
		{"in a small zone every read is tried", true, true, errors.New("connection refused"), 100, 108},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerPair(t)
			p.store.err = c.err
			if c.first {
				p.source.Self = p.zone[0]
			}
			if c.small {
				p.makeSmall()
			}
			for _, topic := range topics {
				p.source.Cache.Update(topic, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: p.clock.Now()})
				p.cache.Update(topic, archive.Batch[archive.Record]{Whole: true, Next: 4, AsOf: p.clock.Now()})
			}
			for end := p.clock.Now() + 8000; p.clock.Now() < end; p.clock.Advance(300) {
				for _, topic := range topics {
					b, err := p.source.Read(context.Background(), topic, 4, 0)
					if err == nil && (isTimeCritical(topic) || c.first) {
						t.Fatalf("read of %s gave %+v while the store fails, want an error", topic, b)
					}
				}
			}
			if p.store.reads < c.minReads || p.store.reads > c.maxReads {
				t.Errorf("%d reads of the store in 8 s, want %d to %d", p.store.reads, c.minReads, c.maxReads)
			}
			// Once the instance before has read again, a read must not wait for the backoff.
			p.store.err = nil
			p.clock.Advance(maxStorePause)
			for _, topic := range topics {
				p.cache.Update(topic, archive.Batch[archive.Record]{Whole: true, Next: 5, AsOf: p.clock.Now()})
			}
			b, err := p.source.Read(context.Background(), archive.TopicOperations, 5, 0)
			if err != nil || b.AsOf != p.clock.Now() {
				t.Errorf("read after the store recovered: %+v and %v, want AsOf at the current time", b, err)
			}
		})
	}
}
