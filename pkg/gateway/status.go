package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// pendingStatus is the state of a rollout that is to be written from notBefore on, until the store has it.
type pendingStatus struct {
	rollout   *catalogue.ReleaseRollout
	state     catalogue.ReleaseState
	notBefore clock.Millis
}

// statusTopic is what the store has of the rollout statuses.
type statusTopic struct {
	read bool
	// end is the offset up to which newest has the topic.
	end    int64
	newest map[string]catalogue.ReleaseStatus
}

// apply adds a batch of the topic; one that ends before what is known adds nothing.
func (t *statusTopic) apply(b archive.Batch[catalogue.ReleaseStatus]) {
	switch {
	case b.Whole:
		t.read, t.newest = true, map[string]catalogue.ReleaseStatus{}
	case !t.read || b.Next <= t.end:
		return
	}
	t.end = b.Next
	for _, st := range b.Items {
		if st.Removed {
			delete(t.newest, st.Service)
		} else {
			t.newest[st.Service] = st
		}
	}
}

// isEnd reports whether a status is the end of its rollout.
func isEnd(st catalogue.ReleaseStatus) bool {
	return st.State == catalogue.ReleaseCompleted || st.State == catalogue.ReleaseReverted
}

// settles reports whether a status that the store has leaves nothing to write for a state of a rollout: it is the same, or the end, which
// is never written over.
func settles(st catalogue.ReleaseStatus, target string, state catalogue.ReleaseState) bool {
	return st.Target == target && (st.State == state || isEnd(st))
}

func (in *Instance) statusWritten(service, target string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.writtenStatuses[service].Target == target
}

// recordStatus notes a status that the store has, and drops the pending one that it meets.
func (in *Instance) recordStatus(st catalogue.ReleaseStatus) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.writtenStatuses[st.Service] = st
	if p, found := in.pendingStatuses[st.Service]; found && settles(st, p.rollout.Target, p.state) {
		delete(in.pendingStatuses, st.Service)
	}
}

// recordStatuses notes which statuses the store has, and queues those that a store back from an older copy lacks.
func (in *Instance) recordStatuses(b archive.Batch[catalogue.ReleaseStatus]) {
	if b.Whole {
		in.queueLostStatuses(b.Items)
	}
	for _, st := range b.Items {
		if !st.Removed {
			in.recordStatus(st)
		}
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.statusTopic.apply(b)
}

// queueLostStatuses queues the statuses that were in the store and that its newest records lack.
func (in *Instance) queueLostStatuses(newest []catalogue.ReleaseStatus) {
	in.mu.Lock()
	defer in.mu.Unlock()
	lost := map[string]catalogue.ReleaseStatus{}
	for service, st := range in.writtenStatuses {
		lost[service] = st
	}
	for _, st := range newest {
		known := lost[st.Service]
		if st.Target == known.Target && (st.State == known.State || st.State != catalogue.ReleaseRunning) {
			delete(lost, st.Service)
		}
	}
	rollouts := in.control.Snapshot().Moves
	for service, st := range lost {
		rollout := rollouts[service]
		if rollout == nil || rollout.Target != st.Target {
			continue
		}
		in.Log.Info("the store lacks a rollout status, writing it again", "service", service, "target", st.Target, "state", st.State)
		in.queueStatus(rollout, st.State)
	}
}

// queueRevert queues the status of a reverted rollout.
func (in *Instance) queueRevert(rollout *catalogue.ReleaseRollout) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.queueStatus(rollout, catalogue.ReleaseReverted)
}

// queueStatus queues the state of a rollout; in.mu must be held. The end of a rollout that is queued already stays.
func (in *Instance) queueStatus(rollout *catalogue.ReleaseRollout, state catalogue.ReleaseState) {
	p, queued := in.pendingStatuses[rollout.Service]
	if queued && p.rollout.Target == rollout.Target && p.state != catalogue.ReleaseRunning {
		return
	}
	now := in.Clock.Now()
	delay := in.writeDelay(rollout)
	if state == catalogue.ReleaseReverted {
		// Near the end of the span, the revert must be known before another instance completes the rollout.
		delay = min(delay, clock.Millis(in.spread(rollout)*revertDelayFraction*float64(max(0, rollout.Left(now)))))
	}
	in.pendingStatuses[rollout.Service] = pendingStatus{rollout: rollout, state: state, notBefore: now + delay}
}

// dueStatuses returns the pending statuses that may be written now, and drops those of rollouts that another order has replaced.
func (in *Instance) dueStatuses() []pendingStatus {
	in.mu.Lock()
	defer in.mu.Unlock()
	rollouts := in.control.Snapshot().Moves
	var due []pendingStatus
	for service, p := range in.pendingStatuses {
		if rollout := rollouts[service]; rollout != nil && rollout.Target != p.rollout.Target {
			delete(in.pendingStatuses, service)
			continue
		}
		if in.Clock.Now() >= max(p.notBefore, in.statusPauses[service].until) {
			due = append(due, p)
		}
	}
	return due
}

