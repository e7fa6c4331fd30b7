package membership

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// minZoneSize is how many instances an availability zone needs before they read from each other. In a smaller one this would
	// save few calls, and the store has newer records.
	minZoneSize = 6
	// The fractions are of PeerSource.Drain. storeWaitFraction limits the wait of a read of the store on which other instances
	// depend. Until a read of the store has ended, the one before it is the newest, so that records are up to two reads old.
	storeWaitFraction = 0.25
	// maxWaitFraction limits the wait of any read of a time-critical topic: the store may miss a record that is appended when a read
	// arrives, and then returns it only to the next one.
	maxWaitFraction = 0.75
	// lateFraction is the age of the view by which another instance should have replied with newer records. The wait for them is at least
	// minPeerWaitFraction, and oldWaitFraction for the nearest one of an instance whose view is old.
	lateFraction        = 0.6
	minPeerWaitFraction = 0.1
	oldWaitFraction     = 0.4
	// maxAgeFraction is the age of the records of another instance above which the next read is one of a third instance.
	maxAgeFraction = 0.65
	// lastResortFraction is the age of the view from which any instance may read the store, lastResortReads of them in a round.
	lastResortFraction = 0.8
	lastResortReads    = 0.5
	// idlePeerWait is the wait of a read of another instance for records of a topic that is not time-critical, in milliseconds.
	idlePeerWait = 5 * clock.Second
	// maxPeerTries is the number of instances that one read tries.
	maxPeerTries = 3
	// maxUnreachable is the number of instances that can't be reached before this one reads the store in their place.
	maxUnreachable = 4
	// peerCooldown is how long an instance is not read from after it could not be reached, in milliseconds; it doubles up to
	// maxPeerCooldown. topicCooldown replaces it for a topic that the instance has not read far or recently enough.
	peerCooldown    = 8 * clock.Second
	maxPeerCooldown = 64 * clock.Second
	topicCooldown   = 600 * clock.Millis(1)
	// peerCallMargin is the time allowed for a read of another instance beyond its wait, in milliseconds.
	peerCallMargin clock.Millis = 200
	// storeCallMargin is the same for a read of the store on which other instances depend, while their view is recent.
	storeCallMargin clock.Millis = 300
	// storeReadsPerSecond limits the reads of a time-critical topic by the first instances of all zones.
	storeReadsPerSecond = 4
	// minStoreZones is the least number of zones whose first instance reads the store.
	minStoreZones = 2
	// newestWait is how long another instance that has just started may take to have read the newest records, in milliseconds.
	newestWait clock.Millis = 500
	// changesPause is the pause after a read of all of a topic from the store, and after one of the list or the members that brought changes,
	// in milliseconds, so that the next read brings further changes together.
	changesPause clock.Millis = 700
	// recoveryProbeTimeout limits a read by which an instance that reads from others tries the store again, in milliseconds.
	recoveryProbeTimeout clock.Millis = 300
)

// PeerSource reads topics along the feed order of its availability zone and caches all records: from the store if this instance is the
// first of its zone or in its place, else from another instance. Its exported fields must be set before its first use.
type PeerSource struct {
	Clock   clock.Clock
	Log     logr.Logger
	Self    catalogue.Member
	Network Caller
	Store   archive.Source
	Cache   *archive.Cache
	// Drain is the time in which a leaving upstream must be known, in milliseconds.
	Drain clock.Millis
	// Members returns all instances.
	Members func() []catalogue.Member
	// AwaitMembers returns when the members are known, or after a while.
	AwaitMembers func(ctx context.Context)

	cooldowns    cooldownSet
	storeBackoff storeBackoff
	stand        standIns
	// storeReads and peerReads count the reads of the store and of other instances, by topic.
	storeReads, peerReads readCounts

	mu sync.Mutex
	// order is the feed order of orderOf.
	order   *feedOrder
	orderOf []catalogue.Member
	// pausedUntil has the monotonic time before which a topic is not read from the store again.
	pausedUntil map[archive.TopicName]clock.Millis
}

// errNoPeer reports that no other instance could be read from.
var errNoPeer = errors.New("no other instance has newer records")

