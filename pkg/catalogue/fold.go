package catalogue

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fold returns the state after the record at the revision; s itself stays as it is.
// A record at or before s.Revision changes nothing, so that no state ever reverts.
func (s *State) Fold(at Revision, r *Record) *State {
	if at <= s.Revision {
		return s
	}
	f := s.Folder()
	f.Fold(at, r)
	return f.State()
}

// Folder folds a run of records with one copy of the state.
type Folder struct {
	base *State
	next *State
	// ids has the changes in the history of next; it is made for the second change of a run.
	ids map[string]bool
	// changes counts the changes folded into next.
	changes int
}

// Folder returns a folder that starts from the state, which itself stays as it is.
func (s *State) Folder() *Folder { return &Folder{base: s} }

// State returns the state after the records so far; the folder copies it before it folds another one.
func (f *Folder) State() *State {
	if f.next != nil {
		f.base, f.next = f.next, nil
		f.ids, f.changes = nil, 0
	}
	return f.base
}

// Revision returns the revision of the state so far.
func (f *Folder) Revision() Revision {
	if f.next != nil {
		return f.next.Revision
	}
	return f.base.Revision
}

// FoldData folds a record as it stands in the log; what can't be read counts as a record without effect.
func (f *Folder) FoldData(at Revision, data []byte) {
	if at <= f.Revision() {
		return
	}
	f.Fold(at, DecodeChange(data))
	f.next.Last = xxhash.Sum64(data)
}

// Fold folds a record; one at or before the revision so far changes nothing.
func (f *Folder) Fold(at Revision, r *Record) {
	if at <= f.Revision() {
		return
	}
	if f.next == nil {
		f.next = f.base.clone()
	}
	f.next.Revision = at
	f.next.Last = 0
	if r != nil && r.Change != nil && r.Checkpoint == nil && !f.known(r.Change.ID) {
		f.next.foldChange(at, r.Change)
		f.trim()
	}
}

// known tells whether the history of next has the change, and notes that it will.
func (f *Folder) known(id string) bool {
	f.changes++
	if f.changes == 1 {
		_, known := f.next.Result(id)
		return known
	}
	if f.ids == nil {
		f.ids = make(map[string]bool, len(f.next.History))
		for i := range f.next.History {
			f.ids[f.next.History[i].ID] = true
		}
	}
	known := f.ids[id]
	f.ids[id] = true
	return known
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

func (s *State) foldChange(at Revision, ch *Change) {
	res := ChangeResult{ID: ch.ID, Revision: at, Author: ch.Author, At: ch.At, Note: ch.Note}
	if err := s.Check(ch); err != nil {
		res.Refused = err.Error()
	} else {
		for i := range ch.Edits {
			s.apply(at, &ch.Edits[i])
		}
	}
	s.History = append(s.History, res)
}

// trim drops the oldest result over the limit, also from the known ones, so that the size of a run makes no difference.
func (f *Folder) trim() {
	s := f.next
	if len(s.History) <= historyLimit {
		return
	}
	delete(f.ids, s.History[0].ID)
	s.Floor = s.History[0].Revision
	s.History = s.History[1:]
}
