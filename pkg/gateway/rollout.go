package gateway

import (
	"context"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/rating"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// rolloutPeriod is the time between evaluations of the rollouts.
	rolloutPeriod clock.Millis = 100
	// completeFraction is the fraction of a rollout's span after which a good rollout is completed, so that requests in flight on
	// the old release end before the span does.
	completeFraction = 0.8
	// writeDelayFraction is the fraction of a rollout's span over which instances spread their writes of the same status, so that
	// usually only one writes it.
	writeDelayFraction = 0.1
	// statusWriteTimeout bounds one write of a status.
	statusWriteTimeout clock.Millis = 1500
)

// StatusWriter writes the state of release rollouts for operators.
type StatusWriter interface {
	PutStatus(ctx context.Context, st catalogue.ReleaseStatus) error
}

// RolloutController evaluates release rollouts and completes or reverts them; all instances do so independently, and a status that
// two of them write does no harm.
type RolloutController struct {
	Instance *Instance
}

// comparison compares the target release of a rollout with the old release.
type comparison struct {
	target string
	rating.Comparison
}

// Evaluate evaluates each running rollout once and completes or reverts it if that is due.
func (c *RolloutController) Evaluate(ctx context.Context) {
	in := c.Instance
	now := in.Clock.Now()
	s := in.control.Snapshot()
	for service, rollout := range s.Moves {
		if rollout.State != catalogue.ReleaseRunning {
			continue
		}
		k := in.comparisonOf(service, rollout.Target)
		v := k.Verdict()
		delay := in.writeDelay(rollout)
		switch {
		case v.Bad:
			in.Log.Info("new release is bad; reverting the rollout", "service", service, "target", rollout.Target,
				"answers", v.Answers, "failed", v.Failed, "slow", v.Slow, "dragging", v.SlowStreams)
			c.finish(ctx, rollout, catalogue.ReleaseReverted)
		case now >= rollout.StartedAt+clock.Millis(completeFraction*float64(rollout.Span))+delay && hasRelease(s, service, rollout.Target):
			in.Log.Info("new release is good; completing the rollout", "service", service, "target", rollout.Target,
				"answers", v.Answers, "failed", v.Failed, "slow", v.Slow, "dragging", v.SlowStreams)
			c.finish(ctx, rollout, catalogue.ReleaseCompleted)
		case now >= rollout.StartedAt+delay && !in.statusWritten(service, rollout.Target):
			c.putStatus(ctx, rollout, catalogue.ReleaseRunning)
		}
	}
}

// writeDelay returns how long this instance waits before it writes a status that other instances may write as well.
func (in *Instance) writeDelay(rollout *catalogue.ReleaseRollout) clock.Millis {
	return clock.Millis(request.HashFraction("spread "+rollout.Service+rollout.Target, in.Settings.Name) * writeDelayFraction * float64(rollout.Span))
}

func hasRelease(s *catalogue.Snapshot, service, release string) bool {
	for _, u := range s.Pools[service] {
		if u.Release == release {
			return true
		}
	}
	return false
}

// finish ends a rollout. A revert takes effect on this instance at once and its status is written in the background; a completion
// takes effect only after its status was written.
func (c *RolloutController) finish(ctx context.Context, rollout *catalogue.ReleaseRollout, state catalogue.ReleaseState) {
	in := c.Instance
	if state == catalogue.ReleaseReverted {
		in.control.Send(rolloutEnded{service: rollout.Service, target: rollout.Target, state: state})
		in.queueRevert(rollout)
		return
	}
	if c.putStatus(ctx, rollout, state) {
		in.control.Send(rolloutEnded{service: rollout.Service, target: rollout.Target, state: state})
	}
}

// putStatus writes the state of a rollout and reports whether that succeeded.
func (c *RolloutController) putStatus(ctx context.Context, rollout *catalogue.ReleaseRollout, state catalogue.ReleaseState) bool {
	in := c.Instance
	ctx, cancel := clock.WithTimeout(ctx, in.Clock, statusWriteTimeout)
	defer cancel()
	st := catalogue.ReleaseStatus{Service: rollout.Service, Target: rollout.Target, State: state, Started: true, StartedAt: rollout.StartedAt}
	if err := in.Status.PutStatus(ctx, st); err != nil {
		in.Log.Info("rollout status not written", "service", rollout.Service, "target", rollout.Target, "state", state, "error", err.Error())
		return false
	}
	in.Log.Info("rollout status written", "service", rollout.Service, "target", rollout.Target, "state", state)
	in.recordStatus(st)
	return true
}