// writeStatuses writes the pending statuses and retries those that fail.
func (in *Instance) writeStatuses(ctx context.Context) error {
	c := &RolloutController{Instance: in}
	for {
		if err := clock.Sleep(ctx, in.Clock, rolloutPeriod); err != nil {
			return err
		}
		for _, p := range in.dueStatuses() {
			c.putStatus(ctx, p.rollout, p.state)
		}
	}
}

const (
	// initialStatusPause is how long a status is not written again after the store didn't take it, in milliseconds; it doubles with each
	// failure up to maxStatusPause, which is short against the end of a rollout's span.
	initialStatusPause clock.Millis = 100
	maxStatusPause     clock.Millis = 800
)

// statusPause is the pause before the next write of the status of a service.
type statusPause struct {
	pause, until clock.Millis
}

// isStatusPaused reports whether the status of a service isn't to be written yet.
func (in *Instance) isStatusPaused(service string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.Clock.Now() < in.statusPauses[service].until
}

// pauseStatus delays the next write of the status of a service after a failure.
func (in *Instance) pauseStatus(service string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.statusPauses == nil {
		in.statusPauses = map[string]statusPause{}
	}
	pause := min(max(initialStatusPause, 2*in.statusPauses[service].pause), maxStatusPause)
	in.statusPauses[service] = statusPause{pause: pause, until: in.Clock.Now() + pause}
}

// resumeStatus ends the pause of a service.
func (in *Instance) resumeStatus(service string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.statusPauses, service)
}

// statusTries is how often a status is written when the topic has changed since it was read.
const statusTries = 2

// putStatus writes the state of a rollout and reports whether the store has it. What the store has of a rollout that has ended stays.
func (c *RolloutController) putStatus(ctx context.Context, rollout *catalogue.ReleaseRollout, state catalogue.ReleaseState) bool {
	in := c.Instance
	ctx, cancel := clock.WithTimeout(ctx, in.Clock, statusWriteTimeout)
	defer cancel()
	st := catalogue.ReleaseStatus{Service: rollout.Service, Target: rollout.Target, State: state, Started: true, StartedAt: rollout.StartedAt}
	var err error
	for range statusTries {
		stored, at, known := in.storedStatus(st.Service)
		if !known {
			if err = in.readStatuses(ctx); err != nil {
				break
			}
			stored, at, _ = in.storedStatus(st.Service)
		}
		if settles(stored, st.Target, state) {
			return in.adoptStatus(stored, state)
		}
		var end int64
		if end, err = in.Status.PutStatus(ctx, st, at); err == nil {
			in.recordStatuses(archive.Batch[catalogue.ReleaseStatus]{Items: []catalogue.ReleaseStatus{st}, Next: end})
			in.resumeStatus(st.Service)
			in.Log.Info("rollout status written", "service", st.Service, "target", st.Target, "state", state)
			return true
		}
		var condition *archive.ConditionError
		if !errors.As(err, &condition) {
			break
		}
		in.forgetStatusEnd()
	}
	in.pauseStatus(st.Service)
	in.Log.Info("rollout status not written", "service", st.Service, "target", st.Target, "state", state, "error", err.Error())
	return false
}

// storedStatus returns the status that the store has for a service and the end of the topic, or false if that isn't known.
func (in *Instance) storedStatus(service string) (st catalogue.ReleaseStatus, end int64, known bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.statusTopic.newest[service], in.statusTopic.end, in.statusTopic.read
}

// forgetStatusEnd makes the next write of a status read the topic first.
func (in *Instance) forgetStatusEnd() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.statusTopic.read = false
}

// readStatuses reads the statuses from the store itself.
func (in *Instance) readStatuses(ctx context.Context) error {
	topic := &archive.DecodedTopic[catalogue.ReleaseStatus]{
		Source: in.Store, Log: in.Log.WithName("store"), Name: archive.TopicStatuses, Decode: in.Decoders.Status,
	}
	b, err := topic.Newest(ctx)
	if err != nil {
		return err
	}
	in.recordStatuses(b)
	return nil
}

// adoptStatus takes over what the store has of a rollout, and reports whether that is the state that was to be written.
func (in *Instance) adoptStatus(st catalogue.ReleaseStatus, state catalogue.ReleaseState) bool {
	in.recordStatus(st)
	in.control.Send(archive.Batch[catalogue.ReleaseStatus]{Items: []catalogue.ReleaseStatus{st}})
	if st.State != state {
		in.Log.Info("the rollout has ended otherwise", "service", st.Service, "target", st.Target, "state", st.State, "unwritten", state)
	}
	return st.State == state
}
