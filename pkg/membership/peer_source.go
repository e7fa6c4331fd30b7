package membership

import (
	"context"
	"maps"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// minZoneSize is how many instances an availability zone needs before they read from each other. In a smaller one this would
	// save few calls, and the store has newer records.
	minZoneSize = 6
	// The fractions are of PeerSource.Drain. storeWaitFraction limits the wait of a read of the store on which other instances
	// depend, peerWaitFraction the wait of a read of another instance, and maxAgeFraction the age of its records. Until a read of
	// the store has ended, the one before it is the newest, so that records are up to two reads old. Age, wait and one retry
	// together take less than Drain.
	storeWaitFraction = 0.25
	// maxWaitFraction limits the wait of any read of a time-critical topic: the store may miss a record that is appended when a read
	// arrives, and then returns it only to the next one.
	maxWaitFraction  = 0.75
	peerWaitFraction = 0.2
	maxAgeFraction   = 0.65
	// peerCooldown is how long an instance is not read from after a failed read, in milliseconds. topicCooldown replaces it for
	// a topic that the instance has not read far or recently enough.
	peerCooldown  clock.Millis = 8000
	topicCooldown clock.Millis = 600
	// peerCallMargin is the time allowed for a read of another instance beyond its wait, in milliseconds.
	peerCallMargin clock.Millis = 300
	// newestWait is how long another instance that has just started may take to have read the newest records, in milliseconds.
	newestWait clock.Millis = 500
	// listingsPause is the pause after a read of the list from the store that brought changes, in milliseconds, so that the next
	// read brings further changes together.
	listingsPause clock.Millis = 700
)

// PeerSource reads topics from the longest-running instance of its availability zone and caches all records; it reads from the store
// when this instance is the longest-running one, when the other one fails, and in small zones.
type PeerSource struct {
	Clock   clock.Clock
	Network *Network
	Store   archive.Source
	Cache   *archive.Cache
	// Drain is the time in which a leaving upstream must be known, in milliseconds.
	Drain clock.Millis
	// OlderInstances returns the other instances of the zone that have been running for longer than this one, the longest first,
	// and the number of instances in the zone.
	OlderInstances func() (names []string, zone int)
	// AwaitMembers returns when the members are known, or after a while.
	AwaitMembers func(ctx context.Context)

	cooldowns    cooldownSet
	storeBackoff storeBackoff
	// storeReads and peerReads count the reads of the store and of other instances, by topic.
	storeReads, peerReads readCounts
	// listingsPausedUntil is the monotonic time before which the list is not read from the store again.
	listingsPausedUntil atomic.Int64
}

// Newest returns the newest record of each key, from another instance or the store.
func (s *PeerSource) Newest(ctx context.Context, topic archive.TopicName) (archive.Batch[archive.Record], error) {
	b, err := s.readPeers(ctx, ReadArgs{Topic: topic, Whole: true, From: s.Cache.Position(topic), Era: s.Cache.Era(), Wait: newestWait})
	if errors.Is(err, errNoPeer) {
		b, err = s.readStore(ctx, topic, func() (archive.Batch[archive.Record], error) { return s.Store.Newest(ctx, topic) })
	}
	return s.cacheBatch(topic, b, err)
}

// Read returns the records from a position on, from another instance or the store, and waits up to wait for the first one.
func (s *PeerSource) Read(ctx context.Context, topic archive.TopicName, from int64, wait clock.Millis) (archive.Batch[archive.Record], error) {
	if topic != archive.TopicMembers {
		s.AwaitMembers(ctx)
	}
	b, err := s.readPeers(ctx, ReadArgs{Topic: topic, From: from, Era: s.Cache.TopicEra(topic), Wait: min(wait, s.drainFraction(peerWaitFraction))})
	if !errors.Is(err, errNoPeer) {
		return s.cacheBatch(topic, b, err)
	}
	if isTimeCritical(topic) {
		fraction := maxWaitFraction
		if _, zone := s.OlderInstances(); zone >= minZoneSize {
			fraction = storeWaitFraction
		}
		wait = min(wait, s.drainFraction(fraction))
	}
	if topic == archive.TopicListings {
		if err := s.awaitListingsPause(ctx); err != nil {
			return archive.Batch[archive.Record]{}, err
		}
	}
	b, err = s.readStore(ctx, topic, func() (archive.Batch[archive.Record], error) { return s.readWithinEra(ctx, topic, from, wait) })
	if err == nil && topic == archive.TopicListings && len(b.Items) > 0 {
		s.listingsPausedUntil.Store(int64(s.Clock.Now() + listingsPause))
	}
	return s.cacheBatch(topic, b, err)
}

// readStore calls the store. While the store fails, an instance with older peers calls it less often, since it gets new records from
// them once the store is back.
func (s *PeerSource) readStore(ctx context.Context, topic archive.TopicName, call func() (archive.Batch[archive.Record], error)) (archive.Batch[archive.Record], error) {
	if remaining := s.storeBackoff.remaining(topic, s.Clock.Now()); remaining > 0 && s.hasReadablePeer() {
		return archive.Batch[archive.Record]{}, errors.Newf("store failed, next call in %d ms", remaining)
	}
	s.storeReads.add(topic)
	b, err := call()
	if ctx.Err() == nil || err == nil {
		s.storeBackoff.record(topic, err, s.Clock.Now())
	}
	return b, err
}

// readWithinEra reads from the store, and stops waiting with archive.ErrTrimmed when another topic shows that the store came back from
// an older copy.
func (s *PeerSource) readWithinEra(ctx context.Context, topic archive.TopicName, from int64, wait clock.Millis) (archive.Batch[archive.Record], error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := s.Cache.EraEnded()
	go func() {
		select {
		case <-ended:
			cancel()
		case <-readCtx.Done():
		}
	}()
	b, err := s.Store.Read(readCtx, topic, from, wait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return b, errors.Mark(&archive.EraError{Era: s.Cache.TopicEra(topic), Current: s.Cache.Era()}, archive.ErrTrimmed)
	}
	return b, err
}

