package pricing

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

type fakePins struct {
	pinned catalogue.VersionID
	// faster is what another request of the session is pinned to meanwhile.
	faster catalogue.VersionID
}

func (p *fakePins) Pinned(context.Context, *request.Call) (catalogue.VersionID, bool) {
	return p.pinned, p.pinned != ""
}

func (p *fakePins) Settle(_ context.Context, _ *request.Call, id catalogue.VersionID) (catalogue.VersionID, string) {
	p.pinned = id
	if p.faster != "" {
		p.pinned = p.faster
	}
	return p.pinned, "pin of " + string(p.pinned)
}

type fakeRater struct {
	score float64
	err   error
}

func (r fakeRater) Rate(context.Context, backoffice.RateRequest) (float64, error) {
	return r.score, r.err
}

// shown is what the caller saw.
type shown struct {
	Pin   string
	Text  string
	Ended bool
}

func (s *shown) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	s.Pin = h.Header.Get(request.PinHeader)
	return nil
}

func (s *shown) WriteChunk(_ context.Context, _ *request.Call, k request.Chunk) error {
	s.Text += k.Text
	return nil
}

func (s *shown) WriteBytes(context.Context, *request.Call, []byte) error { return nil }

func (s *shown) WriteEnd(context.Context, *request.Call, request.End) error {
	s.Ended = true
	return nil
}

// answer answers with the name of the version, and fails for the named one.
func answer(failing catalogue.VersionID, padding int) request.HandlerFunc {
	return func(ctx context.Context, c *request.Call) error {
		if c.Version.ID == failing {
			return request.Refuse(request.ReasonUpstreamFailed, 0, "no connection")
		}
		if err := c.Writer.WriteHead(ctx, c, request.Head{Status: 200}); err != nil {
			return err
		}
		text := string(c.Version.ID) + strings.Repeat("x", padding)
		if err := c.Writer.WriteChunk(ctx, c, request.Chunk{Text: text}); err != nil {
			return err
		}
		return c.Writer.WriteEnd(ctx, c, request.End{})
	}
}

func TestChooseFilter(t *testing.T) {
	good := fakeRater{score: 0.99}
	for _, tc := range []struct {
		name    string
		session string
		faster  catalogue.VersionID
		rater   Rater
		failing catalogue.VersionID
		padding int
		want    shown
	}{
		{name: "good cheap answer is passed on", rater: good, want: shown{Text: "model-1@1", Ended: true}},
		{name: "poor cheap answer is never shown", rater: fakeRater{score: 0.01}, want: shown{Text: "model-2@1", Ended: true}},
		{name: "rating service down", rater: fakeRater{err: errors.New("down")}, want: shown{Text: "model-2@1", Ended: true}},
		{name: "first step fails", rater: good, failing: "model-1@1", want: shown{Text: "model-2@1", Ended: true}},
		{
			name: "first answer outgrows the buffer", rater: good, padding: 100,
			want: shown{Text: "model-2@1" + strings.Repeat("x", 100), Ended: true},
		},
		{
			name: "session is pinned", rater: good, session: "s",
			want: shown{Pin: "pin of model-2@1", Text: "model-2@1", Ended: true},
		},
		{
			name: "P03: another request of the session was faster", rater: good, session: "s", faster: "model-1@1",
			want: shown{Pin: "pin of model-1@1", Text: "model-1@1", Ended: true},
		},
		{
			name: "P01: another request of the session was faster, with a version not allowed here", rater: good, session: "s",
			faster: "model-9@9", want: shown{Pin: "pin of model-9@9", Text: "model-2@1", Ended: true},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := scene()
			q.Profile.Quality, q.Profile.Cascade = 0.82, true
			q.Request.Session = tc.session
			q.Snapshot.Upstreams = []*catalogue.Upstream{{Name: "u", Versions: q.Snapshot.Config.Workspaces["desk"].Versions}}
			cfg := settings.Default()
			cfg.Limits.RequestBytes = 64
			f := &Choose{
				Common:   settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewManual(0)},
				Snapshot: func() *catalogue.Snapshot { return q.Snapshot },
				Pins:     &fakePins{faster: tc.faster},
				Rater:    tc.rater,
			}
			var got shown
			c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
			if err := f.Filter(context.Background(), c, answer(tc.failing, tc.padding)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("shown (-want +got):\n%s", diff)
			}
		})
	}
}

// newChoose returns a filter on the snapshot of the query, with upstreams for all versions.
func newChoose(q *Query, rater Rater) *Choose {
	for id := range q.Snapshot.Config.Versions {
		u := &catalogue.Upstream{Name: "engine of " + string(id), Versions: []catalogue.VersionID{id}}
		q.Snapshot.Upstreams = append(q.Snapshot.Upstreams, u)
	}
	cfg := settings.Default()
	return &Choose{
		Common:   settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewManual(0)},
		Snapshot: func() *catalogue.Snapshot { return q.Snapshot },
		Pins:     &fakePins{},
		Rater:    rater,
	}
}

func TestP02LastStepOfACascadeIsChosenAnew(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(q *Query)
		want   string
	}{
		{"nothing changed", func(*Query) {}, "model-2@2"},
		{"withdrawn", func(q *Query) { q.withdraw("model-2@2") }, "model-2@1"},
		{"held", func(q *Query) { q.Snapshot.Config.Rollouts["model-2"].Held = true }, "model-2@1"},
		{"suspect", func(q *Query) { q.setHealth("model-2@2", catalogue.Health{Suspect: true}) }, "model-2@1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := scene()
			q.Profile.Quality, q.Profile.Cascade = 0.82, true
			q.rollOut("model-2", 1, false)
			f := newChoose(q, fakeRater{score: 0})
			var got shown
			c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
			first := true
			err := f.Filter(context.Background(), c, request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
				err := answer("", 0)(ctx, c)
				if first {
					first = false
					tc.change(q)
				}
				return err
			}))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got.Text); diff != "" {
				t.Errorf("shown (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNewVersionsAreVerified(t *testing.T) {
	for _, tc := range []struct {
		name string
		held bool
		pin  catalogue.VersionID
		want []backoffice.RateRequest
	}{
		{"new version", false, "model-1@2", []backoffice.RateRequest{{RequestID: "r1", Version: "model-1@2", Task: task, Answer: "model-1@2"}}},
		{"old version", false, "model-1@1", nil},
		{"held new version", true, "model-1@2", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := scene()
			q.rollOut("model-1", 1, tc.held)
			q.Request.Session = "s"
			f := newChoose(q, nil)
			f.Pins = &fakePins{pinned: tc.pin}
			var got []backoffice.RateRequest
			f.Verify = func(r backoffice.RateRequest) { got = append(got, r) }
			c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &shown{}}
			if err := f.Filter(context.Background(), c, answer("", 0)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("verified (-want +got):\n%s", diff)
			}
		})
	}
}
