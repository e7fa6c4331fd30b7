package reservation

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

var (
	ran        = func(id string) told { return told{Answer: id, Outcome: request.Ran} }
	replayed   = func(id string) told { return told{Answer: id, Replayed: true, Outcome: request.Ran} }
	notRun     = func(why request.Reason) told { return told{Outcome: request.NotRun, Reason: why} }
	mayHaveRun = func(why request.Reason) told { return told{Outcome: request.MayHaveRun, Reason: why} }
	background = context.Background()
)

// pair has two instances that follow the log, and a key of this moment.
type pair struct {
	*sim
	a, b *instance
	key  string
}

func (p *pair) ask(i *instance, id string) told { return p.askPaused(i, id, 0) }

func (p *pair) askPaused(i *instance, id string, pause int) told {
	return i.ask(background, id, p.key, "for six", i.upstream(sendRuns, pause))
}

// later asks in the background and returns a function that waits for what was told.
func (p *pair) later(i *instance, id string, pause int) func() told {
	var wg sync.WaitGroup
	var got told
	wg.Go(func() { got = p.askPaused(i, id, pause) })
	return func() told {
		wg.Wait()
		return got
	}
}

// askFailing asks instance a for r1 while every append of it fails in one way.
func (p *pair) askFailing(f fault) told {
	p.a.fault.Store(&f)
	defer p.a.fault.Store(nil)
	return p.ask(p.a, "r1")
}

// askKilled asks instance a for r1 and kills it between claim and send.
func (p *pair) askKilled() func() told {
	first := p.later(p.a, "r1", 1000)
	p.sleep(500)
	p.a.kill()
	return first
}

// withPair plays in a bubble of fake time, once both instances follow the log.
func withPair(t *testing.T, play func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSim(firstSeed)
		p := &pair{sim: s, a: s.start("a", 1), b: s.start("b", 1)}
		defer stop(p.a, p.b)
		s.sleep(2000)
		p.key = s.keyNow("table")
		play(t, p)
	})
}

func checkTold(t *testing.T, want []told, got ...told) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}

