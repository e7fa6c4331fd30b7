package revision

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// peers is a Caller that answers for all members from the times in answersFrom on, and never for those that are missing there.
type peers struct {
	mu          sync.Mutex
	start       time.Time
	replies     map[string]Reply
	answersFrom map[string]time.Duration
	calls       int
}

func (p *peers) CallWithin(_ context.Context, _ clock.Millis, member, _ string, args, reply any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	from, answers := p.answersFrom[member]
	if !answers || time.Since(p.start) < from {
		return errors.New("unreachable")
	}
	out := p.replies[member]
	if args.(Args).Record {
		out.Record = archive.Record{Key: member}
	}
	*reply.(*Reply) = out
	return nil
}

// bubbleClock starts at 1000 in a synctest bubble.
type bubbleClock struct {
	clock.Clock
	start time.Time
}

func (c bubbleClock) Now() clock.Millis {
	return 1000 + clock.Millis(time.Since(c.start).Milliseconds())
}

func TestCheck(t *testing.T) {
	type result struct {
		Finding
		Took time.Duration
	}
	const own = 5
	now := map[string]time.Duration{"a": 0, "b": 0}
	allRounds := ((rounds - 1) * askPause).Duration()
	for _, c := range []struct {
		name string
		// known is Question.Known, and earlier is true if the others have settled in an earlier era.
		known, earlier bool
		alone          bool
		replies        map[string]Reply
		answersFrom    map[string]time.Duration
		want           result
	}{
		{"alone", false, false, true, nil, nil, result{}},
		{"a settled instance knows more", false, false, false, map[string]Reply{"a": {Version: 7, Settled: true, Current: true, Age: 4000}, "b": {Version: 5}}, now,
			result{Finding: Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "a"}, Current: true, AsOf: 1000 - 4000}}},
		{"a settled instance was never current", false, false, false, map[string]Reply{"a": {Version: 7, Settled: true}, "b": {Version: 5}}, now,
			result{Finding: Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "a"}}}},
		{"a settled instance knows less", false, false, false, map[string]Reply{"a": {Version: 4, Settled: true}, "b": {Version: 5}}, now,
			result{Finding: Finding{Newest: 5, Heard: 2}}},
		{"an instance in doubt has heard of more", false, false, false, map[string]Reply{"a": {Version: 5}, "b": {Version: 7}}, now,
			result{Finding: Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "b"}}}},
		{"all are in doubt", false, false, false, map[string]Reply{"a": {Version: 5}, "b": {Version: 5}}, now, result{Finding: Finding{Newest: 5, Heard: 2}}},
		{"one in doubt, the other settled and late", false, false, false, map[string]Reply{"a": {Version: 5}, "b": {Version: 7, Settled: true, Current: true, Age: 4000}},
			map[string]time.Duration{"a": 0, "b": 500 * time.Millisecond},
			result{Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "b"}, Current: true, AsOf: 1500 - 4000}, 500 * time.Millisecond}},
		{"one in doubt, the other away", false, false, false, map[string]Reply{"a": {Version: 5}}, map[string]time.Duration{"a": 0},
			result{Finding{Newest: 5, Heard: 1}, (MaxWait - askPause).Duration()}},
		{"all away", false, false, false, nil, nil, result{Took: (MaxWait - askPause).Duration()}},
		{"settled in an earlier era, the other one late", false, true, false,
			map[string]Reply{"a": {Version: 5, Settled: true, Current: true, Age: 4000}, "b": {Version: 7, Current: true, Age: 1000}},
			map[string]time.Duration{"a": 0, "b": 500 * time.Millisecond},
			result{Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "b"}, Current: true, AsOf: 1500 - 1000}, 500 * time.Millisecond}},
		{"an earlier era known, alone", true, false, true, nil, nil, result{}},
		{"an earlier era known, a settled instance knows less than one that is late", true, false, false,
			map[string]Reply{"a": {Version: 5, Settled: true, Current: true, Age: 100}, "b": {Version: 7, Current: true, Age: 1000}},
			map[string]time.Duration{"a": 0, "b": 100 * time.Millisecond},
			result{Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "b"}, Current: true, AsOf: 1100 - 1000}, 100 * time.Millisecond}},
		{"an earlier era known, one away", true, false, false, map[string]Reply{"a": {Version: 5}}, map[string]time.Duration{"a": 0},
			result{Finding{Newest: 5, Heard: 1}, allRounds}},
		{"an earlier era known, all away", true, false, false, nil, nil, result{Took: (MaxWait - askPause).Duration()}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := []catalogue.Member{{Name: "self"}, {Name: "a"}, {Name: "b", Zone: "other"}}
				if c.alone {
					members = members[:1]
				}
				q := Question{Number: 3, Era: 2, Known: c.known}
				replies := map[string]Reply{}
				for name, reply := range c.replies {
					reply.Era = q.Era
					if c.earlier {
						reply.Era--
					}
					replies[name] = reply
				}
				c.want.Question, c.want.Others = q, len(members)-1
				if c.earlier {
					c.want.Before = Position{Era: q.Era - 1}
				}
				start := time.Now()
				checker := &Checker{
					Clock: bubbleClock{clock.NewReal(), start}, Own: func(Args) Reply { return Reply{Version: own} }, Log: logr.Discard(), Self: members[0], Members: func() []catalogue.Member { return members },
					Network: &peers{start: start, replies: replies, answersFrom: c.answersFrom},
				}
				got := result{Finding: checker.Check(t.Context(), q), Took: time.Since(start)}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a check whose calls grow with the number of instances.
func TestCheckAsksFewInstances(t *testing.T) {
	var members []catalogue.Member
	answers := map[string]time.Duration{}
	for i := range 330 {
		m := catalogue.Member{Name: fmt.Sprintf("edge-%d", i), Zone: fmt.Sprint("zone-", i%6), Incarnation: int64(i)}
		members = append(members, m)
		answers[m.Name] = 0
	}
	for _, c := range []struct {
		reply Reply
		known bool
		want  int
	}{
		{Reply{Settled: true, Era: 1}, false, oldestAsked + othersAsked},
		{Reply{Settled: true, Era: 1}, true, rounds * (oldestAsked + othersAsked)},
		{Reply{Era: 1}, false, rounds * (oldestAsked + othersAsked)},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := &peers{start: time.Now(), answersFrom: answers, replies: map[string]Reply{}}
			for _, m := range members {
				p.replies[m.Name] = c.reply
			}
			checker := &Checker{Clock: clock.NewReal(), Log: logr.Discard(), Self: members[300], Own: func(Args) Reply { return Reply{} }, Members: func() []catalogue.Member { return members }, Network: p}
			checker.Check(t.Context(), Question{Era: 1, Known: c.known})
			if p.calls != c.want {
				t.Errorf("reply %+v, earlier era known %t: %d calls, want %d", c.reply, c.known, p.calls, c.want)
			}
		})
	}
}

