package gateway

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// The view changes between the choice of an upstream and the first byte to it.
func TestRecheckRefusesWhatTheViewNoLongerAllows(t *testing.T) {
	const bound = 5 * clock.Second
	for _, c := range []struct {
		name   string
		change func(v *View)
		notice request.Notice
		age    clock.Millis
		want   request.Reason
	}{
		{"nothing changes", nil, request.Notice{}, 0, ""},
		{"upstream started again", func(v *View) { v.ApplyListings(listing(2, false), 0) }, request.Notice{}, 0, request.ReasonUpstreamRefused},
		{"upstream is leaving", func(v *View) { v.ApplyListings(listing(1, true), 0) }, request.Notice{}, 0, request.ReasonUpstreamRefused},
		{"upstream is gone", func(v *View) { v.ApplyListings(removedListing(), 0) }, request.Notice{}, 0, request.ReasonUpstreamRefused},
		{"zone is out", func(v *View) {
			v.ApplyOperations(operations(false, catalogue.Operation{Kind: catalogue.OperationZoneOut, Zone: "z"}), 0)
		}, request.Notice{}, 0, request.ReasonUpstreamRefused},
		{"upstream says that it leaves", nil, request.Notice{Leaving: true}, 0, request.ReasonUpstreamRefused},
		{"upstream names a time to come back", nil, request.Notice{PauseFor: 3000}, 2999, request.ReasonUpstreamRefused},
		{"that time has passed", nil, request.Notice{PauseFor: 3000}, 3000, ""},
		{"key is revoked", func(v *View) { v.ApplyOperations(keyTable(2), 0) }, request.Notice{}, 0, request.ReasonUnauthorized},
		{"view is nearly too old for the key", nil, request.Notice{}, bound - keyAgeMargin, ""},
		{"view is too old for the key", nil, request.Notice{}, bound - keyAgeMargin + 1, request.ReasonStaleView},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, e := clock.NewManual(100_000), settings.DefaultEntry()
			e.Bounds.Revocation = bound
			control := &Control{Clock: m, Log: logr.Discard(), loaded: make(chan struct{})}
			in := &Instance{Settings: &e, Clock: m, control: control, notices: &dispatch.Notices{Log: logr.Discard()}}
			control.view.ApplyOperations(operations(true), 0)
			control.view.ApplyOperations(keyTable(1, "key"), 0)
			control.view.ApplyListings(listing(1, false), 0)
			control.publish()
			control.currentAt.Store(int64(m.Now()))
			call := &request.Call{
				Request: &request.Request{Credential: "key"}, Route: &catalogue.Route{}, Upstream: control.Snapshot().Upstreams[0],
			}
			if c.change != nil {
				c.change(&control.view)
				control.publish()
			}
			in.notices.Observe(call.Upstream, c.notice, m.Now())
			m.Advance(c.age)
			got := request.Reason("")
			var r *request.Refusal
			if errors.As(in.recheck(call), &r) {
				got = r.Reason
			}
			if got != c.want {
				t.Errorf("recheck() refused with %q, want %q", got, c.want)
			}
		})
	}
}

// listing returns an upstream of the service desk in zone z.
func listing(incarnation int64, leaving bool) archive.Batch[catalogue.Listing] {
	u := &catalogue.Upstream{Name: "u1", Service: "desk", Zone: "z", Incarnation: incarnation, Leaving: leaving}
	return archive.Batch[catalogue.Listing]{Items: []catalogue.Listing{{Name: "u1", Upstream: u}}}
}

func removedListing() archive.Batch[catalogue.Listing] {
	return archive.Batch[catalogue.Listing]{Items: []catalogue.Listing{{Name: "u1", Removed: true}}}
}

// keyTable returns a configuration with these keys of one workspace.
func keyTable(version int64, keys ...string) archive.Batch[catalogue.Operation] {
	t := &catalogue.RouteTable{Version: version, Keys: map[string]catalogue.KeyHolder{}}
	for _, key := range keys {
		t.Keys[key] = catalogue.KeyHolder{Workspace: "house"}
	}
	return operations(false, catalogue.Operation{Kind: catalogue.OperationTable, Table: t})
}
