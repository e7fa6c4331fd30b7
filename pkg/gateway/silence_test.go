package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// silentOnce returns a script in which u1 is silent during its first answer, and the others decline for a while.
func silentOnce(silentAfter int, silence, busy time.Duration, start func() time.Time) script {
	return func(upstream string, n int, conn net.Conn, req *http.Request) {
		switch {
		case n == 1:
			serveEvents(conn, req, 90, silentAfter, silence)
		case upstream != "u1" && time.Since(start()) < busy:
			decline(conn)
		default:
			serveEvents(conn, req, 90, 0, 0)
		}
	}
}

// A sound upstream is silent for a second or two while the others are full: its answer was given up for a retry that nobody took.
func TestSilentUpstreamLosesNoAnswer(t *testing.T) {
	const sound, long = 1900 * time.Millisecond, 4500 * time.Millisecond
	impatient := catalogue.Route{Streaming: true, Resumable: true, MaxAttempts: 3, Target: 300, GapTarget: 100}
	for _, c := range []struct {
		name        string
		route       catalogue.Route
		silentAfter int
		silence     time.Duration
		busy        time.Duration
	}{
		{"stream pauses, others are full", resumableStream, 3, sound, time.Hour},
		{"stream pauses, others are busy for a while", resumableStream, 3, sound, 3 * time.Second},
		{"stream pauses for longer than streams may, others are full", resumableStream, 3, long, time.Hour},
		{"stream pauses for longer than streams may, others are busy for a while", resumableStream, 3, long, 6 * time.Second},
		{"stream of impatient callers pauses, others are full", impatient, 3, sound, time.Hour},
		{"stream begins late, others are full", resumableStream, 0, sound, time.Hour},
		{"stream begins late, others are busy for a while", resumableStream, 0, sound, 3 * time.Second},
		{"lookup is answered late, others are full", lookupRoute, 0, sound, time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var x *scriptedChain
				x = newScriptedChain(c.route, fourUpstreams, silentOnce(c.silentAfter, c.silence, c.busy, func() time.Time { return x.start }))
				took, err := x.handle(t.Context(), c.silence)
				x.expectWhole(t, took, err)
			})
		})
	}
}

// All upstreams are silent at once in the middle of their streams.
func TestSilenceEverywhereLosesNoAnswer(t *testing.T) {
	for _, silence := range []time.Duration{1900 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newScriptedChain(resumableStream, fourUpstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
					serveEvents(conn, req, 90, min(2+n, 4), silence)
				})
				took, err := x.handle(t.Context(), silence)
				x.expectWhole(t, took, err)
			})
		})
	}
}

// A stream was taken from a sound upstream that was silent for less time than the callers wait.
func TestSilentStreamStaysAtItsUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   catalogue.Route
		silence time.Duration
		runs    int
	}{
		{"shorter than half of the callers' patience", catalogue.Route{Target: 2000, GapTarget: 1000}, 3900 * time.Millisecond, 1},
		{"longer than half of it", catalogue.Route{Target: 2000, GapTarget: 1000}, 4100 * time.Millisecond, 2},
		{"patience of the shortest pauses", catalogue.Route{Target: 300, GapTarget: 100}, 1600 * time.Millisecond, 1},
		{"about to be abandoned", catalogue.Route{Target: 300, GapTarget: 100}, 1800 * time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.route.Streaming, c.route.Resumable, c.route.MaxAttempts = true, true, 3
				x := newScriptedChain(c.route, fourUpstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
					if n == 1 {
						serveEvents(conn, req, 90, 3, c.silence)
						return
					}
					serveEvents(conn, req, 90, 0, 0)
				})
				took, err := x.handle(t.Context(), c.silence)
				x.expectWhole(t, took, err)
				if x.call.Runs != c.runs {
					t.Errorf("%d runs, want %d", x.call.Runs, c.runs)
				}
			})
		})
	}
}

// An attempt at a silent upstream was aborted although no other upstream was in sight, and the answer lost when its own place was taken.
func TestSilentAttemptIsKeptWithoutAnotherUpstream(t *testing.T) {
	const drainTime = 7300 * time.Millisecond
	for _, c := range []struct {
		name      string
		route     catalogue.Route
		upstreams []string
		avoided   []string
		draining  bool
		after     int
		silence   time.Duration
	}{
		{"only upstream", resumableStream, []string{"u1"}, nil, false, 3, 4500 * time.Millisecond},
		{"others failed just before", resumableStream, fourUpstreams, []string{"u2", "u3", "u4"}, false, 0, 1900 * time.Millisecond},
		{"lookup, others failed just before", lookupRoute, fourUpstreams, []string{"u2", "u3", "u4"}, false, 0, 300 * time.Millisecond},
		{"instance is draining", resumableStream, fourUpstreams, nil, true, 3, 4500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var x *scriptedChain
				x = newScriptedChain(c.route, c.upstreams, func(_ string, n int, conn net.Conn, req *http.Request) {
					if n > 1 {
						decline(conn)
						return
					}
					if c.draining {
						s := *x.snapshot.Load()
						s.Draining = true
						x.snapshot.Store(&s)
					}
					serveEvents(conn, req, 90, c.after, c.silence)
				})
				x.avoided = c.avoided
				ctx, cancel := context.WithTimeout(t.Context(), drainTime)
				defer cancel()
				took, err := x.handle(ctx, c.silence)
				x.expectWhole(t, took, err)
			})
		})
	}
}
