package app

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/trace"
)

const (
	maxRecordedLatency = 10 * 60 * clock.Second
	// significantDigits bounds the relative error of the histograms to 0.1%.
	significantDigits  = 3
	maxIdleConnections = 512
)

// loadGenerator sends a trace to a running instance in an open loop: requests go out at their due times whether or not earlier
// ones were answered, and latencies count from the due times.
type loadGenerator struct {
	trace  *trace.Trace
	target string
	// workspaceKeys has the API keys by workspace name.
	workspaceKeys map[string]string
	speed         float64
	clock         clock.Clock

	mu    sync.Mutex
	stats map[string]*loadStats
}

// loadStats has the results of one profile or service.
type loadStats struct {
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	complete   int
	refused    map[request.Outcome]int
	failed     int
}

// run sends all requests, waits for their answers and returns a report for each profile and service.
func (l *loadGenerator) run(ctx context.Context) []LoadReport {
	l.stats = map[string]*loadStats{}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	defer transport.CloseIdleConnections()
	// The prefix makes request IDs and idempotency keys unique to this run, since the instances remember those of earlier runs.
	prefix := uuid.NewString()[:8] + "-"
	start := l.clock.Now()
	var wg sync.WaitGroup
	for i := range l.trace.Requests {
		q := &l.trace.Requests[i]
		due := start + clock.Millis(float64(q.At)/l.speed)
		if clock.Sleep(ctx, l.clock, due-l.clock.Now()) != nil {
			break
		}
		wg.Go(func() { l.send(ctx, transport, q, prefix+q.ID, due) })
	}
	wg.Wait()
	return l.report()
}

// send sends one request and records its outcome and latency.
func (l *loadGenerator) send(ctx context.Context, transport http.RoundTripper, q *trace.Request, id string, due clock.Millis) {
	ctx, cancel := clock.WithTimeout(ctx, l.clock, q.Deadline+clock.Second)
	defer cancel()
	var firstTokenAt clock.Millis
	outcome := request.Outcome("")
	req, err := l.newRequest(ctx, q, id)
	if err == nil {
		firstTokenAt, outcome, err = l.exchange(transport, req)
	}
	l.recordResult(q, due, firstTokenAt, outcome, err)
}

func (l *loadGenerator) newRequest(ctx context.Context, q *trace.Request, id string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(q.Prompt)
	switch {
	case q.Service == "":
		b, err := json.Marshal(newChatRequest(q.Prompt + strings.Repeat(" word", q.InputTokens)))
		if err != nil {
			return nil, err
		}
		body = b
	case q.Once:
		path = "/services/" + q.Service + "/"
	default:
		method, path = http.MethodGet, "/services/"+q.Service+"/"
	}
	req, err := http.NewRequestWithContext(ctx, method, l.target+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	f := requestFlags{profile: q.Profile, session: q.Session, requestID: id, deadlineMillis: int(q.Deadline), once: q.Once && q.Service == ""}
	if q.Once {
		f.idempotencyKey = id
	}
	f.setHeaders(req.Header, []byte(l.workspaceKeys[q.Workspace]))
	return req, nil
}

// exchange returns the time at which the response began and the outcome of a refusal; a response that fails or ends early is
// an error.
func (l *loadGenerator) exchange(transport http.RoundTripper, req *http.Request) (clock.Millis, request.Outcome, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	began := l.clock.Now()
	if outcome := request.Outcome(resp.Header.Get(desk.HeaderOutcome)); outcome != "" && outcome != request.Ran {
		_, err := io.Copy(io.Discard, resp.Body)
		return 0, outcome, err
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		_, err := io.Copy(io.Discard, resp.Body)
		return began, "", err
	}
	r := delivery.NewEventReader(resp.Body)
	for {
		ev, err := r.Next()
		if err != nil {
			return began, "", err
		}
		if ev.IsEnd() {
			_, err := io.Copy(io.Discard, resp.Body)
			return began, "", err
		}
		if ev.Name == "error" {
			return began, "", replyError(http.StatusOK, ev.Data)
		}
	}
}

func (l *loadGenerator) recordResult(q *trace.Request, due, firstTokenAt clock.Millis, refused request.Outcome, err error) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.statsFor(q.Profile + q.Service)
	switch {
	case err != nil:
		s.failed++
	case refused != "":
		s.refused[refused]++
	default:
		s.complete++
		recordLatency(s.firstToken, firstTokenAt-due)
		recordLatency(s.total, now-due)
	}
}

func (l *loadGenerator) statsFor(name string) *loadStats {
	s := l.stats[name]
	if s == nil {
		s = &loadStats{
			firstToken: hdrhistogram.New(1, int64(maxRecordedLatency), significantDigits),
			total:      hdrhistogram.New(1, int64(maxRecordedLatency), significantDigits),
			refused:    map[request.Outcome]int{},
		}
		l.stats[name] = s
	}
	return s
}

func recordLatency(h *hdrhistogram.Histogram, d clock.Millis) {
	// Longer latencies count as the maximum, since the histogram would reject them.
	_ = h.RecordValue(int64(min(max(d, 1), maxRecordedLatency)))
}

// LoadReport has the results of one profile or service as callers saw them; latencies count from the due time of a request.
type LoadReport struct {
	Kind string
	// Whole counts the complete answers, NotRun, MayHaveRun and Ran the refusals by outcome, and Broken the answers that failed or
	// ended early.
	Whole      int
	NotRun     int
	MayHaveRun int
	Ran        int
	Broken     int
	FirstToken LatencyPercentiles
	Total      LatencyPercentiles
}

// LatencyPercentiles has the latency percentiles of the complete answers, in milliseconds.
type LatencyPercentiles struct {
	P50 int64
	P95 int64
	P99 int64
	Max int64
}

func (l *loadGenerator) report() []LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []LoadReport{}
	for name, s := range l.stats {
		out = append(out, LoadReport{
			Kind: name, Whole: s.complete, Broken: s.failed,
			NotRun: s.refused[request.NotRun], MayHaveRun: s.refused[request.MayHaveRun], Ran: s.refused[request.Ran],
			FirstToken: percentilesOf(s.firstToken), Total: percentilesOf(s.total),
		})
	}
	slices.SortFunc(out, func(a, b LoadReport) int { return strings.Compare(a.Kind, b.Kind) })
	return out
}

func percentilesOf(h *hdrhistogram.Histogram) LatencyPercentiles {
	return LatencyPercentiles{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

var loadHeader = []string{"KIND", "WHOLE", "NOTRUN", "MAYHAVERUN", "RAN", "BROKEN", "FIRST P50/P95/P99/MAX MS", "TOTAL P50/P95/P99/MAX MS"}

func loadRows(reports []LoadReport) [][]string {
	rows := [][]string{}
	for _, r := range reports {
		rows = append(rows, []string{
			r.Kind, strconv.Itoa(r.Whole), strconv.Itoa(r.NotRun), strconv.Itoa(r.MayHaveRun), strconv.Itoa(r.Ran),
			strconv.Itoa(r.Broken), r.FirstToken.format(), r.Total.format(),
		})
	}
	return rows
}

func (p LatencyPercentiles) format() string {
	parts := []string{}
	for _, v := range []int64{p.P50, p.P95, p.P99, p.Max} {
		parts = append(parts, strconv.FormatInt(v, 10))
	}
	return strings.Join(parts, "/")
}
