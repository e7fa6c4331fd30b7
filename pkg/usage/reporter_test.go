package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
)

const (
	testLength = 5 * clock.Second
	testDelay  = 10 * clock.Second
	// testStart is the end of window 199.
	testStart = 1_000_000
)

// cluster is a holder and some members; each second every member begins ten requests of workspace "a".
type cluster struct {
	t        *testing.T
	clock    *clock.Manual
	members  map[string]*member
	reporter *Reporter
	// held, era and state are the lease, and writeErr is what writing it returns.
	held     bool
	era      int64
	state    json.RawMessage
	writeErr error
	yielded  int
	// sendErr is what sending returns, and sent the reports that were sent.
	sendErr error
	sent    []duty.UsageReport
	token   int64
}

type member struct {
	service *Service
	clock   *jumpingClock
	silent  bool
	idle    bool
}

// jumpingClock is a clock whose time of day is off.
type jumpingClock struct {
	*clock.Manual
	off clock.Millis
}

func (c *jumpingClock) Wall() clock.Millis { return c.Manual.Wall() + c.off }

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, clock: clock.NewManual(testStart), members: map[string]*member{}, held: true, token: 1}
	for i := range n {
		c.start(fmt.Sprintf("m%d", i), "first")
	}
	c.newHolder("m0")
	return c
}

// start starts a process of a member.
func (c *cluster) start(name, id string) {
	own := &jumpingClock{Manual: c.clock}
	counter := &Counter{Clock: own, Keep: 60 * clock.Second}
	c.members[name] = &member{clock: own, service: &Service{
		Clock: own, Log: logr.Discard(), Self: name, ID: id, Counter: counter, Network: c, Since: c.clock.Now(), Length: testLength,
		Collected: func() []MemberCounts { return nil },
		OnPush:    func(args PushArgs) bool { return c.reporter.Push(args) },
	}}
}

// newHolder makes a member a new holder of the lease.
func (c *cluster) newHolder(name string) {
	c.token++
	c.reporter = &Reporter{
		Clock: c.members[name].clock, Log: logr.Discard(), Self: name, Lease: c, Caller: c, Network: c, Local: c.members[name].service,
		Members: c.list, Order: byName, Leaving: func() bool { return false }, Length: testLength, Delay: testDelay, Tolerance: 0.05,
	}
}

