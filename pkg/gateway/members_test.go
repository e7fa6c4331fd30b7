package gateway

import (
	"testing"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Guards against an instance that stays unknown to the others because the store lost its registration.
func TestRegistrationIsWrittenAgainWhenTheStoreLacksIt(t *testing.T) {
	own := MemberRecord{Member: catalogue.Member{Name: "edge-1", Incarnation: 5}}
	earlier := MemberRecord{Member: catalogue.Member{Name: "edge-1", Incarnation: 4}}
	removal := MemberRecord{Member: catalogue.Member{Name: "edge-1"}, Removed: true}
	for _, c := range []struct {
		name       string
		registered bool
		batch      archive.Batch[MemberRecord]
		want       bool
	}{
		{"listed", true, archive.Batch[MemberRecord]{Whole: true, Items: []MemberRecord{own}}, false},
		{"missing", true, archive.Batch[MemberRecord]{Whole: true}, true},
		{"an earlier start is listed", true, archive.Batch[MemberRecord]{Whole: true, Items: []MemberRecord{earlier}}, true},
		{"not registered yet", false, archive.Batch[MemberRecord]{Whole: true}, false},
		{"changes of others", true, archive.Batch[MemberRecord]{}, false},
		{"removed by an earlier start", true, archive.Batch[MemberRecord]{Items: []MemberRecord{own, removal}}, true},
		{"replaced by an earlier start", true, archive.Batch[MemberRecord]{Items: []MemberRecord{own, earlier}}, true},
		{"removed by an earlier start before it registered", true, archive.Batch[MemberRecord]{Items: []MemberRecord{removal, own}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := &Instance{self: own.Member, registered: make(chan struct{}), registrationLost: make(chan struct{}, 1)}
			if c.registered {
				close(in.registered)
			}
			in.checkRegistration(c.batch)
			in.checkRegistration(c.batch)
			if got := len(in.registrationLost) == 1; got != c.want {
				t.Errorf("registers again: %t, want %t", got, c.want)
			}
		})
	}
}
