package membership

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// standInTerm is how long an instance reads the store after it was asked to stand in for the first of its zone, in milliseconds.
	standInTerm = 5 * clock.Second
	// standInProbeTimeout limits the read by which an instance finds out whether it reaches the store, in milliseconds.
	standInProbeTimeout clock.Millis = 500
	// standInCooldown is how long an instance isn't asked after it failed, in milliseconds.
	standInCooldown = 4 * clock.Second
	// standInsAsked is the number of instances that are asked at once.
	standInsAsked = 2
	// minStandInPause is the pause after an instance that could not stand in, in milliseconds; it doubles up to maxStandInPause.
	minStandInPause clock.Millis = 50
	maxStandInPause clock.Millis = 1200
)

// standIns has the instances that read the store for this one, by topic, and until when this one does so for others; it is safe for
// concurrent use.
type standIns struct {
	mu      sync.Mutex
	names   map[archive.TopicName]string
	until   map[archive.TopicName]clock.Millis
	pauses  map[archive.TopicName]clock.Millis
	nextAsk map[archive.TopicName]clock.Millis
}

// current returns the instance that reads a topic for this one, or "".
func (s *standIns) current(topic archive.TopicName) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[topic]
}

// active reports whether this instance reads a topic for another one.
func (s *standIns) active(topic archive.TopicName, now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.until[topic]
}

// extend makes this instance read a topic for another one until a time.
func (s *standIns) extend(topic archive.TopicName, until clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[archive.TopicName]clock.Millis{}
	}
	s.until[topic] = until
}

// mayAsk reports whether another instance may be asked now.
func (s *standIns) mayAsk(topic archive.TopicName, now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.nextAsk[topic]
}

// record notes which instance stands in for a topic, or with "" that one could not, after which the next is asked later.
func (s *standIns) record(topic archive.TopicName, name string, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names, s.pauses, s.nextAsk = map[archive.TopicName]string{}, map[archive.TopicName]clock.Millis{}, map[archive.TopicName]clock.Millis{}
	}
	s.names[topic] = name
	if name != "" {
		delete(s.pauses, topic)
		return
	}
	s.pauses[topic] = min(max(2*s.pauses[topic], minStandInPause), maxStandInPause)
	s.nextAsk[topic] = now + jitter(s.pauses[topic])
}

// end forgets the instance that stands in for a topic.
func (s *standIns) end(topic archive.TopicName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, topic)
}

// readStandIn asks others of the zone to read a topic from the store for this instance, which can't, and returns the records of the first
// that does.
func (s *PeerSource) readStandIn(ctx context.Context, o *feedOrder, args ReadArgs) (archive.Batch[archive.Record], error) {
	if !s.stand.mayAsk(args.Topic, s.Clock.Now()) {
		return archive.Batch[archive.Record]{}, errNoPeer
	}
	args.StandIn, args.Wait = true, standInProbeTimeout
	type result struct {
		name string
		b    archive.Batch[archive.Record]
		err  error
	}
	results := make(chan result, standInsAsked)
	asked := 0
	for _, peer := range pickSome(o.zone, len(o.zone)) {
		now := s.Clock.Now()
		if asked == standInsAsked || peer == s.Self.Name || s.isCoolingDown(peer, args.Topic) || s.cooldowns.active(standInKey(peer), now) {
			continue
		}
		asked++
		go func() {
			b, err := s.readPeer(ctx, peer, args)
			if err != nil {
				s.cooldowns.start(standInKey(peer), now+standInCooldown)
			}
			results <- result{peer, b, err}
		}()
	}
	for range asked {
		if r := <-results; r.err == nil {
			s.stand.record(args.Topic, r.name, s.Clock.Now())
			s.Log.Info("another instance reads the store for this one", "instance", r.name, "topic", args.Topic)
			return r.b, nil
		}
	}
	s.stand.record(args.Topic, "", s.Clock.Now())
	return archive.Batch[archive.Record]{}, errNoPeer
}

func standInKey(peer string) string { return "stand in " + peer }

// StandIn reads a topic from the store for another instance, now and in the time that follows; it fails if the store can't be reached.
func (s *PeerSource) StandIn(ctx context.Context, topic archive.TopicName) error {
	now := s.Clock.Now()
	if s.stand.active(topic, now) && !s.storeBackoff.failing(topic) {
		s.stand.extend(topic, now+standInTerm)
		return nil
	}
	if remaining := s.storeBackoff.remaining(topic, now); remaining > 0 {
		return errors.Newf("store failed, next call in %d ms", remaining)
	}
	ctx, cancel := clock.WithTimeout(ctx, s.Clock, standInProbeTimeout)
	defer cancel()
	from, found := s.Cache.Next(topic)
	if !found {
		return errors.New("topic has not been read yet")
	}
	b, err := s.pollStore(ctx, topic, from, 0)
	if err != nil {
		return err
	}
	s.Cache.Update(topic, b)
	s.stand.extend(topic, s.Clock.Now()+standInTerm)
	return nil
}