func TestP09ClaimsUnderFaults(t *testing.T) {
	scenarios := []struct {
		name string
		play func(p *pair) []told
		want []told
		runs []string
	}{
		{
			name: "second asker gets the recorded answer",
			play: func(p *pair) []told {
				first := p.ask(p.a, "r1")
				p.sleep(2000)
				other := p.b.ask(background, "r3", p.key, "for seven", p.b.upstream(sendRuns, 0))
				return []told{first, p.ask(p.b, "r2"), other}
			},
			want: []told{ran("r1"), replayed("r1"), notRun(request.ReasonKeyReused)},
			runs: []string{"r1"},
		},
		{
			name: "second asker waits for the one in flight at another instance",
			play: func(p *pair) []told {
				first := p.later(p.a, "r1", 2000)
				p.sleep(1000)
				return []told{p.ask(p.b, "r2"), first()}
			},
			want: []told{replayed("r1"), ran("r1")},
			runs: []string{"r1"},
		},
		{
			name: "claim refused by the log",
			play: func(p *pair) []told {
				return []told{p.askFailing(faultRefused), p.ask(p.b, "r2")}
			},
			want: []told{notRun(request.ReasonLogUnavailable), ran("r2")},
			runs: []string{"r2"},
		},
		{
			name: "claim's answer lost after it took effect",
			play: func(p *pair) []told {
				return []told{p.askFailing(faultAnswerLost), p.ask(p.b, "r2")}
			},
			want: []told{ran("r1"), replayed("r1")},
			runs: []string{"r1"},
		},
		{
			name: "claim appended twice",
			play: func(p *pair) []told {
				return []told{p.askFailing(faultTwice), p.ask(p.b, "r2")}
			},
			want: []told{ran("r1"), replayed("r1")},
			runs: []string{"r1"},
		},
		{
			name: "claim lands after it was given up",
			play: func(p *pair) []told {
				first := p.askFailing(faultLate)
				p.sleep(20000)
				return []told{first, p.ask(p.b, "r2")}
			},
			want: []told{notRun(request.ReasonLogUnavailable), ran("r2")},
			runs: []string{"r2"},
		},
		{
			name: "holder killed between claim and send",
			play: func(p *pair) []told {
				first := p.askKilled()
				return []told{first(), p.ask(p.b, "r2")}
			},
			want: []told{{Dead: true}, mayHaveRun(request.ReasonKeyInUse)},
		},
		{
			name: "holder killed between claim and send and replaced",
			play: func(p *pair) []told {
				first := p.askKilled()
				again := p.start("a", 2)
				p.sleep(1000)
				before := p.clk.Now()
				second := p.ask(again, "r2")
				if p.clk.Now() != before {
					second.Reason = "waited for a holder that is known to be dead"
				}
				stop(again)
				return []told{first(), second}
			},
			want: []told{{Dead: true}, mayHaveRun(request.ReasonKeyInUse)},
		},
		{
			name: "holder frozen past everything and woken before the send",
			play: func(p *pair) []told {
				first := p.later(p.a, "r1", 100)
				p.sleep(50)
				frozen := make(chan struct{})
				go func() {
					defer close(frozen)
					p.a.freeze(60000)
				}()
				p.sleep(1000)
				second := p.ask(p.b, "r2")
				<-frozen
				woken := first()
				p.sleep(2000)
				return []told{second, woken, p.ask(p.b, "r3")}
			},
			want: []told{mayHaveRun(request.ReasonKeyInUse), notRun(request.ReasonClaimExpired), ran("r3")},
			runs: []string{"r3"},
		},
		{
			name: "refused by the upstream, and asked again under the same key",
			play: func(p *pair) []told {
				return []told{p.a.ask(background, "r1", p.key, "for six", p.a.upstream(sendRefusedUnrun, 0)), p.ask(p.b, "r2")}
			},
			want: []told{notRun(request.ReasonUpstreamRefused), ran("r2")},
			runs: []string{"r2"},
		},
		{
			name: "answer of the upstream lost",
			play: func(p *pair) []told {
				first := p.a.ask(background, "r1", p.key, "for six", p.a.upstream(sendRunsAnswerLost, 0))
				p.sleep(1000)
				return []told{first, p.ask(p.b, "r2"), p.ask(p.a, "r3")}
			},
			want: []told{mayHaveRun(request.ReasonUpstreamFailed), mayHaveRun(request.ReasonUpstreamFailed), mayHaveRun(request.ReasonUpstreamFailed)},
			runs: []string{"r1"},
		},
		{
			name: "log down",
			play: func(p *pair) []told {
				first := p.ask(p.a, "r1")
				p.sleep(1000)
				p.setDown(true)
				p.sleep(10000)
				recorded := p.ask(p.b, "r2")
				p.key = p.keyNow("rug")
				return []told{first, recorded, p.ask(p.b, "r3")}
			},
			want: []told{ran("r1"), replayed("r1"), notRun(request.ReasonLogUnavailable)},
			runs: []string{"r1"},
		},
		{
			name: "log trimmed and everybody replaced",
			play: func(p *pair) []told {
				first := p.ask(p.a, "r1")
				p.sleep(1000)
				stop(p.a, p.b)
				p.trim(0)
				fresh := p.start("a", 2)
				p.sleep(2000)
				second := p.ask(fresh, "r2")
				p.sleep(2 * int(defaultSkew))
				p.key = p.keyNow("rug")
				third := p.ask(fresh, "r3")
				stop(fresh)
				return []told{first, second, third}
			},
			want: []told{ran("r1"), notRun(request.ReasonKeyTooOld), ran("r3")},
			runs: []string{"r1"},
		},
		{
			name: "instance that has not read the log to its end",
			play: func(p *pair) []told {
				first := p.ask(p.a, "r1")
				fresh := p.start("c", 1)
				early := p.ask(fresh, "r2")
				stop(fresh)
				return []told{first, early}
			},
			want: []told{ran("r1"), notRun(request.ReasonLogUnavailable)},
			runs: []string{"r1"},
		},
		{
			name: "log trimmed between claim and verdict",
			play: func(p *pair) []told {
				unrun := p.a.ask(background, "r0", p.key, "for six", p.a.upstream(sendRefusedUnrun, 0))
				p.sleep(1000)
				p.b.deaf.Store(true)
				p.sleep(1100)
				first := p.ask(p.a, "r1")
				p.trim(0)
				second := p.later(p.b, "r2", 0)
				p.sleep(500)
				p.b.deaf.Store(false)
				return []told{unrun, first, second()}
			},
			want: []told{notRun(request.ReasonUpstreamRefused), ran("r1"), notRun(request.ReasonKeyTooOld)},
			runs: []string{"r1"},
		},
		{
			name: "log lost its tail",
			play: func(p *pair) []told {
				first := p.ask(p.a, "r1")
				p.sleep(1000)
				p.log.Truncate(StreamName, 0)
				p.sleep(1000)
				recorded := p.ask(p.b, "r2")
				p.key = p.keyNow("rug")
				early := p.ask(p.b, "r3")
				p.sleep(2 * int(defaultSkew))
				p.key = p.keyNow("lamp")
				return []told{first, recorded, early, p.ask(p.b, "r4")}
			},
			want: []told{ran("r1"), replayed("r1"), notRun(request.ReasonKeyTooOld), ran("r4")},
			runs: []string{"r1"},
		},
		{
			name: "key of the future",
			play: func(p *pair) []told {
				p.key = "99999999999999-table"
				return []told{p.ask(p.a, "r1")}
			},
			want: []told{notRun(request.ReasonKeyTooOld)},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			withPair(t, func(t *testing.T, p *pair) {
				first := p.key
				checkTold(t, sc.want, sc.play(p)...)
				if diff := cmp.Diff(sc.runs, p.runs[first]); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestP09CallerGoneAfterTheSend(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		c := p.a.call("r1", p.key, "for six")
		c.Writer.(*page).gone = true
		ctx, leave := context.WithCancel(background)
		first := p.a.askCall(ctx, c, request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
			if r := c.MaySend(p.clk.Now()); r != nil {
				return r
			}
			leave()
			p.sleep(2000)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return p.a.upstream(sendRuns, 0).Handle(ctx, &request.Call{Request: c.Request, Writer: c.Writer})
		}))
		want := []told{{Outcome: request.Ran, Reason: request.ReasonCallerGone}, replayed("r1")}
		checkTold(t, want, first, p.ask(p.b, "r2"))
	})
}

func TestP08LogDownRefusalsSpreadTheirReturn(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		p.setDown(true)
		p.sleep(10000)
		times := map[clock.Millis]bool{}
		for range 50 {
			_, err := p.a.book.Claim(background, p.a.call("r1", p.keyNow("table"), "for six"))
			r, ok := err.(*request.Refusal)
			if !ok || r.Outcome != request.NotRun || r.RetryAfter < retryBase || r.RetryAfter >= 2*retryBase {
				t.Fatalf("refusal is %v", err)
			}
			times[r.RetryAfter] = true
		}
		if len(times) < 25 {
			t.Errorf("50 refusals name %d times to return", len(times))
		}
	})
}

