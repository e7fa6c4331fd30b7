package entry

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/rating"
)

func TestHoldChange(t *testing.T) {
	suspect := &rating.Suspect{Version: "leaf@2", Task: "chat", Evidence: "ratings: 0.4 in place of 0.9"}
	for _, tc := range []struct {
		name    string
		rollout *catalogue.Rollout
		want    *catalogue.Rollout
	}{
		{"no rollout", nil, nil},
		{"to another version", &catalogue.Rollout{Model: "leaf", From: "leaf@1", To: "leaf@3", Share: 0.5}, nil},
		{"already held", &catalogue.Rollout{Model: "leaf", From: "leaf@1", To: "leaf@2", Held: true}, nil},
		{
			"in progress",
			&catalogue.Rollout{Model: "leaf", From: "leaf@1", To: "leaf@2", Share: 0.5},
			&catalogue.Rollout{
				Model: "leaf", From: "leaf@1", To: "leaf@2", Share: 0.5, Held: true,
				Evidence: "chat: ratings: 0.4 in place of 0.9",
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := catalogue.NewState()
			if tc.rollout != nil {
				s.Rollouts["leaf"] = tc.rollout
				s.Objects["Rollout/leaf"] = 7
			}
			ch := holdChange(s, suspect)
			if tc.want == nil {
				if ch != nil {
					t.Fatalf("holdChange() = %+v, want nil", ch)
				}
				return
			}
			if err := s.Check(ch); err != nil {
				t.Fatalf("Check() = %v, want the change to be accepted", err)
			}
			got := &catalogue.Rollout{}
			if err := json.Unmarshal(ch.Edits[0].Object, got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("held rollout (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff("hold-leaf@2-7", ch.ID); diff != "" {
				t.Errorf("change id (-want +got):\n%s", diff)
			}
		})
	}
}
