package catalogue

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fold returns the state after the record at the revision, without changing s; a record at or before s.Revision has no effect, so
// that a state never reverts.
func (s *State) Fold(at Revision, r *Record) *State {
	if at <= s.Revision {
		return s
	}
	f := s.Folder()
	f.Fold(at, r)
	return f.State()
}

// Folder applies a batch of records with only one copy of the state.
type Folder struct {
	base *State
	next *State
	// historyIDs has the ids of the changes in the history of next. It is built for the second change of a batch; the first one
	// searches the history instead, which is cheaper for a single change.
	historyIDs map[string]bool
	// changeCount counts the changes applied to next.
	changeCount int
}

// Folder returns a Folder that starts from the state and does not change it.
func (s *State) Folder() *Folder { return &Folder{base: s} }

// State returns the state after the records so far, which later calls to Fold and FoldData do not change.
func (f *Folder) State() *State {
	if f.next != nil {
		f.base, f.next = f.next, nil
		f.historyIDs, f.changeCount = nil, 0
	}
	return f.base
}

// Revision returns the revision of the state after the records so far.
func (f *Folder) Revision() Revision {
	if f.next != nil {
		return f.next.Revision
	}
	return f.base.Revision
}

// FoldData decodes and applies a record of the log; one that can't be decoded only advances the revision.
func (f *Folder) FoldData(at Revision, data []byte) {
	if at <= f.Revision() {
		return
	}
	f.Fold(at, DecodeChange(data))
	f.next.Last = xxhash.Sum64(data)
}

// Fold applies a record; one at or before the current revision has no effect, and one without a change only advances the
// revision.
func (f *Folder) Fold(at Revision, r *Record) {
	if at <= f.Revision() {
		return
	}
	if f.next == nil {
		f.next = f.base.clone()
	}
	f.next.Revision = at
	f.next.Last = 0
	if r != nil && r.Change != nil && r.Checkpoint == nil && !f.isDuplicate(r.Change.ID) {
		f.next.foldChange(at, r.Change)
		f.trimHistory()
	}
}

// isDuplicate reports whether the history of next has the change, and adds it to historyIDs.
func (f *Folder) isDuplicate(id string) bool {
	f.changeCount++
	if f.changeCount == 1 {
		_, known := f.next.Result(id)
		return known
	}
	if f.historyIDs == nil {
		f.historyIDs = make(map[string]bool, len(f.next.History))
		for i := range f.next.History {
			f.historyIDs[f.next.History[i].ID] = true
		}
	}
	known := f.historyIDs[id]
	f.historyIDs[id] = true
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
			s.applyEdit(at, &ch.Edits[i])
		}
	}
	s.History = append(s.History, res)
}

// trimHistory drops the oldest result above the limit. It drops the id from historyIDs too, so that the result does not depend
// on the batch size.
func (f *Folder) trimHistory() {
	s := f.next
	if len(s.History) <= historyLimit {
		return
	}
	delete(f.historyIDs, s.History[0].ID)
	s.Floor = s.History[0].Revision
	s.History = s.History[1:]
}
