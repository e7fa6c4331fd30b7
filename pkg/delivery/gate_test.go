package delivery

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// permittingSnapshot returns a snapshot of the present time that permits the test call.
func permittingSnapshot(s *Sender) *catalogue.Snapshot {
	config := catalogue.NewState()
	config.Workspaces["guests"] = &catalogue.Workspace{Name: "guests", Versions: []catalogue.VersionID{testVersion}}
	config.Versions[testVersion] = &catalogue.Version{ID: testVersion}
	config.Zones["arusha-1"] = &catalogue.Zone{Name: "arusha-1"}
	return &catalogue.Snapshot{
		At: s.Clock.Now(), Config: config,
		Upstreams: []*catalogue.Upstream{{Name: "engine-1", Zone: "arusha-1", Versions: []catalogue.VersionID{testVersion}}},
	}
}

// TestP01GateBlocksCallForbiddenWhileConnecting changes the snapshot while the connection is being made, after the upstream
// was selected: no byte may be sent.
func TestP01GateBlocksCallForbiddenWhileConnecting(t *testing.T) {
	for _, c := range []struct {
		name string
		// change modifies the snapshot while the connection is being made; pause is how long connecting takes.
		change func(s *catalogue.Snapshot)
		pause  time.Duration
		want   request.Reason
	}{
		{name: "P01 version no longer allowed for the workspace", want: request.ReasonNoVersion,
			change: func(s *catalogue.Snapshot) { s.Config.Workspaces["guests"].Versions = nil }},
		{name: "P01 workspace removed", want: request.ReasonNoVersion,
			change: func(s *catalogue.Snapshot) { delete(s.Config.Workspaces, "guests") }},
		{name: "P02 version withdrawn", want: request.ReasonNoVersion,
			change: func(s *catalogue.Snapshot) { s.Config.Versions[testVersion].Withdrawn = true }},
		{name: "P06 availability zone taken out", want: request.ReasonNoUpstream,
			change: func(s *catalogue.Snapshot) { s.Config.Zones["arusha-1"].Out = true }},
		{name: "P10 upstream leaving", want: request.ReasonNoUpstream,
			change: func(s *catalogue.Snapshot) { s.Upstreams[0].Leaving = true }},
		{name: "P10 upstream drained", want: request.ReasonNoUpstream,
			change: func(s *catalogue.Snapshot) { s.Upstreams[0].Rule.Drained = true }},
		{name: "P10 upstream no longer listed", want: request.ReasonNoUpstream,
			change: func(s *catalogue.Snapshot) { s.Upstreams = nil }},
		{name: "P12 snapshot too old after a pause of the process", want: request.ReasonStaleView, pause: 6 * time.Second,
			change: func(*catalogue.Snapshot) {}},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			u := &countingUpstream{closeAfter: -1}
			s := newTestSender(nil)
			snap := permittingSnapshot(s)
			s.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				time.Sleep(c.pause)
				c.change(snap)
				return u.dial(ctx, network, address)
			}
			s.Gate = &SnapshotGate{Common: s.Common, Snapshot: func() *catalogue.Snapshot { return snap }}
			var sample request.Sample
			s.Observe = func(m request.Sample) { sample = m }
			r := refusalOf(t, s.Filter(t.Context(), chatCall(s, &recorder{}), nil))
			if r == nil || r.Outcome != request.NotRun || r.Reason != c.want {
				t.Errorf("refusal %v, want NotRun %s", r, c.want)
			}
			if sample.Result != request.ResultCancelled {
				t.Errorf("sample result %s, want Cancelled: the failure must not count against the upstream", sample.Result)
			}
			s.Close()
			synctest.Wait()
			if n := u.bytesRead.Load(); n != 0 {
				t.Errorf("the upstream read %d bytes, want 0", n)
			}
		})
	}
}

func TestP01GatePermitsAllowedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{play: writeAndClose(streamHead + tokenEvent(0, "karibu") + endEvent(1) + doneEvent)}
		s := newTestSender(u.dial)
		snap := permittingSnapshot(s)
		s.Gate = &SnapshotGate{Common: s.Common, Snapshot: func() *catalogue.Snapshot { return snap }}
		if err := s.Filter(t.Context(), chatCall(s, &recorder{}), nil); err != nil {
			t.Error(err)
		}
		s.Close()
	})
}

// TestP09ClaimIsCheckedBeforeFirstByte lets a claim expire while the connection is being made.
func TestP09ClaimIsCheckedBeforeFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &countingUpstream{closeAfter: -1}
		s := newTestSender(func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(time.Second)
			return u.dial(ctx, network, address)
		})
		call := serviceCall(s, &recorder{}, http.MethodPost, false)
		expires := s.Clock.Now() + 500
		call.BeforeSend = func(now clock.Millis) *request.Refusal {
			if now < expires {
				return nil
			}
			return request.Refuse(request.ReasonClaimExpired, 700, "too old")
		}
		r := refusalOf(t, s.Filter(t.Context(), call, nil))
		if r == nil || r.Outcome != request.NotRun || r.Reason != request.ReasonClaimExpired || r.RetryAfter != 700 {
			t.Errorf("refusal %v, want NotRun ClaimExpired", r)
		}
		s.Close()
		synctest.Wait()
		if n := u.bytesRead.Load(); n != 0 {
			t.Errorf("the upstream read %d bytes, want 0", n)
		}
	})
}