// Newest returns the newest record of each key, from another instance or the store.
func (s *PeerSource) Newest(ctx context.Context, topic archive.TopicName) (archive.Batch[archive.Record], error) {
	fromStore := func() (archive.Batch[archive.Record], error) {
		b, err := s.Store.Newest(ctx, topic)
		if err == nil {
			s.pause(topic)
		}
		return b, err
	}
	loaded := s.Cache.AsOf(topic) != 0
	if !loaded && topic != archive.TopicStatuses {
		// Callers wait for the first view of an instance that has just started.
		return s.cacheBatch(topic)(s.readFirst(ctx, topic, fromStore))
	}
	s.AwaitMembers(ctx)
	o := s.feedOrder()
	args := ReadArgs{Topic: topic, Whole: true, Era: s.Cache.Era(), Wait: newestWait}
	if len(o.zone) < minZoneSize {
		return s.cacheBatch(topic)(s.readStore(ctx, topic, fromStore))
	}
	if !loaded {
		return s.cacheBatch(topic)(s.load(ctx, o, args, fromStore))
	}
	if o.position > 0 && !s.replacesFirst(o) {
		return s.cacheBatch(topic)(s.readAny(ctx, s.newestCandidates(o, topic), args, true))
	}
	b, err := s.readStore(ctx, topic, fromStore)
	if err != nil {
		if b, peerErr := s.readAny(ctx, s.newestCandidates(o, topic), args, true); peerErr == nil {
			return s.cacheBatch(topic)(b, nil)
		}
	}
	return s.cacheBatch(topic)(b, err)
}

const (
	// loadRound is how long an instance that has just started waits for others before it asks further ones, in milliseconds.
	loadRound clock.Millis = 100
	// loadReads is the number of instances that read a topic from the store after the first of these rounds, of all that have not found it;
	// it doubles with each round.
	loadReads = 4.0
)

// load reads all of a topic for the first time. Many instances may be starting at once: the first of each zone and a few more read the
// store, and the others wait for them.
func (s *PeerSource) load(ctx context.Context, o *feedOrder, args ReadArgs, fromStore func() (archive.Batch[archive.Record], error)) (archive.Batch[archive.Record], error) {
	readers := loadReads
	for readsStore := o.position == 0; ; {
		if readsStore {
			if b, err := s.readStore(ctx, args.Topic, fromStore); err == nil {
				return b, nil
			}
		}
		round, cancel := clock.WithTimeout(ctx, s.Clock, loadRound)
		b, err := s.readAny(round, s.newestCandidates(o, args.Topic), args, false)
		if err == nil {
			cancel()
			return b, nil
		}
		<-round.Done()
		cancel()
		if ctx.Err() != nil {
			return b, err
		}
		readsStore = s.drawsLot(readers)
		readers *= 2
	}
}

// readFirst reads all of a topic from the store for the first time, or from another instance if that fails.
func (s *PeerSource) readFirst(ctx context.Context, topic archive.TopicName, fromStore func() (archive.Batch[archive.Record], error)) (archive.Batch[archive.Record], error) {
	b, err := s.readStore(ctx, topic, fromStore)
	if err == nil || len(s.Members()) < minZoneSize {
		return b, err
	}
	args := ReadArgs{Topic: topic, Whole: true, Era: s.Cache.Era(), Wait: newestWait}
	if b, peerErr := s.readAny(ctx, s.newestCandidates(s.feedOrder(), topic), args, false); peerErr == nil {
		return b, nil
	}
	return b, err
}

