package gateway

import (
	"context"

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

// isMetBy reports whether the store needs no write when it has a status.
func (p *pendingStatus) isMetBy(st catalogue.ReleaseStatus) bool {
	return st.Target == p.rollout.Target && (st.State == p.state || p.state == catalogue.ReleaseRunning)
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
	if p, found := in.pendingStatuses[st.Service]; found && p.isMetBy(st) {
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

// dueStatuses returns the pending statuses that may be written now.
func (in *Instance) dueStatuses() []pendingStatus {
	in.mu.Lock()
	defer in.mu.Unlock()
	var due []pendingStatus
	for _, p := range in.pendingStatuses {
		if in.Clock.Now() >= p.notBefore {
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
