package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// statusStore is a log of statuses; fail makes the next writes fail, and loseAnswers loses the answers of those that succeed.
type statusStore struct {
	archive.Source
	log           []catalogue.ReleaseStatus
	writes, reads int
	fail          int
	loseAnswers   bool
}

func (s *statusStore) PutStatus(_ context.Context, st catalogue.ReleaseStatus, at int64) (int64, error) {
	s.writes++
	end := int64(len(s.log))
	switch {
	case s.fail > 0:
		s.fail--
		return 0, errors.New("store is away")
	case at != end:
		return end, &archive.ConditionError{End: end}
	}
	s.log = append(s.log, st)
	if s.loseAnswers {
		return 0, errors.New("answer lost")
	}
	return end + 1, nil
}

func (s *statusStore) Newest(context.Context, archive.TopicName) (archive.Batch[archive.Record], error) {
	s.reads++
	b := archive.Batch[archive.Record]{Whole: true, Next: int64(len(s.log))}
	for _, st := range s.newest() {
		value, err := json.Marshal(st)
		if err != nil {
			return b, err
		}
		b.Items = append(b.Items, archive.Record{Key: st.Service, Value: value})
	}
	return b, nil
}

func (s *statusStore) newest() map[string]catalogue.ReleaseStatus {
	newest := map[string]catalogue.ReleaseStatus{}
	for _, st := range s.log {
		newest[st.Service] = st
	}
	return newest
}

// statusDecoders decode the records of a statusStore.
type statusDecoders struct{ Decoders }

func (statusDecoders) Status(r archive.Record) (st catalogue.ReleaseStatus, err error) {
	err = json.Unmarshal(r.Value, &st)
	return st, err
}

// newStatusInstance returns an instance with one rollout of the service lm to v2.
func newStatusInstance(t *testing.T, m *clock.Manual, name string, store *statusStore, state catalogue.ReleaseState) *Instance {
	t.Helper()
	cfg := settings.DefaultEntry()
	cfg.Name = name
	in := &Instance{
		Settings: &cfg, Clock: m, Log: logr.Discard(), Store: store, Status: store, Decoders: statusDecoders{},
		control:         &Control{Clock: m, Log: logr.Discard()},
		writtenStatuses: map[string]catalogue.ReleaseStatus{}, pendingStatuses: map[string]pendingStatus{},
	}
	in.control.view.ApplyOperations(operations(true, catalogue.Operation{
		Kind: catalogue.OperationRelease, Order: &catalogue.ReleaseOrder{Service: "lm", Target: "v2", Span: 20_000},
	}), m.Now())
	in.control.view.SetRolloutState("lm", "v2", state)
	in.control.Run()
	t.Cleanup(in.control.Stop)
	return in
}

// writeDue writes the statuses that are due.
func (in *Instance) writeDue() {
	c := &RolloutController{Instance: in}
	for _, p := range in.dueStatuses() {
		c.putStatus(context.Background(), p.rollout, p.state)
	}
}

// statuses returns a batch that ends at the end of the store.
func (s *statusStore) statuses(whole bool, items ...catalogue.ReleaseStatus) archive.Batch[catalogue.ReleaseStatus] {
	return archive.Batch[catalogue.ReleaseStatus]{Whole: whole, Items: items, Next: int64(len(s.log))}
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
			store := &statusStore{fail: 2, log: []catalogue.ReleaseStatus{c.known}}
			in := newStatusInstance(t, m, "edge-1", store, c.known.State)
			in.recordStatuses(store.statuses(false, c.known))
			store.log = slices.Clone(c.newest)
			in.recordStatuses(store.statuses(true, c.newest...))
			store.log = append(store.log, c.later...)
			in.recordStatuses(store.statuses(false, c.later...))
			unwritten := len(store.log)
			for range 100 {
				m.Advance(rolloutPeriod)
				in.writeDue()
			}
			var got catalogue.ReleaseState
			if len(store.log) > unwritten {
				got = store.newest()["lm"].State
			}
			if got != c.want {
				t.Errorf("written %q, want %q", got, c.want)
			}
			if want := 3; c.want != "" && store.writes != want {
				t.Errorf("%d writes, want two failed ones and one more", store.writes)
			}
		})
	}
}

// Guards against instances that the store turns away and that ask it again all the while.
func TestWritesOfAStatusAreSpacedWhileTheStoreFails(t *testing.T) {
	m := clock.NewManual(100_000)
	store := &statusStore{fail: 1 << 20}
	in := newStatusInstance(t, m, "edge-1", store, catalogue.ReleaseReverted)
	in.recordStatuses(store.statuses(true))
	in.queueRevert(in.control.Snapshot().Moves["lm"])
	for range 100 {
		m.Advance(rolloutPeriod)
		in.writeDue()
	}
	if most := 10*clock.Second/maxStatusPause + 4; store.writes == 0 || clock.Millis(store.writes) > most {
		t.Errorf("%d writes in 10 s, want some and at most %d", store.writes, most)
	}
}

