package catalogue

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func edit(t testing.TB, kind Kind, name string, base Revision, object any) Edit {
	t.Helper()
	raw, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return Edit{Kind: kind, Name: name, Base: base, Object: raw}
}

func zoneEdit(t testing.TB, base Revision, out bool) Edit {
	return edit(t, KindZone, "z", base, Zone{Name: "z", Out: out})
}

func encode(t testing.TB, ch *Change) []byte {
	t.Helper()
	data, err := EncodeChange(ch)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// foldAll applies all records to an empty state, in batches of the given size.
func foldAll(records [][]byte, batch int) *State {
	s := NewState()
	for len(records) > 0 {
		n := min(batch, len(records))
		f := s.Folder()
		for _, r := range records[:n] {
			f.FoldData(f.Revision()+1, r)
		}
		s, records = f.State(), records[n:]
	}
	return s
}

func TestP12FoldRefuses(t *testing.T) {
	removal := Edit{Kind: KindZone, Name: "z", Base: 1, Remove: true}
	tests := []struct {
		name   string
		change Change
		// out says whether zone z is out afterwards, and refused whether the change is refused.
		out, refused bool
	}{
		{name: "current base", change: Change{ID: "b", Edits: []Edit{zoneEdit(t, 1, true)}}, out: true},
		{name: "stale base", change: Change{ID: "b", Edits: []Edit{zoneEdit(t, 0, true)}}, refused: true},
		{name: "duplicate id", change: Change{ID: "a", Edits: []Edit{zoneEdit(t, 1, true)}}},
		{name: "no id", change: Change{Edits: []Edit{zoneEdit(t, 1, true)}}, refused: true},
		{name: "sent at a future revision", change: Change{ID: "b", AsOf: 3, Edits: []Edit{zoneEdit(t, 1, true)}}, refused: true},
		{name: "second edit is stale", change: Change{ID: "b", Edits: []Edit{zoneEdit(t, 1, true), zoneEdit(t, 7, true)}}, refused: true},
		{name: "unknown kind", change: Change{ID: "b", Edits: []Edit{{Kind: "Planet", Name: "z"}}}, refused: true},
		{name: "unknown field", change: Change{ID: "b", Edits: []Edit{edit(t, KindZone, "z", 1, map[string]any{"Name": "z", "Shut": true})}}, refused: true},
		{name: "other name", change: Change{ID: "b", Edits: []Edit{edit(t, KindZone, "z", 1, Zone{Name: "y", Out: true})}}, refused: true},
		{name: "null object", change: Change{ID: "b", Edits: []Edit{edit(t, KindZone, "z", 1, nil)}}, refused: true},
		{name: "no object", change: Change{ID: "b", Edits: []Edit{{Kind: KindZone, Name: "z", Base: 1}}}, refused: true},
		{name: "removal", change: Change{ID: "b", Edits: []Edit{removal}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := encode(t, &Change{ID: "a", Edits: []Edit{zoneEdit(t, 0, false)}})
			s := foldAll([][]byte{first, encode(t, &tt.change)}, 1)
			res, known := s.Result(tt.change.ID)
			if got := known && res.Refused != ""; got != tt.refused {
				t.Errorf("refused = %t (reason %q), want %t", got, res.Refused, tt.refused)
			}
			if got := s.ZoneOut("z"); got != tt.out {
				t.Errorf("ZoneOut() = %t, want %t", got, tt.out)
			}
		})
	}
}

// A change that is appended again after the history has dropped its result can't be recognized by its id; it must be refused by
// its age, not take effect twice.
func TestP12DuplicateBeyondHistory(t *testing.T) {
	late := encode(t, &Change{ID: "late", Edits: []Edit{{Kind: KindZone, Name: "z", AnyBase: true, Object: []byte(`{"Name":"z","Out":true}`)}}})
	f := NewState().Folder()
	f.FoldData(1, late)
	for r := Revision(2); r <= historyLimit+2; r++ {
		out := r%2 == 0
		f.Fold(r, &Record{Change: &Change{ID: fmt.Sprint(r), AsOf: r - 1, Edits: []Edit{zoneEdit(t, r-1, out)}}})
	}
	before := f.State()
	if _, known := before.Result("late"); known {
		t.Fatal("history still has the first change, want it dropped")
	}
	if !before.ZoneOut("z") {
		t.Fatal("ZoneOut() = false before the duplicate, want true")
	}
	f.Fold(historyLimit+3, &Record{Change: &Change{ID: "in", AsOf: historyLimit + 2, Edits: []Edit{zoneEdit(t, historyLimit+2, false)}}})
	f.FoldData(historyLimit+4, late)
	after := f.State()
	if res, _ := after.Result("late"); after.ZoneOut("z") || res.Refused == "" {
		t.Errorf("after the duplicate: ZoneOut() = %t, refused with %q; want false and a reason", after.ZoneOut("z"), res.Refused)
	}
}

// Requests read published states while later changes are folded, so that folding must not modify them.
func TestFoldDoesNotModifyPublishedStates(t *testing.T) {
	var records [][]byte
	for i := range 40 {
		base := Revision(0)
		if i >= 4 {
			base = Revision(i - 3)
		}
		name := fmt.Sprint("z", i%4)
		records = append(records, encode(t, &Change{ID: fmt.Sprint(i), Edits: []Edit{edit(t, KindZone, name, base, Zone{Name: name, Out: i%3 == 0})}}))
	}
	s := foldAll(records[:20], 1)
	copied, err := EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	f := s.Folder()
	for i, r := range records[20:] {
		f.FoldData(Revision(21+i), r)
	}
	kept, err := DecodeState(copied)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(kept, s); diff != "" {
		t.Errorf("published state was modified (-before +after):\n%s", diff)
	}
	for _, batch := range []int{1, 3, 40} {
		if diff := cmp.Diff(f.State(), foldAll(records, batch)); diff != "" {
			t.Errorf("state after one batch of 20 and after batches of %d differ:\n%s", batch, diff)
		}
	}
}

// A checkpoint that is damaged or incomplete must not replace the state.
func TestP12DecodeCheckpointRejectsInvalid(t *testing.T) {
	good := foldAll([][]byte{encode(t, &Change{ID: "a", Edits: []Edit{zoneEdit(t, 0, true)}})}, 1)
	record, err := EncodeCheckpoint(good)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		at     Revision
		data   string
		usable bool
	}{
		{name: "valid", at: 2, data: string(record), usable: true},
		{name: "at its own revision", at: 1, data: string(record)},
		{name: "truncated", at: 2, data: string(record[:len(record)-2])},
		{name: "no state", at: 2, data: `{"Checkpoint":{}}`},
		{name: "no maps", at: 2, data: `{"Checkpoint":{"State":{"Revision":1}}}`},
		{name: "null object", at: 2, data: `{"Checkpoint":{"State":{"Revision":1,"Workspaces":{"w":null},"Profiles":{},"Versions":{},"Rollouts":{},"Zones":{},"Upstreams":{},"Services":{},"Objects":{}}}}`},
		{name: "with a change", at: 2, data: string(record[:len(record)-1]) + `,"Change":{"ID":"x"}}`},
		{name: "a change", at: 2, data: string(encode(t, &Change{ID: "b"}))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := DecodeCheckpoint(tt.at, []byte(tt.data)); (got != nil) != tt.usable {
				t.Errorf("DecodeCheckpoint() = %v, want a state: %t", got, tt.usable)
			}
		})
	}
}

