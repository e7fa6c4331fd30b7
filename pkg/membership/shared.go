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
	// leastShared is how many instances an availability zone has before they read of each other: below, the calls that this
	// saves are few, and the store's own answer is the newest.
	leastShared = 6
	// storePart, peerPart and agePart divide the time in which a leaving upstream must be known: how long a read of the store
	// waits that others depend on, how long a read of another instance waits, and how old its answer may be. While a read
	// waits the one before is the newest, so that an answer is up to two reads old. Age, wait and one try more are below the whole.
	storePart = 0.25
	peerPart  = 0.2
	agePart   = 0.65
	// downTime is how long an instance is not asked after a read of it failed, in milliseconds, and behindTime how long for a
	// topic that it has not read so far itself, or too long ago.
	downTime   clock.Millis = 8000
	behindTime clock.Millis = 600
	// peerCallTime bounds a read of another instance beyond the time that it waits, in milliseconds.
	peerCallTime clock.Millis = 300
	// wholeWait is how long the newest records are waited for at an instance that has just started as well, in milliseconds.
	wholeWait clock.Millis = 500
	// slowPause is how long a direct read of the list rests after changes, in milliseconds, so that several come at once.
	slowPause clock.Millis = 700
)

// Shared is a source that asks the instance of the own availability zone that runs longest, and the store when this is that
// instance or when the others don't answer. All that is read goes to Cache.
type Shared struct {
	Clock   clock.Clock
	Network *Network
	Store   archive.Source
	Cache   *archive.Cache
	// Drain is the time in which a leaving upstream must be known, in milliseconds.
	Drain clock.Millis
	// Seniors returns the other instances of the zone that run longer than this one, the longest first, and how many there
	// are in the zone.
	Seniors func() (names []string, zone int)
	// Await returns once the members are known, or after a while.
	Await func(ctx context.Context)

	down   downMarks
	outage outage
	// direct and peers count the reads of the store and of other instances, by topic.
	direct, peers counts
	// restUntil is the monotonic time before which the list is not read of the store again.
	restUntil atomic.Int64
}

// Newest returns the newest record of each key.
func (s *Shared) Newest(ctx context.Context, topic archive.TopicName) (archive.Batch[archive.Record], error) {
	b, err := s.ask(ctx, ReadArgs{Topic: topic, Whole: true, Wait: wholeWait})
	if errors.Is(err, errNoPeer) {
		b, err = s.askStore(ctx, topic, func() (archive.Batch[archive.Record], error) { return s.Store.Newest(ctx, topic) })
	}
	return s.keep(topic, b, err)
}

// Read returns the records from a position on.
func (s *Shared) Read(ctx context.Context, topic archive.TopicName, from int64, wait clock.Millis) (archive.Batch[archive.Record], error) {
	if topic != archive.TopicMembers {
		s.Await(ctx)
	}
	b, err := s.ask(ctx, ReadArgs{Topic: topic, From: from, Wait: min(wait, s.part(peerPart))})
	if !errors.Is(err, errNoPeer) {
		return s.keep(topic, b, err)
	}
	if _, zone := s.Seniors(); zone >= leastShared && mustBeNew(topic) {
		wait = min(wait, s.part(storePart))
	}
	if topic == archive.TopicListings {
		if err := s.rest(ctx); err != nil {
			return archive.Batch[archive.Record]{}, err
		}
	}
	b, err = s.askStore(ctx, topic, func() (archive.Batch[archive.Record], error) { return s.Store.Read(ctx, topic, from, wait) })
	if err == nil && topic == archive.TopicListings && len(b.Items) > 0 {
		s.restUntil.Store(int64(s.Clock.Now() + slowPause))
	}
	return s.keep(topic, b, err)
}

// askStore calls the store. While that fails, an instance which may learn of others that the store is back asks it more seldom.
func (s *Shared) askStore(ctx context.Context, topic archive.TopicName, call func() (archive.Batch[archive.Record], error)) (archive.Batch[archive.Record], error) {
	if left := s.outage.left(topic, s.Clock.Now()); left > 0 && s.hasPeers() {
		return archive.Batch[archive.Record]{}, errors.Newf("the store failed and is not asked again for %d ms", left)
	}
	s.direct.add(topic)
	b, err := call()
	if ctx.Err() == nil || err == nil {
		s.outage.note(topic, err, s.Clock.Now())
	}
	return b, err
}

