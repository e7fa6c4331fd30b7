package entry

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/rating"
)

const (
	// holdCheckPeriod is how often the rollouts are checked for versions that turned bad, in milliseconds.
	holdCheckPeriod = 1 * clock.Second
	// holdAppenders is how many instances append the change that holds a rollout, in case some of them fail to.
	holdAppenders = 3
	holdAuthor    = "version health"
)

// holdRollouts holds the rollout to each version that the health test found to be bad, and records the evidence. New sessions
// avoid the version even before that, since the choice of versions reads the health directly.
func (d *Daemon) holdRollouts(ctx context.Context) error {
	found := make(chan []rating.Suspect, 1)
	if err := d.control.Do(ctx, func() { found <- d.control.Ratings.Suspects() }); err != nil {
		return err
	}
	s := d.control.Snapshot()
	for _, suspect := range <-found {
		ch := holdChange(s.Config, &suspect)
		if ch == nil || !d.isHoldAppender(string(suspect.Version), s.Members) {
			continue
		}
		r, err := d.applier.Apply(ctx, ch)
		if err != nil {
			return errors.Wrapf(err, "hold the rollout to %s", suspect.Version)
		}
		d.Common.Log.WithName("health").Info("rollout held", "version", suspect.Version, "evidence", suspect.Evidence, "state", r.State)
	}
	return nil
}

// holdChange returns the change that holds the rollout to the suspect, or nil when there is none to hold. Its id is the same on
// all instances, so that the change takes effect once.
func holdChange(s *catalogue.State, suspect *rating.Suspect) *catalogue.Change {
	old := s.Rollouts[suspect.Version.Model()]
	if old == nil || old.To != suspect.Version || old.Held {
		return nil
	}
	held := *old
	held.Held, held.Evidence = true, suspect.Task+": "+suspect.Evidence
	object, err := json.Marshal(&held)
	if err != nil {
		return nil
	}
	base := s.ObjectRevision(catalogue.ObjectKey{Kind: catalogue.KindRollout, Name: old.Model})
	return &catalogue.Change{
		ID:     fmt.Sprintf("hold-%s-%d", suspect.Version, base),
		Author: holdAuthor,
		Note:   held.Evidence,
		Edits:  []catalogue.Edit{{Kind: catalogue.KindRollout, Name: old.Model, Base: base, Object: object}},
	}
}

// isHoldAppender reports whether this instance is among the first holdAppenders members in rendezvous order for the key.
func (d *Daemon) isHoldAppender(key string, members []catalogue.Member) bool {
	for i, m := range membership.Rank(key, members) {
		if m.Name == d.self.Name {
			return i < holdAppenders
		}
	}
	return false
}
