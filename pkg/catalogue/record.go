package catalogue

import (
	"bytes"
	"encoding/json"
)

// checkpointPrefix is the start of each record that EncodeCheckpoint returns.
var checkpointPrefix = []byte(`{"Checkpoint":`)

// IsCheckpoint reports whether a record starts like those of EncodeCheckpoint, without decoding it.
func IsCheckpoint(data []byte) bool { return bytes.HasPrefix(data, checkpointPrefix) }

// EncodeChange returns the encoded log record of a change.
func EncodeChange(ch *Change) ([]byte, error) { return json.Marshal(&Record{Change: ch}) }

// EncodeCheckpoint returns the encoded log record of a checkpoint with the state.
func EncodeCheckpoint(s *State) ([]byte, error) {
	return json.Marshal(&Record{Checkpoint: &Checkpoint{State: s}})
}

// DecodeChange returns the record of a change, or nil for any other record and for data that can't be decoded.
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

// DecodeCheckpoint returns the state in the checkpoint record at the revision, or nil when it is no checkpoint, is incomplete or
// its state is not from before that revision.
func DecodeCheckpoint(at Revision, data []byte) *State {
	if !IsCheckpoint(data) {
		return nil
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil || r.Change != nil || r.Checkpoint == nil || r.Checkpoint.State == nil {
		return nil
	}
	s := r.Checkpoint.State
	if s.Revision <= 0 || s.Revision >= at || !s.isComplete() {
		return nil
	}
	return s
}

// EncodeState encodes the state for transfer to another instance.
func EncodeState(s *State) ([]byte, error) { return json.Marshal(s) }

// DecodeState decodes a state received from another instance, and fails when it is malformed or incomplete.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if s.Revision < 0 || !s.isComplete() {
		return nil, &InvalidError{Field: "State", Want: "a state with all of its maps"}
	}
	return s, nil
}

// isComplete reports whether the state has all of its maps and no nil object.
func (s *State) isComplete() bool {
	return s.Objects != nil && hasNoNil(s.Workspaces) && hasNoNil(s.Profiles) && hasNoNil(s.Versions) && hasNoNil(s.Rollouts) &&
		hasNoNil(s.Zones) && hasNoNil(s.Upstreams) && hasNoNil(s.Services)
}

func hasNoNil[K comparable, V any](m map[K]*V) bool {
	for _, v := range m {
		if v == nil {
			return false
		}
	}
	return m != nil
}
