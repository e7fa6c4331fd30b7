package occupancy

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

var (
	fragileRoom = request.Room{Read: true, Fragile: true, MaxRejections: 4}
	soundRoom   = request.Room{Read: true}
)

func newSlots(self string, n int) *Slots {
	var members []catalogue.Member
	for i := range n {
		members = append(members, catalogue.Member{Name: fmt.Sprint("instance-", i)})
	}
	return &Slots{Log: logr.Discard(), Self: self, Members: func() []catalogue.Member { return members }}
}

func newUpstream(name string, slots int) *catalogue.Upstream {
	return &catalogue.Upstream{Name: name, Service: "desk", Slots: slots, Incarnation: 1}
}

// enterAll sends requests while there is room, and returns how many.
func enterAll(s *Slots, u *catalogue.Upstream, now clock.Millis) int {
	for n := 0; ; n++ {
		if _, ok := s.TryEnter(u, now); !ok {
			return n
		}
	}
}

// Guards against the instances together sending more than an upstream has slots for.
func TestPartsAddUpToTheSlots(t *testing.T) {
	for _, c := range []struct{ instances, slots, want int }{
		{1, 6, 6}, {7, 6, 6}, {7, 64, 60}, {67, 6, 6}, {67, 64, 60}, {330, 1, 1}, {330, 128, 120}, {3, 0, defaultSlots},
	} {
		sum := 0
		for i := range c.instances {
			s, u := newSlots(fmt.Sprint("instance-", i), c.instances), newUpstream("u", c.slots)
			own, _ := s.part(u, s.upstream(u, 1), 1)
			sum += own
		}
		if sum != c.want {
			t.Errorf("%d instances hold %d of %d slots, want %d", c.instances, sum, c.slots, c.want)
		}
	}
}

// Guards against an answer that was overtaken ending the bound, and against a bound that stays when upstreams bear rejections again.
func TestStatementOfAnUpstream(t *testing.T) {
	type answer struct {
		room       request.Room
		sentAt, at clock.Millis
	}
	for _, c := range []struct {
		name    string
		answers []answer
		now     clock.Millis
		want    verdict
	}{
		{"nothing was heard", nil, 100, unknown},
		{"sound", []answer{{soundRoom, 1, 2}}, 100, sound},
		{"fragile", []answer{{soundRoom, 1, 2}, {fragileRoom, 3, 4}}, 100, fragile},
		{"an older answer comes later", []answer{{fragileRoom, 3, 4}, {soundRoom, 1, 5}}, 100, fragile},
		{"one that was sent at the same time", []answer{{fragileRoom, 3, 4}, {soundRoom, 3, 5}}, 100, fragile},
		{"a newer answer ends it", []answer{{fragileRoom, 3, 4}, {soundRoom, 4, 5}}, 100, sound},
		{"an answer that can't be read", []answer{{fragileRoom, 3, 4}, {request.Room{}, 4, 5}}, 100, fragile},
		{"nothing was heard for long", []answer{{fragileRoom, 3, 4}}, 4 + 2*statementTTL, sound},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, u := newSlots("instance-0", 3), newUpstream("u", 6)
			for _, a := range c.answers {
				s.Observe(u, a.room, a.sentAt, a.at)
			}
			if got := s.judge(u, s.upstream(u, c.now), c.now); got != c.want {
				t.Errorf("judge() = %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against the upstream that comes back getting all that the others can't take, since it has said nothing yet.
func TestNewIncarnationOfAFragileServiceBeginsWithOneRequest(t *testing.T) {
	s, u, other := newSlots("instance-0", 1), newUpstream("u", 6), newUpstream("other", 6)
	s.Observe(u, soundRoom, 1, 2)
	s.Observe(other, fragileRoom, 3, 4)
	back := *u
	back.Incarnation = 2
	stay, _ := s.TryEnter(u, 5)
	entered := enterAll(s, &back, 1000)
	if entered != 1 {
		t.Errorf("%d requests were sent at once to an upstream that has just started, want 1", entered)
	}
	s.Leave(stay, Answered, 1001)
	if got := s.upstreams["u"].inFlight; got != 1 {
		t.Errorf("%d requests in flight after one at the earlier incarnation has ended, want 1", got)
	}
}

// Guards against requests that were given up making room at once, while their upstream still works on them.
func TestAbandonedRequestsKeepTheirSlotsForAWhile(t *testing.T) {
	s, u := newSlots("instance-0", 1), newUpstream("u", 2)
	s.Observe(u, fragileRoom, 1, 2)
	const now = 5 * clock.Second
	stay, _ := s.TryEnter(u, now)
	enterAll(s, u, now)
	s.Leave(stay, Abandoned, now)
	if enterAll(s, u, now+abandonedHold-1) > 0 {
		t.Error("a request was sent while the one that was given up still counts")
	}
	if enterAll(s, u, now+abandonedHold) != 1 {
		t.Error("no request may be sent after that")
	}
}

// Guards against instances that get no answers of an upstream themselves not knowing that it is fragile, or for how long.
func TestNewsOfFragileUpstreams(t *testing.T) {
	told, s, u := newSlots("instance-1", 3), newSlots("instance-0", 3), newUpstream("u", 6)
	listed := []*catalogue.Upstream{u}
	told.Observe(u, fragileRoom, 90, 100)
	items := map[string]float32{}
	told.AddOwn(200, items)
	if diff := cmp.Diff(map[string]float32{fragileItem + "u": 4, tellerItem + "u": 1}, items); diff != "" {
		t.Errorf("AddOwn() (-want +got):\n%s", diff)
	}
	s.SetPeers(listed, 300, items)
	if got := s.judge(u, s.upstream(u, 300), 300); got != fragile {
		t.Errorf("judge() = %d after the news, want %d", got, fragile)
	}
	own := map[string]float32{}
	if s.AddOwn(300, own); len(own) > 0 {
		t.Errorf("the instance tells %v, want nothing that it only heard", own)
	}
	at := 300 + newsDelay + 1
	s.SetPeers(listed, at, map[string]float32{})
	if s.upstreams["u"].statement.fragile {
		t.Error("the upstream counts as fragile although no instance says so any more")
	}
}

// Guards against calls being told to come back all at once, or ever later because of calls that won't come back.
func TestRetryAfterBooksSlotsInTurn(t *testing.T) {
	const now = 5 * clock.Second
	for _, c := range []struct {
		name     string
		deadline clock.Millis
		least    clock.Millis
		most     clock.Millis
	}{
		{"calls that can come back", now + 60*clock.Second, 5 * minRetryAfter, maxRetryAfter},
		{"calls whose time is over before", now + minRetryAfter, minRetryAfter, minRetryAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, u := newSlots("instance-0", 1), newUpstream("u", 2)
			s.Observe(u, fragileRoom, 1, 2)
			var last clock.Millis
			for range 10 {
				got := s.RetryAfter("desk", []*catalogue.Upstream{u}, c.deadline, now)
				if got < last {
					t.Errorf("a call is told to come back after %d ms, the one before after %d ms", got, last)
				}
				last = got
			}
			if last < c.least || last > c.most {
				t.Errorf("the tenth call is told to come back after %d ms, want %d to %d", last, c.least, c.most)
			}
		})
	}
}