// Read returns the records from a position on, from another instance or the store, and waits up to wait for the first one.
func (s *PeerSource) Read(ctx context.Context, topic archive.TopicName, from int64, wait clock.Millis) (archive.Batch[archive.Record], error) {
	if topic != archive.TopicMembers {
		s.AwaitMembers(ctx)
	}
	o := s.feedOrder()
	if len(o.zone) < minZoneSize {
		return s.cacheBatch(topic)(s.pollStore(ctx, topic, from, s.storeWait(topic, wait, maxWaitFraction)))
	}
	first := o.position == 0 || s.replacesFirst(o)
	readsStore := first && o.readsStore || s.stand.active(topic, s.Clock.Now())
	if readsStore && s.isOld(topic) && s.storeBackoff.failing(topic) {
		// A store that is silent takes long, and another instance may have newer records by now.
		quick := s.readArgs(topic, from, wait)
		quick.Wait = 0
		b, err := s.readPeers(ctx, s.candidates(o, topic, first), quick)
		if !errors.Is(err, errNoPeer) {
			return s.cacheBatch(topic)(b, err)
		}
	}
	if readsStore && s.mayCallStore(topic) {
		b, err := s.pollOrProbe(ctx, topic, from, wait)
		if err == nil || errors.Is(err, archive.ErrTrimmed) || ctx.Err() != nil {
			return s.cacheBatch(topic)(b, err)
		}
	}
	b, err := s.readFeed(ctx, o, first, s.readArgs(topic, from, wait))
	if !errors.Is(err, errNoPeer) {
		return s.cacheBatch(topic)(b, err)
	}
	if !readsStore && first && s.mayCallStore(topic) || !first && s.isTooOld(topic) && s.drawsLot(lastResortReads) {
		return s.cacheBatch(topic)(s.pollOrProbe(ctx, topic, from, wait))
	}
	if first && isTimeCritical(topic) {
		return s.cacheBatch(topic)(s.readStandIn(ctx, o, s.readArgs(topic, from, wait)))
	}
	return archive.Batch[archive.Record]{}, err
}

// mayCallStore reports whether a store that has failed may be called again, which has time while the view is recent by others.
func (s *PeerSource) mayCallStore(topic archive.TopicName) bool {
	return s.storeBackoff.mayCall(topic, s.Clock.Now(), !s.isOld(topic))
}

// readFeed reads from the instances before this one. While the view is old, they may all be waiting for the same news: some others are
// asked what they have, and then the nearest one is waited for.
func (s *PeerSource) readFeed(ctx context.Context, o *feedOrder, first bool, args ReadArgs) (archive.Batch[archive.Record], error) {
	if first || !s.isOld(args.Topic) {
		return s.readPeers(ctx, s.candidates(o, args.Topic, first), args)
	}
	quick := args
	quick.Wait = 0
	b, err := s.readPeers(ctx, append(pickSome(o.others, 1), pickSome(o.zone, 1)...), quick)
	if !errors.Is(err, errNoPeer) {
		return b, err
	}
	args.Wait = s.drainFraction(oldWaitFraction)
	for _, peer := range o.parents() {
		if s.cooldowns.active(peer, s.Clock.Now()) {
			continue
		}
		s.cooldowns.reset(topicKey(peer, args.Topic))
		return s.readPeers(ctx, []string{peer}, args)
	}
	return s.readPeers(ctx, s.candidates(o, args.Topic, first), args)
}

// readArgs returns the request for the records from a position on.
func (s *PeerSource) readArgs(topic archive.TopicName, from int64, wait clock.Millis) ReadArgs {
	args := ReadArgs{Topic: topic, From: from, Era: s.Cache.TopicEra(topic), Wait: min(wait, idlePeerWait)}
	if isTimeCritical(topic) {
		age := s.age(topic)
		args.Age = age + 1
		args.Wait = max(s.drainFraction(minPeerWaitFraction), s.drainFraction(lateFraction)-age)
	}
	return args
}

// age returns how old the newest read of a topic is, in milliseconds.
func (s *PeerSource) age(topic archive.TopicName) clock.Millis {
	return s.Clock.Now() - s.Cache.AsOf(topic)
}

// isOld reports whether a time-critical topic was not read for longer than instances that read from each other take.
func (s *PeerSource) isOld(topic archive.TopicName) bool {
	return isTimeCritical(topic) && s.age(topic) > s.drainFraction(lateFraction)
}

// isTooOld reports whether the view is so old that the store is worth a try by an instance that has others to read from.
func (s *PeerSource) isTooOld(topic archive.TopicName) bool {
	return isTimeCritical(topic) && s.age(topic) > s.drainFraction(lastResortFraction)
}

// feedOrder returns the current feed order.
func (s *PeerSource) feedOrder() *feedOrder {
	members := s.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order == nil || len(members) != len(s.orderOf) || len(members) > 0 && &members[0] != &s.orderOf[0] {
		s.order, s.orderOf = newFeedOrder(s.Self, members, s.storeZones()), members
	}
	return s.order
}