// FuzzFoldData folds arbitrary bytes between two changes: this must not panic, must give the same state in batches of any size,
// and the state must be unchanged by encoding and decoding.
func FuzzFoldData(f *testing.F) {
	f.Add(encode(f, &Change{ID: "b", Edits: []Edit{zoneEdit(f, 1, true)}}))
	f.Add([]byte(`{"Change":{"ID":"b","Edits":[{"Kind":"Workspace","Name":"w","AnyBase":true,"Object":null}]}}`))
	f.Add([]byte(`{"Checkpoint":{"State":{"Revision":1}},"Change":{"ID":"c"}}`))
	f.Add([]byte(`{"change":{"id":"b","edits":[{"kind":"Zone","name":"z","remove":true,"base":1}]}}`))
	f.Add([]byte{0xff, 0, '{'})
	first := encode(f, &Change{ID: "a", Edits: []Edit{zoneEdit(f, 0, false)}})
	last := encode(f, &Change{ID: "z", Edits: []Edit{{Kind: KindZone, Name: "y", AnyBase: true, Object: []byte(`{"Name":"y"}`)}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := foldAll([][]byte{first, data, last}, 1)
		if diff := cmp.Diff(s, foldAll([][]byte{first, data, last}, 3)); diff != "" {
			t.Errorf("states after one batch and after single records differ:\n%s", diff)
		}
		if s.Revision != 3 || s.Zones["y"] == nil {
			t.Errorf("at revision %d, want 3 and the last change in effect", s.Revision)
		}
		raw, err := EncodeState(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeState(raw)
		if err != nil {
			t.Fatal(err)
		}
		if raw2, _ := EncodeState(again); string(raw) != string(raw2) {
			t.Error("state changed by encoding and decoding")
		}
		DecodeCheckpoint(5, data)
	})
}

// Instances read the log in batches of different sizes and must reach the same state, also with more changes than the history
// retains and with duplicates both within and beyond it.
func TestP12BatchSizeDoesNotAffectState(t *testing.T) {
	var records [][]byte
	for i := range 2*historyLimit + 300 {
		id := i
		switch {
		case i%7 == 3:
			id = i - 2
		case i%11 == 5:
			id = max(0, i-historyLimit*3/2)
		case i%13 == 6:
			id = max(0, i-historyLimit)
		}
		name := fmt.Sprint("z", i%5)
		records = append(records, encode(t, &Change{ID: fmt.Sprint(id), AsOf: Revision(i), Edits: []Edit{
			{Kind: KindZone, Name: name, AnyBase: true, Object: []byte(`{"Name":"` + name + `"}`)},
		}}))
	}
	want := foldAll(records, 1)
	if want.Floor == 0 {
		t.Fatal("Floor = 0, want a history that dropped results")
	}
	for _, batch := range []int{2, 100, historyLimit + 5, len(records)} {
		if diff := cmp.Diff(want, foldAll(records, batch)); diff != "" {
			t.Errorf("state with batches of %d (-want +got):\n%s", batch, diff)
		}
	}
}
