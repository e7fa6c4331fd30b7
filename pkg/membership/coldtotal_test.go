package membership

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// A fixed seed makes each run draw the same cases.
func init() { _ = flag.Set("rapid.seed", "5") }

const (
	coldStep     clock.Millis = 500
	coldLag                   = 2 * clock.Second
	coldLease                 = 4 * clock.Second
	coldShareTTL              = 4 * clock.Second
	coldHold                  = 20 * clock.Second
)

// coldSimulation has instances that send as many requests as they may to one cold upstream.
type coldSimulation struct {
	now   clock.Millis
	limit int
	// memberLists has the true members at each step, newest last.
	memberLists [][]catalogue.Member
	instances   []*simInstance
	started     int
}

// simInstance is one entry instance with the published share that limits its requests.
type simInstance struct {
	name        string
	shares      *ColdShares
	lag         clock.Millis
	listed      bool
	since       clock.Millis
	dead        bool
	partitioned bool
	frozen      bool
	share       int
	shareAt     clock.Millis
	inFlight    []clock.Millis
}

func (s *coldSimulation) join() {
	s.started++
	name := fmt.Sprintf("entry-%03d", s.started)
	s.instances = append(s.instances, &simInstance{
		name: name, listed: true, since: s.now,
		shares: &ColdShares{Self: name, MaxListLag: coldLag, Lease: coldLease, ShareTTL: coldShareTTL, Hold: coldHold},
	})
}

// step advances the list, the instances and their requests, and returns the number of requests in flight at the upstream.
func (s *coldSimulation) step() int {
	s.now += coldStep
	var members []catalogue.Member
	for _, n := range s.instances {
		if n.listed {
			members = append(members, catalogue.Member{Name: n.name})
		}
	}
	s.memberLists = append(s.memberLists, members)
	total := 0
	for _, n := range s.instances {
		n.finish(s.now)
		if !n.dead && !n.frozen {
			n.tick(s)
		}
		total += len(n.inFlight)
	}
	return total
}

// tick reads the list as it was lag ago, publishes the share and sends as many requests as it allows.
func (n *simInstance) tick(s *coldSimulation) {
	if i := len(s.memberLists) - 1 - int(n.lag/coldStep); !n.partitioned && i >= 0 {
		n.shares.ObserveList(s.memberLists[i], s.now)
	}
	n.shareAt = s.now
	n.share = n.shares.Share("u", s.limit, s.now)
	n.send(s.now)
}

// send checks the age of the share last, as sending a real request does.
func (n *simInstance) send(now clock.Millis) {
	for len(n.inFlight) < n.share && now-n.shareAt < coldShareTTL {
		n.inFlight = append(n.inFlight, now)
	}
}

func (n *simInstance) finish(now clock.Millis) {
	for len(n.inFlight) > 0 && now-n.inFlight[0] >= coldHold {
		n.inFlight = n.inFlight[1:]
	}
}

// applyEvent draws one event; a member stays on and off the list for longer than a lease.
func (s *coldSimulation) applyEvent(t *rapid.T) {
	n := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "instance")]
	switch rapid.SampledFrom([]string{"join", "list", "kill", "partition", "freeze", "lag", "none"}).Draw(t, "event") {
	case "join":
		if len(s.instances) < 14 {
			s.join()
		}
	case "list":
		if s.now-n.since > coldLease+coldLag {
			n.listed, n.since = !n.listed, s.now
		}
	case "kill":
		n.dead = true
	case "partition":
		n.partitioned = !n.partitioned
	case "freeze":
		n.frozen = !n.frozen
		if !n.frozen && !n.dead {
			// A stopped process resumes in the middle of a send.
			n.send(s.now)
		}
	case "lag":
		n.lag = clock.Millis(rapid.IntRange(0, int(coldLag/coldStep)).Draw(t, "lag")) * coldStep
	}
}

// TestP05TotalInFlight draws joins, leaves, kills, partitions, stops and lists of varying lag: the requests in flight at a cold
// upstream, over all instances, never exceed its limit.
func TestP05TotalInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &coldSimulation{now: 100_000, limit: rapid.IntRange(1, 12).Draw(t, "limit")}
		for range rapid.IntRange(1, 7).Draw(t, "instances") {
			s.join()
		}
		for range 80 {
			s.step()
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			s.applyEvent(t)
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				if total := s.step(); total > s.limit {
					t.Fatalf("%d requests in flight at time %d, want at most %d", total, s.now, s.limit)
				}
			}
		}
	})
}

// TestP05ShareIsUsed checks that the instances use the whole limit again some time after the last change of the members.
func TestP05ShareIsUsed(t *testing.T) {
	s := &coldSimulation{now: 100_000, limit: 5}
	for range 7 {
		s.join()
	}
	for range 100 {
		s.step()
	}
	s.instances[2].listed, s.instances[2].dead = false, true
	s.join()
	total := 0
	for range 100 {
		total = s.step()
	}
	if total != s.limit {
		t.Errorf("%d requests in flight, want %d", total, s.limit)
	}
}

// TestP05Displaced partitions an instance from the list just before another one takes its rank, and then stops it: its last
// request starts a Lease and a ShareTTL later and stays for the whole Hold.
func TestP05Displaced(t *testing.T) {
	s := &coldSimulation{now: 100_000, limit: 1}
	s.join()
	old := s.instances[0]
	for range 100 {
		s.step()
	}
	old.lag = coldLag
	for range 10 {
		s.step()
	}
	for {
		s.join()
		successor := s.instances[len(s.instances)-1]
		if rank, _ := RankOf("u", successor.name, []catalogue.Member{{Name: old.name}, {Name: successor.name}}); rank == 0 {
			break
		}
		s.instances = s.instances[:1]
	}
	for range coldLag / coldStep {
		s.step()
	}
	old.partitioned = true
	old.inFlight = nil
	for range coldLease/coldStep - 1 {
		old.inFlight = nil
		s.step()
	}
	// The instance is stopped, and resumes in the middle of a send as late as its share allows.
	old.frozen = true
	for range coldShareTTL/coldStep - 1 {
		old.inFlight = nil
		s.step()
	}
	old.inFlight = nil
	old.send(s.now)
	for range 200 {
		if total := s.step(); total > s.limit {
			t.Fatalf("%d requests in flight at time %d, want at most %d", total, s.now, s.limit)
		}
	}
	if len(s.instances[1].inFlight) != 1 {
		t.Error("the instance that took over the rank has no single request in flight, want 1")
	}
	if old.send(s.now); len(old.inFlight) != 0 {
		t.Error("the stopped instance resumed and sent by its expired share, want no request")
	}
}
