package catalogue

import (
	"encoding/json"
	"maps"
	"slices"
)

// historyLimit bounds the change results that a state keeps, and so how late a duplicate change is noticed.
const historyLimit = 4096

// State is the configuration as of a revision. It is never changed once published; Fold returns a new one.
type State struct {
	Revision   Revision
	Workspaces map[string]*Workspace
	Profiles   map[string]*Profile
	Versions   map[VersionID]*Version
	Rollouts   map[string]*Rollout
	Zones      map[string]*Zone
	Upstreams  map[string]*UpstreamRule
	Services   map[string]*Service
	// Objects holds the revision of the last change to each object, by "Kind/Name".
	Objects map[string]Revision
	// History holds the results of the latest changes, oldest first.
	History []ChangeResult
}

// NewState returns the empty configuration at revision 0.
func NewState() *State {
	return &State{
		Workspaces: map[string]*Workspace{},
		Profiles:   map[string]*Profile{},
		Versions:   map[VersionID]*Version{},
		Rollouts:   map[string]*Rollout{},
		Zones:      map[string]*Zone{},
		Upstreams:  map[string]*UpstreamRule{},
		Services:   map[string]*Service{},
		Objects:    map[string]Revision{},
	}
}

// String returns the key as Kind/Name.
func (k ObjectKey) String() string { return string(k.Kind) + "/" + k.Name }

// ObjectRevision returns the revision of the last change to the object, 0 when it does not exist.
func (s *State) ObjectRevision(k ObjectKey) Revision { return s.Objects[k.String()] }

// Result returns what became of the change with the id, and whether it is known.
func (s *State) Result(id string) (ChangeResult, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].ID == id {
			return s.History[i], true
		}
	}
	return ChangeResult{}, false
}

// ZoneOut tells whether operators have taken the zone out.
func (s *State) ZoneOut(name string) bool {
	z := s.Zones[name]
	return z != nil && z.Out
}

func (s *State) clone() *State {
	c := *s
	c.Workspaces = maps.Clone(s.Workspaces)
	c.Profiles = maps.Clone(s.Profiles)
	c.Versions = maps.Clone(s.Versions)
	c.Rollouts = maps.Clone(s.Rollouts)
	c.Zones = maps.Clone(s.Zones)
	c.Upstreams = maps.Clone(s.Upstreams)
	c.Services = maps.Clone(s.Services)
	c.Objects = maps.Clone(s.Objects)
	c.History = slices.Clone(s.History)
	return &c
}

// Fold returns the state after the record at the revision; s itself stays as it is.
// A record at or before s.Revision changes nothing, so that no state ever reverts.
func (s *State) Fold(at Revision, r *Record) *State {
	if at <= s.Revision {
		return s
	}
	c := s.clone()
	c.Revision = at
	if r == nil || r.Change == nil {
		return c
	}
	c.foldChange(at, r.Change)
	return c
}

func (s *State) foldChange(at Revision, ch *Change) {
	if _, known := s.Result(ch.ID); known {
		return
	}
	res := ChangeResult{ID: ch.ID, Revision: at, Author: ch.Author, At: ch.At, Note: ch.Note}
	if err := s.Check(ch); err != nil {
		res.Refused = err.Error()
	} else {
		for i := range ch.Edits {
			s.apply(at, &ch.Edits[i])
		}
	}
	s.History = append(s.History, res)
	if n := len(s.History) - historyLimit; n > 0 {
		s.History = s.History[n:]
	}
}

// Check returns the *ConflictError or *InvalidError for which the fold would refuse the change.
func (s *State) Check(ch *Change) error {
	if ch.ID == "" {
		return &InvalidError{Field: "ID", Want: "a unique id"}
	}
	for i := range ch.Edits {
		e := &ch.Edits[i]
		k := ObjectKey{Kind: e.Kind, Name: e.Name}
		if now := s.ObjectRevision(k); !e.AnyBase && now != e.Base {
			return &ConflictError{Key: k, Base: e.Base, Now: now}
		}
		if err := checkEdit(e); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) apply(at Revision, e *Edit) {
	k := ObjectKey{Kind: e.Kind, Name: e.Name}
	if e.Remove {
		delete(s.Objects, k.String())
	} else {
		s.Objects[k.String()] = at
	}
	switch e.Kind {
	case KindWorkspace:
		put(s.Workspaces, e.Name, e)
	case KindProfile:
		put(s.Profiles, e.Name, e)
	case KindVersion:
		put(s.Versions, VersionID(e.Name), e)
	case KindRollout:
		put(s.Rollouts, e.Name, e)
	case KindZone:
		put(s.Zones, e.Name, e)
	case KindUpstream:
		put(s.Upstreams, e.Name, e)
	case KindService:
		put(s.Services, e.Name, e)
	}
}

// put stores the object of an edit that was checked before.
func put[K comparable, V any](m map[K]*V, name K, e *Edit) {
	if e.Remove {
		delete(m, name)
		return
	}
	v := new(V)
	if err := json.Unmarshal(e.Object, v); err == nil {
		m[name] = v
	}
}