// hasReadablePeer reports whether there is an instance to read from.
func (s *PeerSource) hasReadablePeer() bool {
	olderPeers, zone := s.OlderInstances()
	return zone >= minZoneSize && len(olderPeers) > 0
}

// EndListingsPause has the list read on without waiting for the end of the pause after its last changes.
func (s *PeerSource) EndListingsPause() { s.listingsPausedUntil.Store(0) }

// awaitListingsPause waits for the end of the pause after changes of the list.
func (s *PeerSource) awaitListingsPause(ctx context.Context) error {
	remaining := clock.Millis(s.listingsPausedUntil.Load()) - s.Clock.Now()
	if remaining <= 0 {
		return nil
	}
	return clock.Sleep(ctx, s.Clock, remaining)
}

func (s *PeerSource) cacheBatch(topic archive.TopicName, b archive.Batch[archive.Record], err error) (archive.Batch[archive.Record], error) {
	if err == nil {
		s.Cache.Update(topic, b)
	}
	return b, err
}

func (s *PeerSource) drainFraction(fraction float64) clock.Millis {
	return clock.Millis(fraction * float64(s.Drain))
}

// errNoPeer reports that no other instance could be read from.
var errNoPeer = errors.New("no other instance could be read from")

// readPeers reads from the longest-running instance that is not in a cooldown.
func (s *PeerSource) readPeers(ctx context.Context, args ReadArgs) (archive.Batch[archive.Record], error) {
	olderPeers, zone := s.OlderInstances()
	if zone < minZoneSize {
		return archive.Batch[archive.Record]{}, errNoPeer
	}
	for _, peer := range olderPeers {
		if now := s.Clock.Now(); s.cooldowns.active(peer, now) || s.cooldowns.active(topicKey(peer, args.Topic), now) {
			continue
		}
		b, err := s.readPeer(ctx, peer, args)
		if err == nil || errors.Is(err, archive.ErrTrimmed) || ctx.Err() != nil {
			return b, err
		}
		s.Network.Common.Log.WithName("membership").Info("reading from another instance failed", "instance", peer, "topic", args.Topic, "error", err.Error())
		s.startCooldown(peer, args.Topic, err)
		break
	}
	return archive.Batch[archive.Record]{}, errNoPeer
}

// startCooldown stops reads from an instance for peerCooldown, or those of the topic alone for topicCooldown if the instance answered
// but has not read the topic far or recently enough.
func (s *PeerSource) startCooldown(peer string, topic archive.TopicName, err error) {
	var serverErr rpc.ServerError
	var staleErr *catalogue.StaleError
	var eraErr *archive.EraError
	if errors.As(err, &serverErr) || errors.As(err, &staleErr) || errors.As(err, &eraErr) || errors.Is(err, archive.ErrBehind) {
		s.cooldowns.start(topicKey(peer, topic), s.Clock.Now()+topicCooldown)
		return
	}
	s.cooldowns.start(peer, s.Clock.Now()+peerCooldown)
}

func topicKey(peer string, topic archive.TopicName) string { return peer + " " + string(topic) }

func (s *PeerSource) readPeer(ctx context.Context, peer string, args ReadArgs) (archive.Batch[archive.Record], error) {
	s.peerReads.add(args.Topic)
	start := s.Clock.Now()
	var reply ReadReply
	if err := s.Network.CallWithin(ctx, args.Wait+peerCallMargin, peer, ReaderName+".Read", args, &reply); err != nil {
		return archive.Batch[archive.Record]{}, err
	}
	if reply.Trimmed {
		return archive.Batch[archive.Record]{}, archive.ErrTrimmed
	}
	if reply.Era < args.Era {
		// The other instance doesn't know eras, or has not noticed the current one.
		return archive.Batch[archive.Record]{}, &archive.EraError{Era: reply.Era, Current: args.Era}
	}
	if args.Whole && reply.Era == s.Cache.TopicEra(args.Topic) && reply.Next < args.From {
		return archive.Batch[archive.Record]{}, errors.Wrapf(archive.ErrBehind, "position %d, %d read here", reply.Next, args.From)
	}
	if limit := s.drainFraction(maxAgeFraction); reply.Age > limit && isTimeCritical(args.Topic) {
		return archive.Batch[archive.Record]{}, &catalogue.StaleError{Age: reply.Age, Horizon: limit}
	}
	// The read reached the other instance after it was sent, so that it ended there at start + Waited at the earliest.
	return archive.Batch[archive.Record]{
		Items: reply.Records, Whole: args.Whole, Next: reply.Next, AsOf: start + reply.Waited - reply.Age, Era: reply.Era,
	}, nil
}

// Reads returns the numbers of reads of the store and of other instances, by topic.
func (s *PeerSource) Reads() (store, peers map[archive.TopicName]int64) {
	return s.storeReads.all(), s.peerReads.all()
}

// readCounts counts reads by topic; it is safe for concurrent use.
type readCounts struct {
	mu      sync.Mutex
	byTopic map[archive.TopicName]int64
}

func (c *readCounts) add(topic archive.TopicName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byTopic == nil {
		c.byTopic = map[archive.TopicName]int64{}
	}
	c.byTopic[topic]++
}

func (c *readCounts) all() map[archive.TopicName]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byTopic)
}

// isTimeCritical reports whether a topic has records that must be known within a bounded time.
func isTimeCritical(topic archive.TopicName) bool {
	return topic == archive.TopicOperations || topic == archive.TopicListings
}
