package desk

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// defaultAuthor is recorded for a change without a valid author header.
const defaultAuthor = "operator"

// ZoneChange is a request body that takes an availability zone out of service or puts it back.
type ZoneChange struct {
	Out  bool
	Note string
}

// VersionChange is a request body that withdraws a version or reinstates it.
type VersionChange struct {
	Withdrawn bool
	Note      string
}

// RolloutChange is a request body that changes a rollout; nil fields keep their value.
type RolloutChange struct {
	From  *catalogue.VersionID
	To    *catalogue.VersionID
	Share *float64
	Held  *bool
	Note  string
}

// UpstreamChange is a request body that drains an upstream or puts it back into service.
type UpstreamChange struct {
	Drained bool
	Note    string
}

func (a *AdminHandler) postChange(w http.ResponseWriter, r *http.Request) error {
	var ch catalogue.Change
	if err := readJSON(w, r, &ch); err != nil {
		return err
	}
	if len(ch.Edits) == 0 {
		return refuseField("Edits", "want at least one edit")
	}
	return a.apply(w, r, &ch)
}

// apply applies the change and responds with 200 when a majority of the instances holds it, 202 when it is only in the log,
// or 409 when it was refused.
func (a *AdminHandler) apply(w http.ResponseWriter, r *http.Request, ch *catalogue.Change) error {
	if ch.ID == "" {
		ch.ID = uuid.NewString()
	}
	if ch.Author == "" {
		ch.Author = changeAuthor(r)
	}
	if ch.At == 0 {
		ch.At = a.Clock.Wall()
	}
	receipt, err := a.Operators.Apply(r.Context(), ch)
	if err != nil {
		return errors.Wrapf(err, "change %s", ch.ID)
	}
	a.Log.WithName("admin").Info("processed change", "id", ch.ID, "author", ch.Author, "state", receipt.State, "revision", receipt.Revision, "reason", receipt.Why)
	writeJSON(w, receiptStatus(receipt.State), receipt)
	return nil
}

func receiptStatus(s catalogue.ReceiptState) int {
	switch s {
	case catalogue.ChangeAccepted:
		return http.StatusOK
	case catalogue.ChangeRecorded:
		return http.StatusAccepted
	default:
		return http.StatusConflict
	}
}

func changeAuthor(r *http.Request) string {
	if v := r.Header.Get(HeaderAuthor); v != "" && isToken(v, maxIDLength) {
		return v
	}
	return defaultAuthor
}

// applyObject applies a change of one object, based on its revision in the snapshot.
func (a *AdminHandler) applyObject(w http.ResponseWriter, r *http.Request, s *catalogue.Snapshot, k catalogue.ObjectKey, v any, note string) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "object")
	}
	return a.apply(w, r, &catalogue.Change{
		Note:  note,
		Edits: []catalogue.Edit{{Kind: k.Kind, Name: k.Name, Base: s.Config.ObjectRevision(k), Object: raw}},
	})
}

func (a *AdminHandler) postZone(w http.ResponseWriter, r *http.Request) error {
	var body ZoneChange
	s, err := a.readObjectChange(w, r, &body)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	if zoneViews(s)[name] == nil {
		return request.Refuse(request.ReasonNotFound, 0, "nothing is listed in availability zone %s", name)
	}
	k := catalogue.ObjectKey{Kind: catalogue.KindZone, Name: name}
	return a.applyObject(w, r, s, k, &catalogue.Zone{Name: name, Out: body.Out}, body.Note)
}

func (a *AdminHandler) postVersion(w http.ResponseWriter, r *http.Request) error {
	var body VersionChange
	s, err := a.readObjectChange(w, r, &body)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	current := s.Config.Versions[catalogue.VersionID(name)]
	if current == nil {
		return request.Refuse(request.ReasonNotFound, 0, "no version %s in the configuration", name)
	}
	v := *current
	v.Withdrawn = body.Withdrawn
	return a.applyObject(w, r, s, catalogue.ObjectKey{Kind: catalogue.KindVersion, Name: name}, &v, body.Note)
}

func (a *AdminHandler) postRollout(w http.ResponseWriter, r *http.Request) error {
	var body RolloutChange
	s, err := a.readObjectChange(w, r, &body)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	v := catalogue.Rollout{Model: name}
	if current := s.Config.Rollouts[name]; current != nil {
		v = *current
	}
	assignIfSet(&v.From, body.From)
	assignIfSet(&v.To, body.To)
	assignIfSet(&v.Share, body.Share)
	assignIfSet(&v.Held, body.Held)
	if !v.Held {
		v.Evidence = ""
	}
	return a.applyObject(w, r, s, catalogue.ObjectKey{Kind: catalogue.KindRollout, Name: name}, &v, body.Note)
}

func (a *AdminHandler) postUpstream(w http.ResponseWriter, r *http.Request) error {
	var body UpstreamChange
	s, err := a.readObjectChange(w, r, &body)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	rule := catalogue.UpstreamRule{Name: name}
	if current := s.Config.Upstreams[name]; current != nil {
		rule = *current
	} else if s.Upstream(name) == nil {
		return request.Refuse(request.ReasonNotFound, 0, "no upstream %s on the list", name)
	}
	rule.Drained = body.Drained
	return a.applyObject(w, r, s, catalogue.ObjectKey{Kind: catalogue.KindUpstream, Name: name}, &rule, body.Note)
}

// readObjectChange decodes the body into v and returns the snapshot that the change is based on.
func (a *AdminHandler) readObjectChange(w http.ResponseWriter, r *http.Request, v any) (*catalogue.Snapshot, error) {
	if err := readJSON(w, r, v); err != nil {
		return nil, err
	}
	return a.snapshot()
}

func assignIfSet[T any](dst *T, v *T) {
	if v != nil {
		*dst = *v
	}
}