// storeZones returns the number of zones whose first instance reads the store.
func (s *PeerSource) storeZones() int {
	return max(minStoreZones, int(storeReadsPerSecond*s.drainFraction(storeWaitFraction).Seconds()))
}

// replacesFirst reports whether so many of the instances before this one can't be reached that it takes the place of the first.
func (s *PeerSource) replacesFirst(o *feedOrder) bool {
	now, unreachable := s.Clock.Now(), 0
	for _, name := range o.parents() {
		if !s.cooldowns.active(name, now) {
			return false
		}
	}
	for _, name := range o.before() {
		if s.cooldowns.active(name, now) {
			unreachable++
		}
	}
	return unreachable >= min(maxUnreachable, o.position)
}

// candidates returns the instances to read a topic from, in order.
func (s *PeerSource) candidates(o *feedOrder, topic archive.TopicName, first bool) []string {
	var out []string
	if name := s.stand.current(topic); name != "" {
		out = append(out, name)
	}
	switch {
	case !first:
		parents := o.parents()
		out = append(out, parents[0])
		out = append(out, pickSome(o.others, 1)...)
		out = append(out, parents[1:]...)
		out = append(out, pickSome(o.before(), 2)...)
	case o.readsStore:
		out = append(out, pickSome(o.others, 2)...)
	default:
		out = append(out, o.heads...)
		out = append(out, pickSome(o.others, 1)...)
	}
	return append(out, pickSome(o.zone, 1)...)
}

// newestCandidates returns the instances to read all of a topic from.
func (s *PeerSource) newestCandidates(o *feedOrder, topic archive.TopicName) []string {
	out := append(s.candidates(o, topic, o.position == 0), pickSome(o.others, 1)...)
	return append(out, pickSome(o.zone, 2)...)
}

