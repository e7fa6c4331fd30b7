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
	// concurrentPin is the version to which a concurrent request pins the session first, or empty.
	concurrentPin catalogue.VersionID
}

func (p *fakePins) Pinned(context.Context, *request.Call) (catalogue.VersionID, bool) {
	return p.pinned, p.pinned != ""
}

func (p *fakePins) EnsurePin(_ context.Context, _ *request.Call, id catalogue.VersionID) (catalogue.VersionID, string) {
	p.pinned = id
	if p.concurrentPin != "" {
		p.pinned = p.concurrentPin
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

// callerOutput records the answer that the caller received.
type callerOutput struct {
	Pin   string
	Text  string
	Ended bool
}

func (s *callerOutput) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	s.Pin = h.Header.Get(request.PinHeader)
	return nil
}

func (s *callerOutput) WriteChunk(_ context.Context, _ *request.Call, k request.Chunk) error {
	s.Text += k.Text
	return nil
}

func (s *callerOutput) WriteBytes(context.Context, *request.Call, []byte) error { return nil }

func (s *callerOutput) WriteEnd(context.Context, *request.Call, request.End) error {
	s.Ended = true
	return nil
}

// answerWith returns a handler that answers with the version's name and padding, and refuses for the failing version.
func answerWith(failingVersion catalogue.VersionID, padding int) request.HandlerFunc {
	return func(ctx context.Context, c *request.Call) error {
		if c.Version.ID == failingVersion {
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

func TestVersionFilter(t *testing.T) {
	good := fakeRater{score: 0.99}
	for _, tc := range []struct {
		name           string
		session        string
		concurrentPin  catalogue.VersionID
		rater          Rater
		failingVersion catalogue.VersionID
		padding        int
		want           callerOutput
	}{
		{name: "good cheap answer is forwarded", rater: good, want: callerOutput{Text: "model-1@1", Ended: true}},
		{name: "poor cheap answer is dropped", rater: fakeRater{score: 0.01}, want: callerOutput{Text: "model-2@1", Ended: true}},
		{name: "rating service down", rater: fakeRater{err: errors.New("down")}, want: callerOutput{Text: "model-2@1", Ended: true}},
		{name: "first step fails", rater: good, failingVersion: "model-1@1", want: callerOutput{Text: "model-2@1", Ended: true}},
		{
			name: "first answer exceeds the buffer", rater: good, padding: 100,
			want: callerOutput{Text: "model-2@1" + strings.Repeat("x", 100), Ended: true},
		},
		{
			name: "session is pinned", rater: good, session: "s",
			want: callerOutput{Pin: "pin of model-2@1", Text: "model-2@1", Ended: true},
		},
		{
			name: "P03: a concurrent request pinned the session first", rater: good, session: "s", concurrentPin: "model-1@1",
			want: callerOutput{Pin: "pin of model-1@1", Text: "model-1@1", Ended: true},
		},
		{
			name: "P01: a concurrent request pinned the session first, to a version not allowed here", rater: good, session: "s",
			concurrentPin: "model-9@9", want: callerOutput{Pin: "pin of model-9@9", Text: "model-2@1", Ended: true},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := newQuery()
			q.Profile.Quality, q.Profile.Cascade = 0.82, true
			q.Request.Session = tc.session
			q.Snapshot.Upstreams = []*catalogue.Upstream{{Name: "u", Versions: q.Snapshot.Config.Workspaces["desk"].Versions}}
			cfg := settings.Default()
			cfg.Limits.RequestBytes = 64
			f := &VersionFilter{
				Common:   settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewManual(0)},
				Snapshot: func() *catalogue.Snapshot { return q.Snapshot },
				Pins:     &fakePins{concurrentPin: tc.concurrentPin},
				Rater:    tc.rater,
			}
			var got callerOutput
			c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
			if err := f.Filter(context.Background(), c, answerWith(tc.failingVersion, tc.padding)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("caller output (-want +got):\n%s", diff)
			}
		})
	}
}

// newVersionFilter returns a filter on the query's snapshot, to which it adds an upstream for each version.
func newVersionFilter(q *Query, rater Rater) *VersionFilter {
	for id := range q.Snapshot.Config.Versions {
		u := &catalogue.Upstream{Name: "engine of " + string(id), Versions: []catalogue.VersionID{id}}
		q.Snapshot.Upstreams = append(q.Snapshot.Upstreams, u)
	}
	cfg := settings.Default()
	return &VersionFilter{
		Common:   settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewManual(0)},
		Snapshot: func() *catalogue.Snapshot { return q.Snapshot },
		Pins:     &fakePins{},
		Rater:    rater,
	}
}

func TestP02LastCascadeStepIsRechosen(t *testing.T) {
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
			q := newQuery()
			q.Profile.Quality, q.Profile.Cascade = 0.82, true
			q.addRollout("model-2", 1, false)
			f := newVersionFilter(q, fakeRater{score: 0})
			var got callerOutput
			c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &got}
			first := true
			err := f.Filter(context.Background(), c, request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
				err := answerWith("", 0)(ctx, c)
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
				t.Errorf("caller output (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRolloutTargetAnswersAreVerified(t *testing.T) {
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
			q := newQuery()
			q.addRollout("model-1", 1, tc.held)
			q.Request.Session = "s"
			f := newVersionFilter(q, nil)
			f.Pins = &fakePins{pinned: tc.pin}
			var got []backoffice.RateRequest
			f.VerifyAnswer = func(r backoffice.RateRequest) { got = append(got, r) }
			c := &request.Call{Request: q.Request, Profile: q.Profile, Writer: &callerOutput{}}
			if err := f.Filter(context.Background(), c, answerWith("", 0)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("verification requests (-want +got):\n%s", diff)
			}
		})
	}
}
