package catalogue

import (
	"bytes"
	"encoding/json"
)

// checkpointPrefix begins each record that EncodeCheckpoint returns.
var checkpointPrefix = []byte(`{"Checkpoint":`)

// IsCheckpoint tells whether a record begins like those of EncodeCheckpoint.
func IsCheckpoint(data []byte) bool { return bytes.HasPrefix(data, checkpointPrefix) }

// EncodeChange returns the record of a change.
func EncodeChange(ch *Change) ([]byte, error) { return json.Marshal(&Record{Change: ch}) }

// EncodeCheckpoint returns the record that carries a state.
func EncodeCheckpoint(s *State) ([]byte, error) {
	return json.Marshal(&Record{Checkpoint: &Checkpoint{State: s}})
}

// DecodeChange returns the record of a change, or nil for every other record and for what can't be read.
func DecodeChange(data []byte) *Record {
	if IsCheckpoint(data) {
		return nil
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil || r.Change == nil || r.Checkpoint != nil {
		return nil
	}
	return &r
}

// DecodeCheckpoint returns the state that a record at the revision carries, or nil when it carries none that can be used.
func DecodeCheckpoint(at Revision, data []byte) *State {
	if !IsCheckpoint(data) {
		return nil
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil || r.Change != nil || r.Checkpoint == nil || r.Checkpoint.State == nil {
		return nil
	}
	s := r.Checkpoint.State
	if s.Revision <= 0 || s.Revision >= at || !s.complete() {
		return nil
	}
	return s
}

// EncodeState returns the state as instances pass it to one another.
func EncodeState(s *State) ([]byte, error) { return json.Marshal(s) }

// DecodeState returns a state that another instance passed on, or an error when it can't be used.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if s.Revision < 0 || !s.complete() {
		return nil, &InvalidError{Field: "State", Want: "a state with all of its maps"}
	}
	return s, nil
}

// complete tells whether the state has all of its maps and no empty object.
func (s *State) complete() bool {
	return s.Objects != nil && full(s.Workspaces) && full(s.Profiles) && full(s.Versions) && full(s.Rollouts) &&
		full(s.Zones) && full(s.Upstreams) && full(s.Services)
}

func full[K comparable, V any](m map[K]*V) bool {
	for _, v := range m {
		if v == nil {
			return false
		}
	}
	return m != nil
}
