package desk

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// defaultAuthor stands for an operator who gives no name.
const defaultAuthor = "operator"

// ZoneChange takes an availability zone out or in.
type ZoneChange struct {
	Out  bool
	Note string
}

// VersionChange withdraws a version or puts it back.
type VersionChange struct {
	Withdrawn bool
	Note      string
}

// RolloutChange changes the named fields of a roll-out.
type RolloutChange struct {
	From  *catalogue.VersionID
	To    *catalogue.VersionID
	Share *float64
	Held  *bool
	Note  string
}

// UpstreamChange drains an upstream or puts it back.
type UpstreamChange struct {
	Drained bool
	Note    string
}

func (a *Admin) postChange(w http.ResponseWriter, r *http.Request) error {
	var ch catalogue.Change
	if err := readJSON(w, r, &ch); err != nil {
		return err
	}
	if len(ch.Edits) == 0 {
		return refuseField("Edits", "want at least one edit")
	}
	return a.apply(w, r, &ch)
}

// apply sends the change on and answers 200 for one in force on a majority, 202 for one in the log, 409 for a refused one.
func (a *Admin) apply(w http.ResponseWriter, r *http.Request, ch *catalogue.Change) error {
	if ch.ID == "" {
		ch.ID = uuid.NewString()
	}
	if ch.Author == "" {
		ch.Author = author(r)
	}
	if ch.At == 0 {
		ch.At = a.Clock.Wall()
	}
	receipt, err := a.Operators.Apply(r.Context(), ch)
	if err != nil {
		return errors.Wrapf(err, "change %s", ch.ID)
	}
	a.Log.WithName("admin").Info("change", "id", ch.ID, "author", ch.Author, "state", receipt.State, "revision", receipt.Revision, "why", receipt.Why)
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

func author(r *http.Request) string {
	if v := r.Header.Get(HeaderAuthor); v != "" && isToken(v, maxIDLength) {
		return v
	}
	return defaultAuthor
}

// put sends a change of one object, based on its revision in the snapshot.
func (a *Admin) put(w http.ResponseWriter, r *http.Request, s *catalogue.Snapshot, k catalogue.ObjectKey, v any, note string) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "object")
	}
	return a.apply(w, r, &catalogue.Change{
		Note:  note,
		Edits: []catalogue.Edit{{Kind: k.Kind, Name: k.Name, Base: s.Config.ObjectRevision(k), Object: raw}},
	})
}

func (a *Admin) postZone(w http.ResponseWriter, r *http.Request) error {
	var in ZoneChange
	s, err := a.readObject(w, r, &in)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	if zoneViews(s)[name] == nil {
		return request.Refuse(request.ReasonNotFound, 0, "nothing is listed in availability zone %s", name)
	}
	k := catalogue.ObjectKey{Kind: catalogue.KindZone, Name: name}
	return a.put(w, r, s, k, &catalogue.Zone{Name: name, Out: in.Out}, in.Note)
}

func (a *Admin) postVersion(w http.ResponseWriter, r *http.Request) error {
	var in VersionChange
	s, err := a.readObject(w, r, &in)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	old := s.Config.Versions[catalogue.VersionID(name)]
	if old == nil {
		return request.Refuse(request.ReasonNotFound, 0, "no version %s in the configuration", name)
	}
	v := *old
	v.Withdrawn = in.Withdrawn
	return a.put(w, r, s, catalogue.ObjectKey{Kind: catalogue.KindVersion, Name: name}, &v, in.Note)
}

func (a *Admin) postRollout(w http.ResponseWriter, r *http.Request) error {
	var in RolloutChange
	s, err := a.readObject(w, r, &in)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	v := catalogue.Rollout{Model: name}
	if old := s.Config.Rollouts[name]; old != nil {
		v = *old
	}
	set(&v.From, in.From)
	set(&v.To, in.To)
	set(&v.Share, in.Share)
	set(&v.Held, in.Held)
	if !v.Held {
		v.Evidence = ""
	}
	return a.put(w, r, s, catalogue.ObjectKey{Kind: catalogue.KindRollout, Name: name}, &v, in.Note)
}

func (a *Admin) postUpstream(w http.ResponseWriter, r *http.Request) error {
	var in UpstreamChange
	s, err := a.readObject(w, r, &in)
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	rule := catalogue.UpstreamRule{Name: name}
	if old := s.Config.Upstreams[name]; old != nil {
		rule = *old
	} else if s.Upstream(name) == nil {
		return request.Refuse(request.ReasonNotFound, 0, "no upstream %s on the list", name)
	}
	rule.Drained = in.Drained
	return a.put(w, r, s, catalogue.ObjectKey{Kind: catalogue.KindUpstream, Name: name}, &rule, in.Note)
}

// readObject reads the body and the snapshot that the change is based on.
func (a *Admin) readObject(w http.ResponseWriter, r *http.Request, v any) (*catalogue.Snapshot, error) {
	if err := readJSON(w, r, v); err != nil {
		return nil, err
	}
	return a.snapshot()
}

func set[T any](into *T, v *T) {
	if v != nil {
		*into = *v
	}
}
