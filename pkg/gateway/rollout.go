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
	// A good rollout is completed between completeFrom and completeTo of the time from when the new release gets all requests to the
	// end of the span, so that requests in flight on the old release end before that; the instances spread their writes over it.
	completeFrom = 0.6
	completeTo   = 0.75
	// latestFrom and latestTo are the parts of the exposure budget, as a share of the span, that are left when a rollout is completed
	// at the latest, whatever the share of the new release.
	latestFrom = 0.2
	latestTo   = 0.13
	// storeAnswers is how many answers of the store must fit in before the end of the span: of the write, of the reader that is to find
	// it, and one in reserve.
	storeAnswers = 3.0
	// writeDelayFraction is the fraction of a rollout's span over which instances spread their writes of its beginning or its revert,
	// so that usually only one writes it.
	writeDelayFraction = 0.1
	// revertDelayFraction is the part of the time left of the span over which they spread their writes of its revert at most.
	revertDelayFraction = 0.2
	// maxStoreTime bounds the time for these answers, as a part of the exposure budget.
	maxStoreTime = 0.4
	// statusWriteTimeout bounds one write of a status.
	statusWriteTimeout clock.Millis = 1500
)

// StatusWriter writes the state of release rollouts for operators.
type StatusWriter interface {
	// PutStatus appends a status if the topic ends at the given offset, and returns its new end; otherwise the error is an
	// *archive.ConditionError.
	PutStatus(ctx context.Context, st catalogue.ReleaseStatus, at int64) (end int64, err error)
}

// RolloutController judges release rollouts, shifts them, and completes or reverts them; all instances do so independently, and the
// first end of a rollout that the store has stands.
type RolloutController struct {
	Instance *Instance
}

// comparison compares the target release of a rollout with the old release.
type comparison struct {
	target string
	rating.Comparison
	shift rating.Shift
	// waitLogged is true once the log says that the completion waits for evidence.
	waitLogged bool
}

// Judge judges each running rollout once: it reverts it if the new release is bad, and otherwise raises the release's share if the
// exposure that is allowed affords it and nothing speaks against the release.
func (c *RolloutController) Judge() {
	in := c.Instance
	now := in.Clock.Now()
	for service, rollout := range in.control.Snapshot().Moves {
		if rollout.State != catalogue.ReleaseRunning {
			continue
		}
		k := in.comparisonOf(service, rollout.Target)
		k.Advance(now)
		v := k.Verdict()
		if v.Bad {
			in.Log.Info("new release is bad; reverting the rollout", "service", service, "target", rollout.Target,
				"answers", v.Answers, "failed", v.Failed, "slow", v.Slow, "dragging", v.SlowStreams, "recent", v.Recent)
			in.control.Send(rolloutEnded{service: service, target: rollout.Target, state: catalogue.ReleaseReverted})
			in.queueRevert(rollout)
			continue
		}
		if rollout.KeepsSessions(now) || v.Suspect || !k.PeersKnown() {
			continue
		}
		if share, raised := in.raiseShare(k, rollout, now); raised {
			e := k.Exposure(rollout.Left(now))
			in.Log.Info("share of the new release raised", "service", service, "target", rollout.Target, "share", share,
				"requests", e.Requests, "exposed", e.Exposed, "leftMs", e.Left)
			in.releases.SetShare(rollout, share)
		}
	}
}

// raiseShare raises the share of the new release if that is due, and returns it.
func (in *Instance) raiseShare(k *comparison, rollout *catalogue.ReleaseRollout, now clock.Millis) (share float64, raised bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	before := k.shift.Share(rollout.Canary)
	k.shift.Advance(now, in.exposureBudget(), k.Exposure(rollout.Left(now)))
	share = k.shift.Share(rollout.Canary)
	return share, share > before
}

func (in *Instance) exposureBudget() rating.ExposureBudget {
	b := &in.Settings.Bounds
	return rating.ExposureBudget{Share: b.ExposureShare, Slack: b.ExposureSlack}
}