// byName orders members by name.
func byName(members []catalogue.Member) []catalogue.Member {
	slices.SortFunc(members, func(a, b catalogue.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

func (c *cluster) list() []catalogue.Member {
	var out []catalogue.Member
	for name := range c.members {
		out = append(out, catalogue.Member{Name: name})
	}
	return out
}

// run lets time pass until the given time after testStart, in seconds.
func (c *cluster) run(until int) {
	for c.clock.Now() < testStart+clock.Millis(until)*clock.Second {
		c.clock.Advance(100)
		for _, m := range c.members {
			if !m.idle {
				m.service.Counter.Add("a")
			}
		}
		if c.clock.Now()%tick < 100 {
			c.reporter.step(context.Background())
		}
	}
}

// Held, State, Write and Yield implement Lease.
func (c *cluster) Held(clock.Millis) (duty.Lease, bool) {
	return duty.Lease{Token: c.era<<36 | c.token}, c.held
}

func (c *cluster) State(string) (json.RawMessage, bool) { return c.state, c.held }

func (c *cluster) Yield(string) { c.yielded++ }

func (c *cluster) Write(_ context.Context, _ duty.Lease, _ string, state json.RawMessage) error {
	if c.writeErr == nil {
		c.state = state
	}
	return c.writeErr
}

// Usage and Scale implement duty.Caller.
func (c *cluster) Usage(_ context.Context, _ duty.Lease, report duty.UsageReport) error {
	c.sent = append(c.sent, report)
	return c.sendErr
}

func (c *cluster) Scale(context.Context, duty.Lease, duty.ScaleOrder) error { return nil }

// CallWithin implements Network.
func (c *cluster) CallWithin(_ context.Context, _ clock.Millis, name, method string, args, reply any) error {
	m := c.members[name]
	if m == nil || m.silent {
		return errors.New("no answer")
	}
	if push, ok := args.(PushArgs); ok {
		return m.service.Push(push, reply.(*PushReply))
	}
	return m.service.Counts(args.(CountsArgs), reply.(*CountsReply))
}

// counts returns the counts by window of all reports, "!" in front if a window got several.
func (c *cluster) counts() map[int64]string {
	out := map[int64]string{}
	for _, r := range c.sent {
		count := fmt.Sprint(r.Counts["a"])
		if before, known := out[r.Window]; known && before != count {
			count = "!" + before + " " + count
		}
		out[r.Window] = count
	}
	return out
}

func TestReports(t *testing.T) {
	for _, s := range []struct {
		name string
		// play runs the cluster of three members, which begin 150 requests in a window.
		play func(c *cluster)
		want map[int64]string
		// missed and incomplete are the windows that were counted so.
		missed, incomplete int64
	}{
		{"whole windows", func(c *cluster) { c.run(16) }, map[int64]string{201: "150", 202: "150"}, 0, 0},
		{"a lost answer", func(c *cluster) {
			c.sendErr = errors.New("no answer")
			c.run(13)
			c.sendErr = nil
			c.run(16)
		}, map[int64]string{201: "150", 202: "150"}, 0, 0},
		{"a report without an answer is repeated by the next holder as it was", func(c *cluster) {
			c.sendErr = errors.New("no answer")
			c.run(11)
			c.sendErr = nil
			c.start("m1", "second")
			c.newHolder("m0")
			c.run(16)
		}, map[int64]string{201: "150", 202: "139"}, 0, 1},
		{"the store fails for some time", func(c *cluster) {
			c.writeErr = errors.New("no answer")
			c.run(14)
			c.writeErr = nil
			c.run(16)
		}, map[int64]string{201: "150", 202: "150"}, 0, 0},
		{"nothing is sent that the store didn't take", func(c *cluster) {
			c.run(11)
			c.writeErr = errors.New("no answer")
			c.run(16)
			c.start("m1", "second")
			c.newHolder("m0")
			c.writeErr = nil
			c.run(19)
		}, map[int64]string{201: "150", 202: "100"}, 0, 1},
		{"all processes are killed", func(c *cluster) {
			c.run(13)
			for name := range c.members {
				c.start(name, "second")
			}
			c.newHolder("m0")
			c.run(21)
		}, map[int64]string{201: "150", 203: "150"}, 1, 0},
		{"a process is killed while the lease has lapsed", func(c *cluster) {
			c.run(13)
			c.held = false
			c.run(14)
			c.start("m1", "second")
			c.held = true
			c.run(16)
		}, map[int64]string{201: "150", 202: "138"}, 0, 0},
		{"the lease lapses and is held again", func(c *cluster) {
			c.run(11)
			c.held = false
			c.run(18)
			c.held = true
			c.run(21)
		}, map[int64]string{201: "150", 202: "150", 203: "150"}, 0, 0},
		{"a new holder after a report was due to be recorded", func(c *cluster) {
			c.run(11)
			c.newHolder("m0")
			c.held = false
			c.run(24)
			c.held = true
			c.run(26)
		}, map[int64]string{201: "150", 202: "150", 203: "150", 204: "150"}, 0, 0},
		{"a process is killed", func(c *cluster) {
			c.run(8)
			c.start("m1", "second")
			c.run(11)
		}, map[int64]string{201: "148"}, 0, 0},
		{"a member ends and tells its counts", func(c *cluster) {
			c.run(8)
			m := c.members["m1"]
			m.service.Tell(context.Background(), "")
			delete(c.members, "m1")
			c.run(11)
		}, map[int64]string{201: "131"}, 0, 0},
		{"a holder ends and tells what it collected", func(c *cluster) {
			c.run(13)
			c.start("m1", "second")
			c.run(14)
			c.reporter.Leaving = func() bool { return true }
			c.reporter.step(context.Background())
			c.members["m0"].service.Collected = c.reporter.Collected
			old := c.members["m0"].service
			delete(c.members, "m0")
			c.newHolder("m2")
			old.Tell(context.Background(), "m2")
			c.run(16)
		}, map[int64]string{201: "150", 202: "139"}, 0, 0},
		{"a member with a small part is silent", func(c *cluster) {
			c.members["m1"].idle = true
			c.run(11)
			c.members["m1"].silent = true
			c.run(19)
		}, map[int64]string{201: "100", 202: "100"}, 0, 0},
		{"a member with a large part is silent", func(c *cluster) {
			c.run(11)
			c.members["m1"].silent = true
			c.run(23)
		}, map[int64]string{201: "150", 202: "104"}, 0, 1},
		{"a member with a large part answers again", func(c *cluster) {
			c.run(11)
			c.members["m1"].silent = true
			c.run(18)
			c.members["m1"].silent = false
			c.run(22)
		}, map[int64]string{201: "150", 202: "150", 203: "150"}, 0, 0},
		{"the holder's time of day jumps", func(c *cluster) {
			c.run(6)
			c.members["m0"].clock.off = 3 * clock.Second
			c.run(16)
		}, map[int64]string{201: "150", 202: "150"}, 0, 0},
		{"the time of day of a member is far off", func(c *cluster) {
			c.members["m1"].clock.off = 1000 * clock.Second
			c.run(16)
		}, map[int64]string{201: "150", 202: "150"}, 0, 0},
		{"the store comes back from an older copy", func(c *cluster) {
			c.run(11)
			older := c.state
			c.run(16)
			c.state, c.era = older, 1
			c.newHolder("m0")
			c.run(26)
		}, map[int64]string{201: "150", 202: "150", 203: "150", 204: "150"}, 1, 0},
		{"the state can't be read", func(c *cluster) {
			c.state = json.RawMessage(`[]`)
			c.run(16)
		}, map[int64]string{}, 0, 0},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCluster(t, 3)
			s.play(c)
			if diff := cmp.Diff(s.want, c.counts()); diff != "" {
				t.Errorf("counts by window (-want +got):\n%s", diff)
			}
			st := c.reporter.Stats()
			if diff := cmp.Diff([]int64{s.missed, s.incomplete}, []int64{st.Missed, st.Incomplete}); diff != "" {
				t.Errorf("missed and incomplete windows (-want +got):\n%s", diff)
			}
		})
	}
}

// Failure: a holder that reaches nobody reported windows without the counts of others until its lease ended.
func TestHolderThatReachesNobodyYields(t *testing.T) {
	c := newCluster(t, 3)
	c.run(11)
	c.members["m1"].silent, c.members["m2"].silent = true, true
	c.run(19)
	if c.yielded == 0 {
		t.Error("the lease was not given up")
	}
}

// Failure: all candidates by rank were replaced for good, and nobody watched the lease.
func TestStandbysAnswer(t *testing.T) {
	c := newCluster(t, 5)
	c.members["m1"].silent = true
	c.run(11)
	got := map[string]bool{}
	for name, m := range c.members {
		_, got[name] = m.service.Asked()
	}
	want := map[string]bool{"m0": true, "m1": false, "m2": true, "m3": true, "m4": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("standbys (-want +got):\n%s", diff)
	}
}

// An entry is counted in the window in which it began, and kept long enough for a late report.
func TestCounter(t *testing.T) {
	c := clock.NewManual(testStart)
	counter := &Counter{Clock: c, Keep: 20 * clock.Second}
	counter.Add("")
	for range 100 {
		c.Advance(500)
		counter.Add("a")
		counter.Add("b")
		counter.Add("b")
	}
	got := counter.Windows(0, testLength, 209)
	want := []WindowCounts{
		{209, map[string]int64{"a": 10, "b": 20}},
		{210, map[string]int64{"a": 1, "b": 2}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("windows (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(true, len(counter.entries) <= 2*2*41); diff != "" {
		t.Errorf("old entries are dropped (-want +got):\n%s", diff)
	}
}
