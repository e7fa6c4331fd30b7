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
	ran        = func(id string) result { return result{Answer: id, Outcome: request.Ran} }
	replayed   = func(id string) result { return result{Answer: id, Replayed: true, Outcome: request.Ran} }
	notRun     = func(reason request.Reason) result { return result{Outcome: request.NotRun, Reason: reason} }
	mayHaveRun = func(reason request.Reason) result { return result{Outcome: request.MayHaveRun, Reason: reason} }
	background = context.Background()
)

// pair has two instances that have read the log to its end, and a key with the current time.
type pair struct {
	*sim
	a, b *instance
	key  string
}

func (p *pair) submit(i *instance, id string) result { return p.submitPaused(i, id, 0) }

func (p *pair) submitPaused(i *instance, id string, pause int) result {
	return i.submit(background, id, p.key, "for six", i.upstream(upstreamRuns, pause))
}

// submitAsync submits a request in the background and returns a function that waits for its result.
func (p *pair) submitAsync(i *instance, id string, pause int) func() result {
	var wg sync.WaitGroup
	var got result
	wg.Go(func() { got = p.submitPaused(i, id, pause) })
	return func() result {
		wg.Wait()
		return got
	}
}

// submitWithFault submits request r1 to instance a while all its appends fail with f.
func (p *pair) submitWithFault(f fault) result {
	p.a.fault.Store(&f)
	defer p.a.fault.Store(nil)
	return p.submit(p.a, "r1")
}

// submitAndKill submits request r1 to instance a and kills the instance between claim and send.
func (p *pair) submitAndKill() func() result {
	first := p.submitAsync(p.a, "r1", 1000)
	p.sleep(500)
	p.a.kill()
	return first
}

// withPair runs a scenario in a synctest bubble once both instances have read the log to its end.
func withPair(t *testing.T, run func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSim(firstSeed)
		p := &pair{sim: s, a: s.start("a", 1), b: s.start("b", 1)}
		defer stopAll(p.a, p.b)
		s.sleep(2000)
		p.key = s.newKey("table")
		run(t, p)
	})
}

func checkResults(t *testing.T, want []result, got ...result) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results differ (-want +got):\n%s", diff)
	}
}

