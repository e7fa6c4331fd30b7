package catalogue

import "encoding/json"

// historyLimit bounds the change results that a state retains, and thereby how late a duplicate change can still be recognized.
const historyLimit = 1024

// State is the configuration as of a revision; it is immutable once published, and Fold returns a new one.
type State struct {
	Revision   Revision
	Workspaces map[string]*Workspace
	Profiles   map[string]*Profile
	Versions   map[VersionID]*Version
	Rollouts   map[string]*Rollout
	Zones      map[string]*Zone
	Upstreams  map[string]*UpstreamRule
	Services   map[string]*Service
	// Objects has the revision of the last change to each object, by "Kind/Name".
	Objects map[string]Revision
	// History has the results of the latest changes, oldest first.
	History []ChangeResult
	// Floor is the revision of the newest change that was dropped from History.
	Floor Revision
	// Last is the xxHash of the record at Revision, by which a replaced log is detected; 0 when the record is not known.
	Last uint64
}

// NewState returns an empty configuration at revision 0.
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

// ObjectRevision returns the revision of the last change to the object, or 0 when it does not exist.
func (s *State) ObjectRevision(k ObjectKey) Revision { return s.Objects[k.String()] }

// Result returns the outcome of the change with the id, and whether the history has it.
func (s *State) Result(id string) (ChangeResult, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].ID == id {
			return s.History[i], true
		}
	}
	return ChangeResult{}, false
}

// ZoneOut reports whether operators have taken the availability zone out of service.
func (s *State) ZoneOut(name string) bool {
	z := s.Zones[name]
	return z != nil && z.Out
}

// Check returns the *ConflictError, *ExpiredError or *InvalidError with which Fold would refuse the change, or nil.
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

func (s *State) applyEdit(at Revision, e *Edit) {
	k := ObjectKey{Kind: e.Kind, Name: e.Name}
	if e.Remove {
		delete(s.Objects, k.String())
	} else {
		s.Objects[k.String()] = at
	}
	switch e.Kind {
	case KindWorkspace:
		storeObject(s.Workspaces, e.Name, e)
	case KindProfile:
		storeObject(s.Profiles, e.Name, e)
	case KindVersion:
		storeObject(s.Versions, VersionID(e.Name), e)
	case KindRollout:
		storeObject(s.Rollouts, e.Name, e)
	case KindZone:
		storeObject(s.Zones, e.Name, e)
	case KindUpstream:
		storeObject(s.Upstreams, e.Name, e)
	case KindService:
		storeObject(s.Services, e.Name, e)
	}
}

// storeObject applies an edit that has passed checkEdit to the map of its kind.
func storeObject[K comparable, V any](m map[K]*V, name K, e *Edit) {
	if e.Remove {
		delete(m, name)
		return
	}
	v := new(V)
	if err := json.Unmarshal(e.Object, v); err == nil {
		m[name] = v
	}
}