func TestP09LargeAnswerIsToldAsRan(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		id := strings.Repeat("r", defaultAnswerLimit+1)
		want := []told{ran(id), {Outcome: request.Ran, Reason: request.ReasonAlreadyRan}}
		checkTold(t, want, p.ask(p.a, id), p.ask(p.a, "r2"))
	})
}

func TestP08BegunAnswerIsNotToldAsNotRun(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		got := p.a.ask(background, "r1", p.key, "for six", request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
			_ = c.Writer.WriteBytes(ctx, c, []byte("half an"))
			return request.Refuse(request.ReasonUpstreamFailed, 0, "broke")
		}))
		checkTold(t, []told{mayHaveRun(request.ReasonUpstreamFailed)}, got)
	})
}

func TestP09KeyTime(t *testing.T) {
	for _, sc := range []struct {
		key  string
		want clock.Millis
		ok   bool
	}{
		{key: "1796243523000-table-7", want: 1796243523000, ok: true},
		{key: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", want: 1645557742000, ok: true},
		{key: "919108f7-52d1-4320-9bac-f847db4148a8"},
		{key: "1796243523000"},
		{key: "1796243523000-"},
		{key: "-5-table"},
		{key: "table"},
	} {
		if got, ok := KeyTime(sc.key); got != sc.want || ok != sc.ok {
			t.Errorf("KeyTime(%q) = %d, %v, want %d, %v", sc.key, got, ok, sc.want, sc.ok)
		}
	}
}

func TestP09KeyStaysInItsStream(t *testing.T) {
	before := []Era{{From: 0, Count: 1}}
	after := []Era{{From: 0, Count: 1}, {From: 5000, Count: 16}}
	used := map[string]bool{}
	for n := range 1000 {
		key, keyAt := digest("key", string(rune(n))), clock.Millis(n*10)
		stream := StreamOf(after, key, keyAt)
		used[stream] = true
		if keyAt < 5000 && stream != StreamOf(before, key, keyAt) {
			t.Errorf("key of %d moves to %s", keyAt, stream)
		}
	}
	got := map[string]bool{}
	for _, name := range Streams(after) {
		got[name] = true
	}
	if diff := cmp.Diff(used, got); diff != "" {
		t.Errorf("streams (-used +listed):\n%s", diff)
	}
}
