package catalogue

import "encoding/json"

// historyLimit bounds the change results that a state keeps, and so how late a duplicate change is noticed.
const historyLimit = 1024

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
	// Floor is the revision of the newest change that History no longer has.
	Floor Revision
	// Last is the xxhash of the record at Revision, by which a replaced log is noticed; 0 when no record is known.
	Last uint64
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

// Check returns the *ConflictError, *ExpiredError or *InvalidError for which the fold would refuse the change.
func (s *State) Check(ch *Change) error {
	if ch.ID == "" {
		return &InvalidError{Field: "ID", Want: "a unique id"}
	}
	if ch.AsOf < 0 || ch.AsOf > s.Revision {
		return &InvalidError{Field: "AsOf", Want: "a revision that the log has"}
	}
	if ch.AsOf < s.Floor {
		return &ExpiredError{AsOf: ch.AsOf, Floor: s.Floor}
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
