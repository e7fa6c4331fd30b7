package standin

import (
	"strings"
	"testing"
)

func TestApplyFaults(t *testing.T) {
	for _, c := range []struct {
		name, raw, wantErr string
		want               ServiceFaults
	}{
		{"one field", `{"Unframed": true}`, "", ServiceFaults{Unframed: true, Bearable: 3}},
		{"a shared field", `{"Down": true}`, "", ServiceFaults{Faults: Faults{Down: true}, Bearable: 3}},
		{"unknown name", `{"Unframed": true, "Unfarmed": true}`, `"Unfarmed"`, ServiceFaults{Bearable: 3}},
		{"two values", `{"Unframed": true}{}`, "more than one", ServiceFaults{Bearable: 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Service
			s.Faults.Update(func(f *ServiceFaults) { f.Bearable = 3 })
			err := s.Faults.Apply([]byte(c.raw))
			if (err != nil) != (c.wantErr != "") || err != nil && !strings.Contains(err.Error(), c.wantErr) {
				t.Errorf("got error %v, want one with %q", err, c.wantErr)
			}
			if got := s.Faults.Get(); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