func TestP09ClaimsUnderFaults(t *testing.T) {
	scenarios := []struct {
		name string
		run  func(p *pair) []result
		want []result
		runs []string
	}{
		{
			name: "duplicate request gets the recorded answer",
			run: func(p *pair) []result {
				first := p.submit(p.a, "r1")
				p.sleep(2000)
				other := p.b.submit(background, "r3", p.key, "for seven", p.b.upstream(upstreamRuns, 0))
				return []result{first, p.submit(p.b, "r2"), other}
			},
			want: []result{ran("r1"), replayed("r1"), notRun(request.ReasonKeyReused)},
			runs: []string{"r1"},
		},
		{
			name: "duplicate request waits for the first one in flight at another instance",
			run: func(p *pair) []result {
				first := p.submitAsync(p.a, "r1", 2000)
				p.sleep(1000)
				return []result{p.submit(p.b, "r2"), first()}
			},
			want: []result{replayed("r1"), ran("r1")},
			runs: []string{"r1"},
		},
		{
			name: "log refuses the claim",
			run: func(p *pair) []result {
				return []result{p.submitWithFault(faultRefused), p.submit(p.b, "r2")}
			},
			want: []result{notRun(request.ReasonLogUnavailable), ran("r2")},
			runs: []string{"r2"},
		},
		{
			name: "response to the append lost after the claim was appended",
			run: func(p *pair) []result {
				return []result{p.submitWithFault(faultAnswerLost), p.submit(p.b, "r2")}
			},
			want: []result{ran("r1"), replayed("r1")},
			runs: []string{"r1"},
		},
		{
			name: "claim appended twice",
			run: func(p *pair) []result {
				return []result{p.submitWithFault(faultDuplicate), p.submit(p.b, "r2")}
			},
			want: []result{ran("r1"), replayed("r1")},
			runs: []string{"r1"},
		},
		{
			name: "claim appended after it was abandoned",
			run: func(p *pair) []result {
				first := p.submitWithFault(faultDelayed)
				p.sleep(20000)
				return []result{first, p.submit(p.b, "r2")}
			},
			want: []result{notRun(request.ReasonLogUnavailable), ran("r2")},
			runs: []string{"r2"},
		},
		{
			name: "holder killed between claim and send",
			run: func(p *pair) []result {
				first := p.submitAndKill()
				return []result{first(), p.submit(p.b, "r2")}
			},
			want: []result{{Dead: true}, mayHaveRun(request.ReasonKeyInUse)},
		},
		{
			name: "holder killed between claim and send and replaced",
			run: func(p *pair) []result {
				first := p.submitAndKill()
				again := p.start("a", 2)
				p.sleep(1000)
				before := p.clk.Now()
				second := p.submit(again, "r2")
				if p.clk.Now() != before {
					second.Reason = "waited for a holder that is known to be dead"
				}
				stopAll(again)
				return []result{first(), second}
			},
			want: []result{{Dead: true}, mayHaveRun(request.ReasonKeyInUse)},
		},
		{
			name: "holder frozen longer than all timeouts and resumed before the send",
			run: func(p *pair) []result {
				first := p.submitAsync(p.a, "r1", 100)
				p.sleep(50)
				frozen := make(chan struct{})
				go func() {
					defer close(frozen)
					p.a.freeze(60000)
				}()
				p.sleep(1000)
				second := p.submit(p.b, "r2")
				<-frozen
				resumed := first()
				p.sleep(2000)
				return []result{second, resumed, p.submit(p.b, "r3")}
			},
			want: []result{mayHaveRun(request.ReasonKeyInUse), notRun(request.ReasonClaimExpired), ran("r3")},
			runs: []string{"r3"},
		},
		{
			name: "request refused by the upstream and retried with the same key",
			run: func(p *pair) []result {
				return []result{p.a.submit(background, "r1", p.key, "for six", p.a.upstream(upstreamRefuses, 0)), p.submit(p.b, "r2")}
			},
			want: []result{notRun(request.ReasonUpstreamRefused), ran("r2")},
			runs: []string{"r2"},
		},
		{
			name: "answer of the upstream lost",
			run: func(p *pair) []result {
				first := p.a.submit(background, "r1", p.key, "for six", p.a.upstream(upstreamRunsAnswerLost, 0))
				p.sleep(1000)
				return []result{first, p.submit(p.b, "r2"), p.submit(p.a, "r3")}
			},
			want: []result{mayHaveRun(request.ReasonUpstreamFailed), mayHaveRun(request.ReasonUpstreamFailed), mayHaveRun(request.ReasonUpstreamFailed)},
			runs: []string{"r1"},
		},
		{
			name: "log unavailable",
			run: func(p *pair) []result {
				first := p.submit(p.a, "r1")
				p.sleep(1000)
				p.setDown(true)
				p.sleep(10000)
				recorded := p.submit(p.b, "r2")
				p.key = p.newKey("rug")
				return []result{first, recorded, p.submit(p.b, "r3")}
			},
			want: []result{ran("r1"), replayed("r1"), notRun(request.ReasonLogUnavailable)},
			runs: []string{"r1"},
		},
		{
			name: "log trimmed and all instances replaced",
			run: func(p *pair) []result {
				first := p.submit(p.a, "r1")
				p.sleep(1000)
				stopAll(p.a, p.b)
				p.trim(0)
				fresh := p.start("a", 2)
				p.sleep(2000)
				second := p.submit(fresh, "r2")
				p.sleep(2 * int(defaultSkew))
				p.key = p.newKey("rug")
				third := p.submit(fresh, "r3")
				stopAll(fresh)
				return []result{first, second, third}
			},
			want: []result{ran("r1"), notRun(request.ReasonKeyTooOld), ran("r3")},
			runs: []string{"r1"},
		},
		{
			name: "instance that has not read the log to its end",
			run: func(p *pair) []result {
				first := p.submit(p.a, "r1")
				fresh := p.start("c", 1)
				early := p.submit(fresh, "r2")
				stopAll(fresh)
				return []result{first, early}
			},
			want: []result{ran("r1"), notRun(request.ReasonLogUnavailable)},
			runs: []string{"r1"},
		},
		{
			name: "log trimmed between claim and decision",
			run: func(p *pair) []result {
				refused := p.a.submit(background, "r0", p.key, "for six", p.a.upstream(upstreamRefuses, 0))
				p.sleep(1000)
				p.b.readFails.Store(true)
				p.sleep(1100)
				first := p.submit(p.a, "r1")
				p.trim(0)
				second := p.submitAsync(p.b, "r2", 0)
				p.sleep(500)
				p.b.readFails.Store(false)
				return []result{refused, first, second()}
			},
			want: []result{notRun(request.ReasonUpstreamRefused), ran("r1"), notRun(request.ReasonKeyTooOld)},
			runs: []string{"r1"},
		},
		{
			name: "log lost its tail",
			run: func(p *pair) []result {
				first := p.submit(p.a, "r1")
				p.sleep(1000)
				p.log.Truncate(StreamName, 0)
				p.sleep(1000)
				recorded := p.submit(p.b, "r2")
				p.key = p.newKey("rug")
				early := p.submit(p.b, "r3")
				p.sleep(2 * int(defaultSkew))
				p.key = p.newKey("lamp")
				return []result{first, recorded, early, p.submit(p.b, "r4")}
			},
			want: []result{ran("r1"), replayed("r1"), notRun(request.ReasonKeyTooOld), ran("r4")},
			runs: []string{"r1"},
		},
		{
			name: "key with a timestamp in the future",
			run: func(p *pair) []result {
				p.key = "99999999999999-table"
				return []result{p.submit(p.a, "r1")}
			},
			want: []result{notRun(request.ReasonKeyTooOld)},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			withPair(t, func(t *testing.T, p *pair) {
				first := p.key
				checkResults(t, sc.want, sc.run(p)...)
				if diff := cmp.Diff(sc.runs, p.runs[first]); diff != "" {
					t.Errorf("requests run by the upstream differ (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestP09CallerDisconnectsAfterSend(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		c := p.a.call("r1", p.key, "for six")
		c.Writer.(*callerWriter).closed = true
		ctx, cancel := context.WithCancel(background)
		first := p.a.submitCall(ctx, c, request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
			if r := c.CheckBeforeSend(p.clk.Now()); r != nil {
				return r
			}
			cancel()
			p.sleep(2000)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return p.a.upstream(upstreamRuns, 0).Handle(ctx, &request.Call{Request: c.Request, Writer: c.Writer})
		}))
		want := []result{{Outcome: request.Ran, Reason: request.ReasonCallerGone}, replayed("r1")}
		checkResults(t, want, first, p.submit(p.b, "r2"))
	})
}

func TestP08LogUnavailableRefusalsJitterRetryAfter(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		p.setDown(true)
		p.sleep(10000)
		retryAfters := map[clock.Millis]bool{}
		for range 50 {
			_, err := p.a.coordinator.Claim(background, p.a.call("r1", p.newKey("table"), "for six"))
			r, ok := err.(*request.Refusal)
			if !ok || r.Outcome != request.NotRun || r.RetryAfter < minRetryAfter || r.RetryAfter >= 2*minRetryAfter {
				t.Fatalf("Claim() error = %v, want a NotRun refusal with RetryAfter in [minRetryAfter, 2*minRetryAfter)", err)
			}
			retryAfters[r.RetryAfter] = true
		}
		if len(retryAfters) < 25 {
			t.Errorf("50 refusals have %d different RetryAfter values, want at least 25", len(retryAfters))
		}
	})
}