// WriteStatuses completes the good rollouts that are due, and writes the beginning of new ones.
func (c *RolloutController) WriteStatuses(ctx context.Context) {
	in := c.Instance
	now := in.Clock.Now()
	s := in.control.Snapshot()
	for service, rollout := range s.Moves {
		if rollout.State != catalogue.ReleaseRunning || in.isStatusPaused(service) {
			continue
		}
		k := in.comparisonOf(service, rollout.Target)
		v := k.Verdict()
		switch {
		case !v.Bad && !v.Doubt && now >= in.completeAt(k, rollout) && hasRelease(s, service, rollout.Target) && in.isProven(k, rollout, v, now):
			in.Log.Info("new release is good; completing the rollout", "service", service, "target", rollout.Target,
				"answers", v.Answers, "failed", v.Failed, "slow", v.Slow, "dragging", v.SlowStreams, "soundness", v.Soundness)
			if c.putStatus(ctx, rollout, catalogue.ReleaseCompleted) {
				in.control.Send(rolloutEnded{service: service, target: rollout.Target, state: catalogue.ReleaseCompleted})
			}
		case now >= rollout.StartedAt+in.writeDelay(rollout) && !in.statusWritten(service, rollout.Target):
			c.putStatus(ctx, rollout, catalogue.ReleaseRunning)
		}
	}
}

// isProven reports whether enough was seen of a release to complete its rollout, which can't be taken back.
func (in *Instance) isProven(k *comparison, rollout *catalogue.ReleaseRollout, v rating.Verdict, now clock.Millis) bool {
	needed := soundnessNeeded(in.exposureBudget(), k.Exposure(rollout.Left(now)), rollout, in.startedAt)
	if k.PeersKnown() && v.Soundness >= needed {
		return true
	}
	if !k.waitLogged {
		k.waitLogged = true
		in.Log.Info("too little is known of the new release; the rollout is not completed yet", "service", rollout.Service, "target", rollout.Target,
			"answers", v.Answers, "failed", v.Failed, "slow", v.Slow, "dragging", v.SlowStreams, "soundness", v.Soundness, "needed", needed,
			"peersKnown", k.PeersKnown())
	}
	return false
}

// soundnessNeeded returns the soundness that a release needs to be completed by an instance that started at the given time. One that
// started during the rollout doesn't know how many requests there were before.
func soundnessNeeded(b rating.ExposureBudget, e rating.Exposure, rollout *catalogue.ReleaseRollout, instanceStart clock.Millis) float64 {
	if instanceStart > rollout.StartedAt {
		return rating.MinSoundness
	}
	return b.SoundnessNeeded(e)
}

// completeAt returns when this instance completes a rollout if its release is good.
func (in *Instance) completeAt(k *comparison, rollout *catalogue.ReleaseRollout) clock.Millis {
	in.mu.Lock()
	defer in.mu.Unlock()
	return completionTime(rollout, &k.shift, in.Settings.Bounds.ExposureShare, in.spread(rollout), in.timedStore.Latency())
}

// completionTime returns when an instance with this place among all completes a rollout if its release is good; a slow store needs more
// time to confirm it.
func completionTime(rollout *catalogue.ReleaseRollout, shift *rating.Shift, exposureShare, spread float64, store clock.Millis) clock.Millis {
	end := rollout.StartedAt + rollout.Span
	at := end - clock.Millis((latestFrom-(latestFrom-latestTo)*spread)*exposureShare*float64(rollout.Span))
	if full, ok := shift.FullSince(); ok {
		at = min(at, full+clock.Millis((completeFrom+(completeTo-completeFrom)*spread)*float64(end-full)))
	}
	return min(at, end-clock.Millis(min((storeAnswers+1-spread)*float64(store), maxStoreTime*exposureShare*float64(rollout.Span))))
}

// spread returns the place of this instance, from 0 to 1, among those that may write the same status.
func (in *Instance) spread(rollout *catalogue.ReleaseRollout) float64 {
	return request.HashFraction("spread "+rollout.Service+rollout.Target, in.Settings.Name)
}

// writeDelay returns how long this instance waits before it writes a status that other instances may write as well.
func (in *Instance) writeDelay(rollout *catalogue.ReleaseRollout) clock.Millis {
	return clock.Millis(in.spread(rollout) * writeDelayFraction * float64(rollout.Span))
}

func hasRelease(s *catalogue.Snapshot, service, release string) bool {
	for _, u := range s.Pools[service] {
		if u.Release == release {
			return true
		}
	}
	return false
}