// cluster is a Caller to instances that all check at the same time.
type cluster struct {
	mu       sync.Mutex
	versions map[string]int64
	calls    int
}

func (c *cluster) CallWithin(_ context.Context, _ clock.Millis, member, _ string, args, reply any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	out := Reply{Version: c.versions[member], Era: 1}
	if args.(Args).Record {
		out.Record = archive.Record{Key: member}
	}
	*reply.(*Reply) = out
	return nil
}

// Guards against a revocation that stays unknown to most instances of a large deployment because the store had turned them away and those
// that they ask had been turned away as well.
func TestChecksSpreadWhatFewInstancesKnow(t *testing.T) {
	for _, c := range []struct{ instances, know int }{{4, 1}, {9, 1}, {64, 4}, {64, 21}, {330, 33}, {330, 110}} {
		t.Run(fmt.Sprintf("%d of %d", c.know, c.instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := &cluster{versions: map[string]int64{}}
				var members []catalogue.Member
				for i := range c.instances {
					m := catalogue.Member{Name: fmt.Sprintf("edge-%d", i), Zone: fmt.Sprint("zone-", i%6), Incarnation: int64(c.instances - i)}
					members = append(members, m)
					all.versions[m.Name] = 10
					if i < c.know {
						all.versions[m.Name] = 13
					}
				}
				var wg sync.WaitGroup
				for _, m := range members {
					adopt := func(f Finding) {
						all.mu.Lock()
						defer all.mu.Unlock()
						all.versions[m.Name] = max(all.versions[m.Name], f.Newest)
					}
					own := func(Args) Reply {
						all.mu.Lock()
						defer all.mu.Unlock()
						return Reply{Version: all.versions[m.Name]}
					}
					checker := &Checker{
						Clock: clock.NewReal(), Log: logr.Discard(), Self: m, Own: own, Members: func() []catalogue.Member { return members },
						Network: all, Report: adopt,
					}
					wg.Go(func() { adopt(checker.Check(t.Context(), Question{Era: 1, Known: true})) })
				}
				wg.Wait()
				unaware := 0
				for _, v := range all.versions {
					if v < 13 {
						unaware++
					}
				}
				t.Logf("%d calls", all.calls)
				if unaware > 0 {
					t.Errorf("%d instances don't know version 13 after their checks, %d calls", unaware, all.calls)
				}
			})
		})
	}
}

// Guards against operations that are taken over from an instance that had read less than another one before the store came back.
func TestOperationsComeFromWhoHadReadMost(t *testing.T) {
	order := func(target string) []catalogue.ReleaseOrder {
		return []catalogue.ReleaseOrder{{Service: "lm", Target: target}}
	}
	f := Finding{Question: Question{Era: 3}}
	for _, r := range []Reply{
		// Instances that have read the new era, know only that, or have not noticed it yet.
		{Era: 3, Next: 4, Before: Position{2, 7}, Orders: order("v7")},
		{Era: 3, Next: 4, Orders: order("v4")},
		{Era: 2, Next: 9, Before: Position{1, 50}, Orders: order("v9"), ZonesOut: []string{"a"}},
		{Era: 1, Next: 60, Orders: order("v60")},
		{Era: 2, Next: 8, Orders: order("v8")},
	} {
		f.add(&r)
	}
	want := Finding{Question: f.Question, Before: Position{2, 9}, Orders: order("v9"), ZonesOut: []string{"a"}}
	if diff := cmp.Diff(want, f); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