func TestP09DuplicateOfLargeAnswerIsRefusedAsRan(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		id := strings.Repeat("r", defaultMaxBytesPerAnswer+1)
		want := []result{ran(id), {Outcome: request.Ran, Reason: request.ReasonAlreadyRan}}
		checkResults(t, want, p.submit(p.a, id), p.submit(p.a, "r2"))
	})
}

func TestP08RefusalAfterPartialAnswerIsMayHaveRun(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		got := p.a.submit(background, "r1", p.key, "for six", request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
			_ = c.Writer.WriteBytes(ctx, c, []byte("half an"))
			return request.Refuse(request.ReasonUpstreamFailed, 0, "broke")
		}))
		checkResults(t, []result{mayHaveRun(request.ReasonUpstreamFailed)}, got)
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

func TestP09KeyKeepsItsStreamAcrossEpochs(t *testing.T) {
	before := []PartitionEpoch{{From: 0, Count: 1}}
	after := []PartitionEpoch{{From: 0, Count: 1}, {From: 5000, Count: 16}}
	used := map[string]bool{}
	for n := range 1000 {
		key, keyAt := digest("key", string(rune(n))), clock.Millis(n*10)
		stream := StreamOf(after, key, keyAt)
		used[stream] = true
		if keyAt < 5000 && stream != StreamOf(before, key, keyAt) {
			t.Errorf("key with timestamp %d moved to stream %s", keyAt, stream)
		}
	}
	got := map[string]bool{}
	for _, name := range Streams(after) {
		got[name] = true
	}
	if diff := cmp.Diff(used, got); diff != "" {
		t.Errorf("streams differ (-used +listed):\n%s", diff)
	}
}