// Guards against each instance writing the same lost status at the same moment.
func TestLostStatusIsWrittenByFewInstances(t *testing.T) {
	m := clock.NewManual(100_000)
	store := &statusStore{}
	var instances []*Instance
	for i := range 90 {
		in := newStatusInstance(t, m, fmt.Sprintf("edge-%d", i), store, catalogue.ReleaseCompleted)
		in.recordStatuses(store.statuses(true, lmStatus("v2", catalogue.ReleaseCompleted)))
		in.recordStatuses(store.statuses(true))
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
				in.recordStatuses(store.statuses(false, store.newest()["lm"]))
			}
		}
	}
	want := lmStatus("v2", catalogue.ReleaseCompleted)
	want.Started, want.StartedAt = true, 100_000
	if diff := cmp.Diff(want, store.newest()["lm"]); diff != "" || store.writes > 10 {
		t.Errorf("%d writes by 90 instances, want 10 at most; status (-want +got):\n%s", store.writes, diff)
	}
}

// Guards against the end of a rollout that is written over by an instance that doesn't know of it.
func TestEndedRolloutIsNotWrittenOver(t *testing.T) {
	running, completed, reverted := lmStatus("v2", catalogue.ReleaseRunning), lmStatus("v2", catalogue.ReleaseCompleted), lmStatus("v2", catalogue.ReleaseReverted)
	other := catalogue.ReleaseStatus{Service: "desk", Target: "v7", State: catalogue.ReleaseRunning}
	type result struct {
		Log   []catalogue.ReleaseStatus
		Reads int
		State catalogue.ReleaseState
	}
	for _, c := range []struct {
		name string
		log  []catalogue.ReleaseStatus
		// read is how many records of the log the instance knows; -1 if it has not read the topic.
		read        int
		state       catalogue.ReleaseState
		loseAnswers bool
		want        result
	}{
		{name: "nothing changed", log: []catalogue.ReleaseStatus{running}, read: 1, state: reverted.State,
			want: result{Log: []catalogue.ReleaseStatus{running, reverted}, State: reverted.State}},
		{name: "completed meanwhile", log: []catalogue.ReleaseStatus{running, completed}, read: 1, state: reverted.State,
			want: result{Log: []catalogue.ReleaseStatus{running, completed}, Reads: 1, State: completed.State}},
		{name: "reverted meanwhile", log: []catalogue.ReleaseStatus{running, reverted}, read: 1, state: completed.State,
			want: result{Log: []catalogue.ReleaseStatus{running, reverted}, Reads: 1, State: reverted.State}},
		{name: "completed before the topic is read", log: []catalogue.ReleaseStatus{completed}, read: -1, state: reverted.State,
			want: result{Log: []catalogue.ReleaseStatus{completed}, Reads: 1, State: completed.State}},
		{name: "started meanwhile", log: []catalogue.ReleaseStatus{running}, read: 0, state: reverted.State,
			want: result{Log: []catalogue.ReleaseStatus{running, reverted}, Reads: 1, State: reverted.State}},
		{name: "another service changed meanwhile", log: []catalogue.ReleaseStatus{running, other}, read: 1, state: reverted.State,
			want: result{Log: []catalogue.ReleaseStatus{running, other, reverted}, Reads: 1, State: reverted.State}},
		{name: "the end of another target", log: []catalogue.ReleaseStatus{lmStatus("v1", catalogue.ReleaseCompleted)}, read: 1, state: reverted.State,
			want: result{Log: []catalogue.ReleaseStatus{lmStatus("v1", catalogue.ReleaseCompleted), reverted}, State: reverted.State}},
		{name: "the answer to the write is lost", log: []catalogue.ReleaseStatus{running}, read: 1, state: reverted.State, loseAnswers: true,
			want: result{Log: []catalogue.ReleaseStatus{running, reverted}, Reads: 1, State: reverted.State}},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := &statusStore{log: slices.Clone(c.log), loseAnswers: c.loseAnswers}
			in := newStatusInstance(t, clock.NewManual(100_000), "edge-1", store, catalogue.ReleaseRunning)
			if c.read >= 0 {
				known := c.log[:c.read]
				in.recordStatuses(archive.Batch[catalogue.ReleaseStatus]{Whole: true, Items: known, Next: int64(c.read)})
			}
			in.control.Send(rolloutEnded{service: "lm", target: "v2", state: catalogue.ReleaseReverted})
			rollout := in.control.Snapshot().Moves["lm"]
			controller := &RolloutController{Instance: in}
			for range 2 {
				controller.putStatus(context.Background(), rollout, c.state)
			}
			_ = in.control.system.Root.PoisonFuture(in.control.pid).Wait()
			got := result{Log: store.log, Reads: store.reads, State: in.control.Snapshot().Moves["lm"].State}
			for i := range got.Log {
				got.Log[i].Started, got.Log[i].StartedAt = false, 0
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
