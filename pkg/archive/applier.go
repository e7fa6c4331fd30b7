package archive

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// lookupPeriod is the interval between searches for a change whose append has an unknown outcome.
	lookupPeriod clock.Millis = 250
	// lookupTries is the number of searches before the change is appended again.
	lookupTries = 8
	// majorityPollPeriod is the interval at which the holders of a change are counted.
	majorityPollPeriod clock.Millis = 50
	majorityTimeout                 = 10 * clock.Second
)

// Log is the append side of the platform's log.
type Log interface {
	// Append appends the records to the stream and returns the offset of the first one.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
}

// Applier appends changes to the configuration stream and waits for their effect; it is safe for concurrent use.
type Applier struct {
	Common settings.Common
	Log    Log
	// State returns the configuration in effect on this instance.
	State func() *catalogue.State
	// Wait blocks until the revision is in effect on this instance.
	Wait func(ctx context.Context, r catalogue.Revision) error
	// Holders returns the number of members that have the revision, including this instance, and the names of the others.
	Holders func(r catalogue.Revision) (have int, missing []string)
	// Ready reports whether changes may be appended: the state is complete and the log was not replaced, or the log is empty.
	Ready func() bool
}

// Apply appends the change and returns a receipt; an error other than *UnknownOutcomeError means that it was not appended.
func (a *Applier) Apply(ctx context.Context, ch *catalogue.Change) (catalogue.Receipt, error) {
	prepared := a.prepare(ch)
	if a.Ready != nil && !a.Ready() {
		return catalogue.Receipt{ID: prepared.ID}, &NotReadyError{}
	}
	if res, found := a.State().Result(prepared.ID); found {
		return a.receipt(ctx, res), nil
	}
	if err := a.State().Check(prepared); err != nil {
		return catalogue.Receipt{ID: prepared.ID, State: catalogue.ChangeRefused, Why: err.Error()}, nil
	}
	data, err := catalogue.EncodeChange(prepared)
	if err != nil {
		return catalogue.Receipt{ID: prepared.ID}, errors.Wrap(err, "encode change")
	}
	res, err := a.appendUntilKnown(ctx, prepared.ID, data)
	if err != nil {
		return catalogue.Receipt{ID: prepared.ID}, err
	}
	return a.receipt(ctx, res), nil
}

// prepare returns a copy with an id, the revision it is based on and a timestamp.
func (a *Applier) prepare(ch *catalogue.Change) *catalogue.Change {
	prepared := *ch
	if prepared.ID == "" {
		prepared.ID = uuid.NewString()
	}
	if prepared.AsOf == 0 {
		prepared.AsOf = a.State().Revision
	}
	if prepared.At == 0 {
		prepared.At = a.Common.Clock.Wall()
	}
	return &prepared
}

// appendUntilKnown appends the record until the state has the result of the change; duplicates in the log take effect once.
func (a *Applier) appendUntilKnown(ctx context.Context, id string, data []byte) (catalogue.ChangeResult, error) {
	outcomeUnknown := false
	for {
		first, err := a.Log.Append(ctx, catalogue.StreamName, [][]byte{data})
		if err == nil {
			return a.awaitResult(ctx, id, catalogue.Revision(first)+1)
		}
		outcomeUnknown = outcomeUnknown || mayHaveAppended(err)
		if !outcomeUnknown {
			return catalogue.ChangeResult{}, err
		}
		res, found := a.findResult(ctx, id)
		if found {
			return res, nil
		}
		if ctx.Err() != nil {
			return catalogue.ChangeResult{}, &UnknownOutcomeError{ID: id, Cause: err}
		}
	}
}

// mayHaveAppended reports whether a failed append may have reached the log.
func mayHaveAppended(err error) bool {
	var unavailable *backoffice.UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.OutcomeUnknown
	}
	var status *backoffice.StatusError
	return !errors.As(err, &status) || status.Status >= http.StatusInternalServerError
}

// awaitResult waits for the revision and returns the result of the change.
func (a *Applier) awaitResult(ctx context.Context, id string, r catalogue.Revision) (catalogue.ChangeResult, error) {
	if err := a.Wait(ctx, r); err != nil {
		return catalogue.ChangeResult{}, &UnknownOutcomeError{ID: id, Cause: err}
	}
	res, found := a.State().Result(id)
	if !found {
		return res, &UnknownOutcomeError{ID: id, Cause: &ReplacedError{Revision: a.State().Revision, End: int64(r)}}
	}
	return res, nil
}

// findResult searches the state for a change whose append has an unknown outcome.
func (a *Applier) findResult(ctx context.Context, id string) (catalogue.ChangeResult, bool) {
	for range lookupTries {
		if res, found := a.State().Result(id); found {
			return res, true
		}
		if clock.Sleep(ctx, a.Common.Clock, lookupPeriod) != nil {
			break
		}
	}
	return a.State().Result(id)
}

// receipt waits for a majority of the members to have the change.
func (a *Applier) receipt(ctx context.Context, res catalogue.ChangeResult) catalogue.Receipt {
	r := catalogue.Receipt{ID: res.ID, Revision: res.Revision, Why: res.Refused, State: catalogue.ChangeRefused}
	if res.Refused != "" {
		return r
	}
	deadline := a.Common.Clock.Now() + majorityTimeout
	for {
		have, missing := a.Holders(res.Revision)
		r.Missing = missing
		if 2*have > have+len(missing) {
			r.State = catalogue.ChangeAccepted
			return r
		}
		r.State = catalogue.ChangeRecorded
		if a.Common.Clock.Now() >= deadline || clock.Sleep(ctx, a.Common.Clock, majorityPollPeriod) != nil {
			return r
		}
	}
}