// pickSome returns up to n different names, drawn at random.
func pickSome(names []string, n int) []string {
	out := make([]string, 0, n)
	for range n {
		if len(names) == 0 {
			break
		}
		if name := names[rand.IntN(len(names))]; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// drawsLot reports whether this instance is among n on the mean, of all instances that ask.
func (s *PeerSource) drawsLot(n float64) bool {
	return rand.Float64()*float64(max(1, len(s.Members()))) < n
}

// pollOrProbe reads from the store for other instances and waits for records as long as the view is recent; a store that has failed is tried by
// a short read first.
func (s *PeerSource) pollOrProbe(ctx context.Context, topic archive.TopicName, from int64, wait clock.Millis) (archive.Batch[archive.Record], error) {
	if !isTimeCritical(topic) {
		wait = min(wait, idlePeerWait)
		if s.storeBackoff.failing(topic) {
			wait = 0
		}
		pollCtx, cancel := clock.WithTimeout(ctx, s.Clock, wait+s.untilPauseEnds(topic)+storeCallMargin)
		defer cancel()
		return s.pollStore(pollCtx, topic, from, wait)
	}
	age := s.age(topic)
	wait = max(0, min(s.drainFraction(storeWaitFraction), s.drainFraction(lateFraction)-age))
	timeout := wait + storeCallMargin
	switch {
	case s.isOld(topic):
		return s.pollStore(ctx, topic, from, 0)
	case s.storeBackoff.failing(topic):
		wait, timeout = 0, recoveryProbeTimeout
	}
	pollCtx, cancel := clock.WithTimeout(ctx, s.Clock, timeout+s.untilPauseEnds(topic))
	defer cancel()
	return s.pollStore(pollCtx, topic, from, wait)
}

// storeWait returns how long a read of the store may wait for records.
func (s *PeerSource) storeWait(topic archive.TopicName, wait clock.Millis, fraction float64) clock.Millis {
	if !isTimeCritical(topic) {
		return wait
	}
	return min(wait, s.drainFraction(fraction))
}

// pollStore reads the records from a position on from the store.
func (s *PeerSource) pollStore(ctx context.Context, topic archive.TopicName, from int64, wait clock.Millis) (archive.Batch[archive.Record], error) {
	if err := s.awaitPause(ctx, topic); err != nil {
		return archive.Batch[archive.Record]{}, err
	}
	b, err := s.readStore(ctx, topic, func() (archive.Batch[archive.Record], error) { return s.readWithinEra(ctx, topic, from, wait) })
	if err == nil && pausesAfterChanges(topic) && len(b.Items) > 0 {
		s.pause(topic)
	}
	return b, err
}

// readStore calls the store. Instances that others stand in for call it less often while it fails, as do those that know no others yet.
func (s *PeerSource) readStore(ctx context.Context, topic archive.TopicName, call func() (archive.Batch[archive.Record], error)) (archive.Batch[archive.Record], error) {
	if n := len(s.Members()); n == 0 || n >= minZoneSize && len(s.feedOrder().zone) >= minZoneSize {
		if remaining := s.storeBackoff.remaining(topic, s.Clock.Now()); remaining > 0 {
			return archive.Batch[archive.Record]{}, errors.Newf("store failed, next call in %d ms", remaining)
		}
	}
	s.storeReads.add(topic)
	b, err := call()
	if err == nil || !errors.Is(context.Cause(ctx), context.Canceled) {
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

func (s *PeerSource) pause(topic archive.TopicName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pausedUntil == nil {
		s.pausedUntil = map[archive.TopicName]clock.Millis{}
	}
	s.pausedUntil[topic] = s.Clock.Now() + changesPause
}

// untilPauseEnds returns how long the pause after changes still lasts, in milliseconds.
func (s *PeerSource) untilPauseEnds(topic archive.TopicName) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.pausedUntil[topic]-s.Clock.Now())
}

// awaitPause waits for the end of the pause after changes.
func (s *PeerSource) awaitPause(ctx context.Context, topic archive.TopicName) error {
	if remaining := s.untilPauseEnds(topic); remaining > 0 {
		return clock.Sleep(ctx, s.Clock, remaining)
	}
	return nil
}

// cacheBatch returns a function that caches the result of a read.
func (s *PeerSource) cacheBatch(topic archive.TopicName) func(archive.Batch[archive.Record], error) (archive.Batch[archive.Record], error) {
	return func(b archive.Batch[archive.Record], err error) (archive.Batch[archive.Record], error) {
		if err == nil {
			s.Cache.Update(topic, b)
		}
		return b, err
	}
}

func (s *PeerSource) drainFraction(fraction float64) clock.Millis {
	return clock.Millis(fraction * float64(s.Drain))
}

// readPeers reads from the first of the candidates that has newer records or a newer proof that there are none.
func (s *PeerSource) readPeers(ctx context.Context, candidates []string, args ReadArgs) (archive.Batch[archive.Record], error) {
	tries := 0
	for i, peer := range candidates {
		if tries == maxPeerTries || peer == s.Self.Name || slices.Contains(candidates[:i], peer) || s.isCoolingDown(peer, args.Topic) {
			continue
		}
		tries++
		args.StandIn = peer == s.stand.current(args.Topic)
		b, err := s.readPeer(ctx, peer, args)
		if err == nil || errors.Is(err, archive.ErrTrimmed) || ctx.Err() != nil {
			return b, err
		}
		if args.StandIn {
			s.stand.end(args.Topic)
		}
		s.startCooldown(peer, args.Topic, err)
		// The next instance has been waiting for the same news.
		args.Wait = 0
	}
	return archive.Batch[archive.Record]{}, errNoPeer
}

// readAny reads from several of the candidates at once, and returns the first result; those that can't be reached get a cooldown if cool is
// set, which is wrong while all are starting.
func (s *PeerSource) readAny(ctx context.Context, candidates []string, args ReadArgs, cool bool) (archive.Batch[archive.Record], error) {
	type result struct {
		b   archive.Batch[archive.Record]
		err error
	}
	results := make(chan result, len(candidates))
	started := 0
	for i, peer := range candidates {
		if started == maxPeerTries || peer == s.Self.Name || slices.Contains(candidates[:i], peer) || s.isCoolingDown(peer, args.Topic) {
			continue
		}
		started++
		go func() {
			// The read goes on when another one was faster: to end it would close its connection.
			b, err := s.readPeer(context.WithoutCancel(ctx), peer, args)
			if cool && err != nil && !errors.Is(err, archive.ErrTrimmed) {
				s.startCooldown(peer, args.Topic, err)
			}
			results <- result{b, err}
		}()
	}
	for range started {
		select {
		case r := <-results:
			if r.err == nil {
				return r.b, nil
			}
		case <-ctx.Done():
			return archive.Batch[archive.Record]{}, errNoPeer
		}
	}
	return archive.Batch[archive.Record]{}, errNoPeer
}

func (s *PeerSource) isCoolingDown(peer string, topic archive.TopicName) bool {
	now := s.Clock.Now()
	return s.cooldowns.active(peer, now) || s.cooldowns.active(topicKey(peer, topic), now)
}

// startCooldown stops reads from an instance for a while, or those of the topic alone if the instance answered but has not read the
// topic far or recently enough.
func (s *PeerSource) startCooldown(peer string, topic archive.TopicName, err error) {
	var serverErr rpc.ServerError
	var staleErr *catalogue.StaleError
	var eraErr *archive.EraError
	now := s.Clock.Now()
	if errors.As(err, &serverErr) || errors.As(err, &staleErr) || errors.As(err, &eraErr) {
		s.cooldowns.start(topicKey(peer, topic), now+topicCooldown)
		return
	}
	s.cooldowns.extend(peer, now, peerCooldown, maxPeerCooldown)
	s.Log.Info("another instance can't be reached", "instance", peer, "topic", topic, "error", err.Error())
}

func topicKey(peer string, topic archive.TopicName) string { return peer + " " + string(topic) }

// minAdvance is by how much a view must be newer than that of the reader to be passed on without new records, in milliseconds; it is more
// than what a reader's view seems to be newer or older by the time that its request takes.
const minAdvance clock.Millis = 100

// readPeer reads from another instance; its error is a *catalogue.StaleError if that one has nothing newer.
func (s *PeerSource) readPeer(ctx context.Context, peer string, args ReadArgs) (archive.Batch[archive.Record], error) {
	s.peerReads.add(args.Topic)
	start := s.Clock.Now()
	var reply ReadReply
	if err := s.Network.CallWithin(ctx, args.Wait+peerCallMargin, peer, ReaderName+".Read", args, &reply); err != nil {
		return archive.Batch[archive.Record]{}, err
	}
	s.cooldowns.reset(peer)
	if reply.Trimmed {
		return archive.Batch[archive.Record]{}, archive.ErrTrimmed
	}
	if reply.Era < args.Era {
		// The other instance doesn't know eras, or has not noticed the current one.
		return archive.Batch[archive.Record]{}, &archive.EraError{Era: reply.Era, Current: args.Era}
	}
	// The read reached the other instance after it was sent, so that it ended there at start + Waited at the earliest.
	b := archive.Batch[archive.Record]{
		Items: reply.Records, Whole: args.Whole, Next: reply.Next, AsOf: start + reply.Waited - reply.Age, Era: reply.Era,
	}
	if !isTimeCritical(args.Topic) {
		return b, nil
	}
	limit := s.drainFraction(maxAgeFraction)
	if !args.Whole && len(b.Items) == 0 && b.AsOf < s.Cache.AsOf(args.Topic)+minAdvance/2 {
		return archive.Batch[archive.Record]{}, &catalogue.StaleError{Age: reply.Age, Horizon: limit}
	}
	if reply.Age > limit {
		s.cooldowns.start(topicKey(peer, args.Topic), s.Clock.Now()+topicCooldown)
	}
	return b, nil
}

// Reads returns the numbers of reads of the store and of other instances, by topic.
func (s *PeerSource) Reads() (store, peers map[archive.TopicName]int64) {
	return s.storeReads.all(), s.peerReads.all()
}

// pausesAfterChanges reports whether changes of a topic often come together.
func pausesAfterChanges(topic archive.TopicName) bool {
	return topic == archive.TopicListings || topic == archive.TopicMembers
}

// isTimeCritical reports whether a topic has records that must be known within a bounded time.
func isTimeCritical(topic archive.TopicName) bool {
	return topic == archive.TopicOperations || topic == archive.TopicListings
}