// hasPeers tells whether there are instances to read of.
func (s *Shared) hasPeers() bool {
	seniors, zone := s.Seniors()
	return zone >= leastShared && len(seniors) > 0
}

// rest waits out the pause after changes of the list.
func (s *Shared) rest(ctx context.Context) error {
	left := clock.Millis(s.restUntil.Load()) - s.Clock.Now()
	if left <= 0 {
		return nil
	}
	return clock.Sleep(ctx, s.Clock, left)
}

func (s *Shared) keep(topic archive.TopicName, b archive.Batch[archive.Record], err error) (archive.Batch[archive.Record], error) {
	if err == nil {
		s.Cache.Take(topic, b)
	}
	return b, err
}

func (s *Shared) part(p float64) clock.Millis { return clock.Millis(p * float64(s.Drain)) }

// errNoPeer says that no other instance answered.
var errNoPeer = errors.New("no other instance answered")

// ask reads of the first senior that is not marked as down.
func (s *Shared) ask(ctx context.Context, args ReadArgs) (archive.Batch[archive.Record], error) {
	seniors, zone := s.Seniors()
	if zone < leastShared {
		return archive.Batch[archive.Record]{}, errNoPeer
	}
	for _, peer := range seniors {
		if now := s.Clock.Now(); s.down.is(peer, now) || s.down.is(topicMark(peer, args.Topic), now) {
			continue
		}
		b, err := s.askPeer(ctx, peer, args)
		if err == nil || errors.Is(err, archive.ErrTrimmed) || ctx.Err() != nil {
			return b, err
		}
		s.Network.Common.Log.WithName("caravan").Info("read of an instance failed", "instance", peer, "topic", args.Topic, "cause", err.Error())
		s.markDown(peer, args.Topic, err)
		break
	}
	return archive.Batch[archive.Record]{}, errNoPeer
}

// markDown keeps an instance from being asked: for a short while and the topic alone if it answered but knows too little.
func (s *Shared) markDown(peer string, topic archive.TopicName, err error) {
	var told rpc.ServerError
	var old *catalogue.StaleError
	if errors.As(err, &told) || errors.As(err, &old) {
		s.down.mark(topicMark(peer, topic), s.Clock.Now()+behindTime)
		return
	}
	s.down.mark(peer, s.Clock.Now()+downTime)
}

func topicMark(peer string, topic archive.TopicName) string { return peer + " " + string(topic) }

func (s *Shared) askPeer(ctx context.Context, peer string, args ReadArgs) (archive.Batch[archive.Record], error) {
	s.peers.add(args.Topic)
	began := s.Clock.Now()
	var reply ReadReply
	if err := s.Network.CallWithin(ctx, args.Wait+peerCallTime, peer, ReaderName+".Read", args, &reply); err != nil {
		return archive.Batch[archive.Record]{}, err
	}
	if reply.Trimmed {
		return archive.Batch[archive.Record]{}, archive.ErrTrimmed
	}
	if limit := s.part(agePart); reply.Age > limit && mustBeNew(args.Topic) {
		return archive.Batch[archive.Record]{}, &catalogue.StaleError{Age: reply.Age, Horizon: limit}
	}
	// The read reached the other instance after it was sent, so that it ended there at began + Waited at the earliest.
	return archive.Batch[archive.Record]{
		Items: reply.Records, Whole: args.Whole, Next: reply.Next, SentAt: began + reply.Waited - reply.Age,
	}, nil
}

// Reads returns how many reads went to the store and to other instances, by topic.
func (s *Shared) Reads() (direct, peers map[archive.TopicName]int64) {
	return s.direct.all(), s.peers.all()
}

// counts counts reads by topic; it is safe for concurrent use.
type counts struct {
	mu sync.Mutex
	by map[archive.TopicName]int64
}

func (c *counts) add(topic archive.TopicName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[archive.TopicName]int64{}
	}
	c.by[topic]++
}

func (c *counts) all() map[archive.TopicName]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.by)
}

// mustBeNew tells whether a topic has facts that must be known within a bound.
func mustBeNew(topic archive.TopicName) bool {
	return topic == archive.TopicOperations || topic == archive.TopicListings
}
