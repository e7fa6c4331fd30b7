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
	for _, c := range []struct {
		name        string
		alone       bool
		replies     map[string]Reply
		answersFrom map[string]time.Duration
		want        result
	}{
		{"alone", true, nil, nil, result{}},
		{"a settled instance knows more", false, map[string]Reply{"a": {Version: 7, Settled: true, Current: true, Age: 4000}, "b": {Version: 5}}, now,
			result{Finding: Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "a"}, Current: true, AsOf: 1000 - 4000}}},
		{"a settled instance was never current", false, map[string]Reply{"a": {Version: 7, Settled: true}, "b": {Version: 5}}, now,
			result{Finding: Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "a"}}}},
		{"a settled instance knows less", false, map[string]Reply{"a": {Version: 4, Settled: true}, "b": {Version: 5}}, now,
			result{Finding: Finding{Newest: 5, Heard: 2}}},
		{"an instance in doubt has heard of more", false, map[string]Reply{"a": {Version: 5}, "b": {Version: 7}}, now,
			result{Finding: Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "b"}}}},
		{"all are in doubt", false, map[string]Reply{"a": {Version: 5}, "b": {Version: 5}}, now, result{Finding: Finding{Newest: 5, Heard: 2}}},
		{"one in doubt, the other settled and late", false, map[string]Reply{"a": {Version: 5}, "b": {Version: 7, Settled: true, Current: true, Age: 4000}},
			map[string]time.Duration{"a": 0, "b": 500 * time.Millisecond},
			result{Finding{Newest: 7, Heard: 2, Record: archive.Record{Key: "b"}, Current: true, AsOf: 1500 - 4000}, 500 * time.Millisecond}},
		{"one in doubt, the other away", false, map[string]Reply{"a": {Version: 5}}, map[string]time.Duration{"a": 0},
			result{Finding{Newest: 5, Heard: 1}, (MaxWait - askPause).Duration()}},
		{"all away", false, nil, nil, result{Took: (MaxWait - askPause).Duration()}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := []catalogue.Member{{Name: "self"}, {Name: "a"}, {Name: "b", Zone: "other"}}
				if c.alone {
					members = members[:1]
				}
				start := time.Now()
				checker := &Checker{
					Clock: bubbleClock{clock.NewReal(), start}, Own: func(Args) Reply { return Reply{Version: own} }, Log: logr.Discard(), Self: members[0], Members: func() []catalogue.Member { return members },
					Network: &peers{start: start, replies: c.replies, answersFrom: c.answersFrom},
				}
				got := result{Finding: checker.Check(t.Context()), Took: time.Since(start)}
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
	p := &peers{start: time.Now(), answersFrom: answers}
	checker := &Checker{Clock: clock.NewReal(), Log: logr.Discard(), Self: members[300], Own: func(Args) Reply { return Reply{} }, Members: func() []catalogue.Member { return members }, Network: p}
	f := checker.Check(t.Context())
	if want := oldestAsked + othersAsked; p.calls != want || f.Heard != want {
		t.Errorf("%d calls, %d answers, want %d of each", p.calls, f.Heard, want)
	}
}
