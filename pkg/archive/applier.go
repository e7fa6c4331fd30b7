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
	// settlePeriod is how often a change whose answer was lost is looked for, in milliseconds.
	settlePeriod clock.Millis = 250
	// settleTries is how often it is looked for before it is appended again.
	settleTries = 8
	// acceptPeriod is how often the holders of a change are counted, in milliseconds.
	acceptPeriod clock.Millis = 50
	// acceptWait is how long a majority is waited for, in milliseconds.
	acceptWait = 10 * clock.Second
)

// Log appends records to a stream.
type Log interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
}

// Applier appends changes and tells how far they came; it is safe for concurrent use.
type Applier struct {
	Common settings.Common
	Log    Log
	// State returns the configuration in force here.
	State func() *catalogue.State
	// Wait returns once the revision is in force here.
	Wait func(ctx context.Context, r catalogue.Revision) error
	// Holders counts the members that hold the revision, this instance included, and names the others.
	Holders func(r catalogue.Revision) (have int, missing []string)
	// Ready tells whether changes may be appended: the state is whole and the log was not replaced, or the log is empty.
	Ready func() bool
}

// Apply appends the change and returns what became of it.
// Its errors are *UnsettledError, and others when the change was not appended and takes no effect.
func (a *Applier) Apply(ctx context.Context, ch *catalogue.Change) (catalogue.Receipt, error) {
	sent := a.prepare(ch)
	if a.Ready != nil && !a.Ready() {
		return catalogue.Receipt{ID: sent.ID}, &UnreadyError{}
	}
	if res, known := a.State().Result(sent.ID); known {
		return a.receipt(ctx, res), nil
	}
	if err := a.State().Check(sent); err != nil {
		return catalogue.Receipt{ID: sent.ID, State: catalogue.ChangeRefused, Why: err.Error()}, nil
	}
	data, err := catalogue.EncodeChange(sent)
	if err != nil {
		return catalogue.Receipt{ID: sent.ID}, errors.Wrap(err, "encode change")
	}
	res, err := a.append(ctx, sent.ID, data)
	if err != nil {
		return catalogue.Receipt{ID: sent.ID}, err
	}
	return a.receipt(ctx, res), nil
}

// prepare returns a copy with an id and the revision it was sent at.
func (a *Applier) prepare(ch *catalogue.Change) *catalogue.Change {
	sent := *ch
	if sent.ID == "" {
		sent.ID = uuid.NewString()
	}
	if sent.AsOf == 0 {
		sent.AsOf = a.State().Revision
	}
	if sent.At == 0 {
		sent.At = a.Common.Clock.Wall()
	}
	return &sent
}

// append appends the record until the fold shows the change; a record that stands twice folds once.
func (a *Applier) append(ctx context.Context, id string, data []byte) (catalogue.ChangeResult, error) {
	unknown := false
	for {
		first, err := a.Log.Append(ctx, catalogue.StreamName, [][]byte{data})
		if err == nil {
			return a.await(ctx, id, catalogue.Revision(first)+1)
		}
		unknown = unknown || mayHaveEffect(err)
		if !unknown {
			return catalogue.ChangeResult{}, err
		}
		res, found := a.settle(ctx, id)
		if found {
			return res, nil
		}
		if ctx.Err() != nil {
			return catalogue.ChangeResult{}, &UnsettledError{ID: id, Cause: err}
		}
	}
}

// mayHaveEffect tells whether a failed append may stand in the log all the same.
func mayHaveEffect(err error) bool {
	var lost *backoffice.UnavailableError
	if errors.As(err, &lost) {
		return lost.Unknown
	}
	var status *backoffice.StatusError
	return !errors.As(err, &status) || status.Status >= http.StatusInternalServerError
}

// await waits for the revision and returns what the fold made of the change.
func (a *Applier) await(ctx context.Context, id string, r catalogue.Revision) (catalogue.ChangeResult, error) {
	if err := a.Wait(ctx, r); err != nil {
		return catalogue.ChangeResult{}, &UnsettledError{ID: id, Cause: err}
	}
	res, known := a.State().Result(id)
	if !known {
		return res, &UnsettledError{ID: id, Cause: &ReplacedError{Revision: a.State().Revision, End: int64(r)}}
	}
	return res, nil
}

// settle looks for a change whose answer was lost.
func (a *Applier) settle(ctx context.Context, id string) (catalogue.ChangeResult, bool) {
	for range settleTries {
		if res, known := a.State().Result(id); known {
			return res, true
		}
		if clock.Sleep(ctx, a.Common.Clock, settlePeriod) != nil {
			break
		}
	}
	return a.State().Result(id)
}

// receipt waits for a majority of the members to hold the change.
func (a *Applier) receipt(ctx context.Context, res catalogue.ChangeResult) catalogue.Receipt {
	r := catalogue.Receipt{ID: res.ID, Revision: res.Revision, Why: res.Refused, State: catalogue.ChangeRefused}
	if res.Refused != "" {
		return r
	}
	until := a.Common.Clock.Now() + acceptWait
	for {
		have, missing := a.Holders(res.Revision)
		r.Missing = missing
		if 2*have > have+len(missing) {
			r.State = catalogue.ChangeAccepted
			return r
		}
		r.State = catalogue.ChangeRecorded
		if a.Common.Clock.Now() >= until || clock.Sleep(ctx, a.Common.Clock, acceptPeriod) != nil {
			return r
		}
	}
}
