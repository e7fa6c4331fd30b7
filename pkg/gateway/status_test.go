package gateway

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// statusStore has the statuses that instances write; fail makes the next writes fail.
type statusStore struct {
	writes int
	fail   int
	status map[string]catalogue.ReleaseStatus
}

func (s *statusStore) PutStatus(_ context.Context, st catalogue.ReleaseStatus) error {
	s.writes++
	if s.fail > 0 {
		s.fail--
		return errors.New("store is away")
	}
	s.status[st.Service] = st
	return nil
}

// newStatusInstance returns an instance with one rollout of the service lm to v2.
func newStatusInstance(m *clock.Manual, name string, store *statusStore, state catalogue.ReleaseState) *Instance {
	cfg := settings.DefaultEntry()
	cfg.Name = name
	in := &Instance{
		Settings: &cfg, Clock: m, Log: logr.Discard(), Status: store, control: &Control{},
		writtenStatuses: map[string]catalogue.ReleaseStatus{}, pendingStatuses: map[string]pendingStatus{},
	}
	in.control.snapshot.Store(&catalogue.Snapshot{Moves: map[string]*catalogue.ReleaseRollout{
		"lm": {ReleaseOrder: catalogue.ReleaseOrder{Service: "lm", Target: "v2", Span: 20_000}, State: state},
	}})
	return in
}

// writeDue writes the statuses that are due.
func (in *Instance) writeDue() {
	c := &RolloutController{Instance: in}
	for _, p := range in.dueStatuses() {
		c.putStatus(context.Background(), p.rollout, p.state)
	}
}

func statuses(whole bool, items ...catalogue.ReleaseStatus) archive.Batch[catalogue.ReleaseStatus] {
	return archive.Batch[catalogue.ReleaseStatus]{Whole: whole, Items: items}
}

func lmStatus(target string, state catalogue.ReleaseState) catalogue.ReleaseStatus {
	return catalogue.ReleaseStatus{Service: "lm", Target: target, State: state}
}

// Guards against statuses of rollouts that stay missing after the store came back from an older copy.
func TestLostStatusesAreWrittenAgain(t *testing.T) {
	running, completed, reverted := lmStatus("v2", catalogue.ReleaseRunning), lmStatus("v2", catalogue.ReleaseCompleted), lmStatus("v2", catalogue.ReleaseReverted)
	for _, c := range []struct {
		name  string
		known catalogue.ReleaseStatus
		// newest has the newest records of the store after it came back, and later what is written after that.
		newest, later []catalogue.ReleaseStatus
		want          catalogue.ReleaseState
	}{
		{name: "nothing lost", known: completed, newest: []catalogue.ReleaseStatus{completed}},
		{name: "in progress", known: running, want: catalogue.ReleaseRunning},
		{name: "completed", known: completed, want: catalogue.ReleaseCompleted},
		{name: "reverted", known: reverted, want: catalogue.ReleaseReverted},
		{name: "the copy has an earlier state", known: reverted, newest: []catalogue.ReleaseStatus{running}, want: catalogue.ReleaseReverted},
		{name: "the copy has an earlier rollout", known: reverted, newest: []catalogue.ReleaseStatus{lmStatus("v1", catalogue.ReleaseReverted)}, want: catalogue.ReleaseReverted},
		{name: "another instance wrote it again", known: completed, later: []catalogue.ReleaseStatus{completed}},
		{name: "another instance ended it", known: running, later: []catalogue.ReleaseStatus{reverted}},
		{name: "another instance wrote less", known: completed, later: []catalogue.ReleaseStatus{running}, want: catalogue.ReleaseCompleted},
		{name: "of a rollout that is over", known: lmStatus("v1", catalogue.ReleaseCompleted)},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := clock.NewManual(100_000)
			store := &statusStore{status: map[string]catalogue.ReleaseStatus{}, fail: 2}
			in := newStatusInstance(m, "edge-1", store, c.known.State)
			in.recordStatuses(statuses(false, c.known))
			in.recordStatuses(statuses(true, c.newest...))
			in.recordStatuses(statuses(false, c.later...))
			for range 100 {
				m.Advance(rolloutPeriod)
				in.writeDue()
			}
			if got := store.status["lm"].State; got != c.want {
				t.Errorf("the store has %q, want %q", got, c.want)
			}
			if want := 3; c.want != "" && store.writes != want {
				t.Errorf("%d writes, want two failed ones and one more", store.writes)
			}
		})
	}
}

// Guards against each instance writing the same lost status at the same moment.
func TestLostStatusIsWrittenByFewInstances(t *testing.T) {
	m := clock.NewManual(100_000)
	store := &statusStore{status: map[string]catalogue.ReleaseStatus{}}
	var instances []*Instance
	for i := range 90 {
		in := newStatusInstance(m, fmt.Sprintf("edge-%d", i), store, catalogue.ReleaseCompleted)
		in.recordStatuses(statuses(true, lmStatus("v2", catalogue.ReleaseCompleted)))
		in.recordStatuses(statuses(true))
		instances = append(instances, in)
	}
	for range 30 {
		m.Advance(rolloutPeriod)
		before := store.writes
		for _, in := range instances {
			in.writeDue()
		}
		if store.writes > before {
			// All read the status within a period.
			for _, in := range instances {
				in.recordStatuses(statuses(false, store.status["lm"]))
			}
		}
	}
	want := lmStatus("v2", catalogue.ReleaseCompleted)
	want.Started = true
	if diff := cmp.Diff(want, store.status["lm"]); diff != "" || store.writes > 10 {
		t.Errorf("%d writes by 90 instances, want 10 at most; status (-want +got):\n%s", store.writes, diff)
	}
}
