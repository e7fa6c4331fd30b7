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
	// longestTime bounds the histograms, in milliseconds.
	longestTime = 10 * 60 * clock.Second
	// histogramDigits is how many digits the histograms keep.
	histogramDigits = 3
	// loadConnections bounds the idle connections that the load keeps.
	loadConnections = 512
)

// load sends a trace to a running set. It is an open loop: each request goes out at its time whether or not earlier ones
// were answered, and times count from when a request was due.
type load struct {
	trace  *trace.Trace
	target string
	// keys are the keys of the workspaces by name.
	keys  map[string]string
	speed float64
	clock clock.Clock

	mu    sync.Mutex
	kinds map[string]*loadKind
}

// loadKind counts what callers of one profile or service saw.
type loadKind struct {
	first   *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
	whole   int
	refused map[request.Outcome]int
	broken  int
}

// run sends all requests and returns what was seen, by profile and service.
func (l *load) run(ctx context.Context) []LoadReport {
	l.kinds = map[string]*loadKind{}
	transport := &http.Transport{MaxIdleConnsPerHost: loadConnections}
	defer transport.CloseIdleConnections()
	// Ids and keys are new in each run, since the set remembers them.
	prefix := uuid.NewString()[:8] + "-"
	start := l.clock.Now()
	var all sync.WaitGroup
	for i := range l.trace.Requests {
		q := &l.trace.Requests[i]
		due := start + clock.Millis(float64(q.At)/l.speed)
		if clock.Sleep(ctx, l.clock, due-l.clock.Now()) != nil {
			break
		}
		all.Go(func() { l.send(ctx, transport, q, prefix+q.ID, due) })
	}
	all.Wait()
	return l.report()
}

// send sends one request and notes what its caller sees.
func (l *load) send(ctx context.Context, transport http.RoundTripper, q *trace.Request, id string, due clock.Millis) {
	ctx, cancel := clock.WithTimeout(ctx, l.clock, q.Deadline+clock.Second)
	defer cancel()
	var first clock.Millis
	outcome := request.Outcome("")
	req, err := l.request(ctx, q, id)
	if err == nil {
		first, outcome, err = l.exchange(transport, req)
	}
	l.note(q, due, first, outcome, err)
}

func (l *load) request(ctx context.Context, q *trace.Request, id string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(q.Prompt)
	switch {
	case q.Service == "":
		b, err := json.Marshal(chatOf(q.Prompt + strings.Repeat(" word", q.InputTokens)))
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
	f := requestFlags{profile: q.Profile, session: q.Session, id: id, limit: int(q.Deadline), once: q.Once && q.Service == ""}
	if q.Once {
		f.key = id
	}
	f.setHeaders(req.Header, []byte(l.keys[q.Workspace]))
	return req, nil
}

// exchange returns the time of the first token or byte, and the outcome of a refusal; the error tells of an answer that
// is not whole.
func (l *load) exchange(transport http.RoundTripper, req *http.Request) (clock.Millis, request.Outcome, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	first := l.clock.Now()
	if outcome := request.Outcome(resp.Header.Get(desk.HeaderOutcome)); outcome != "" && outcome != request.Ran {
		_, err := io.Copy(io.Discard, resp.Body)
		return 0, outcome, err
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		_, err := io.Copy(io.Discard, resp.Body)
		return first, "", err
	}
	r := delivery.NewEventReader(resp.Body)
	for {
		ev, err := r.Next()
		if err != nil {
			return first, "", err
		}
		if ev.IsEnd() {
			_, err := io.Copy(io.Discard, resp.Body)
			return first, "", err
		}
		if ev.Name == "error" {
			return first, "", replyError(http.StatusOK, ev.Data)
		}
	}
}

func (l *load) note(q *trace.Request, due, first clock.Millis, refused request.Outcome, err error) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kind(q.Profile + q.Service)
	switch {
	case err != nil:
		k.broken++
	case refused != "":
		k.refused[refused]++
	default:
		k.whole++
		record(k.first, first-due)
		record(k.total, now-due)
	}
}

func (l *load) kind(name string) *loadKind {
	k := l.kinds[name]
	if k == nil {
		k = &loadKind{
			first:   hdrhistogram.New(1, int64(longestTime), histogramDigits),
			total:   hdrhistogram.New(1, int64(longestTime), histogramDigits),
			refused: map[request.Outcome]int{},
		}
		l.kinds[name] = k
	}
	return k
}

func record(h *hdrhistogram.Histogram, d clock.Millis) {
	// A time beyond the bound is counted at the bound.
	_ = h.RecordValue(int64(min(max(d, 1), longestTime)))
}

// LoadReport is what the callers of one profile or service saw; times are in milliseconds from when a request was due.
type LoadReport struct {
	Kind string
	// Whole counts the complete answers, NotRun, MayHaveRun and Ran the refusals, Broken what came to no clean end.
	Whole      int
	NotRun     int
	MayHaveRun int
	Ran        int
	Broken     int
	FirstToken LoadTimes
	Total      LoadTimes
}

// LoadTimes has percentiles of the whole answers, in milliseconds.
type LoadTimes struct {
	P50 int64
	P95 int64
	P99 int64
	Max int64
}

func (l *load) report() []LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []LoadReport{}
	for name, k := range l.kinds {
		out = append(out, LoadReport{
			Kind: name, Whole: k.whole, Broken: k.broken,
			NotRun: k.refused[request.NotRun], MayHaveRun: k.refused[request.MayHaveRun], Ran: k.refused[request.Ran],
			FirstToken: timesOf(k.first), Total: timesOf(k.total),
		})
	}
	slices.SortFunc(out, func(a, b LoadReport) int { return strings.Compare(a.Kind, b.Kind) })
	return out
}

func timesOf(h *hdrhistogram.Histogram) LoadTimes {
	return LoadTimes{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

var loadHead = []string{"KIND", "WHOLE", "NOTRUN", "MAYHAVERUN", "RAN", "BROKEN", "FIRST P50/P95/P99/MAX MS", "TOTAL P50/P95/P99/MAX MS"}

func loadRows(reports []LoadReport) [][]string {
	rows := [][]string{}
	for _, r := range reports {
		rows = append(rows, []string{
			r.Kind, strconv.Itoa(r.Whole), strconv.Itoa(r.NotRun), strconv.Itoa(r.MayHaveRun), strconv.Itoa(r.Ran),
			strconv.Itoa(r.Broken), r.FirstToken.text(), r.Total.text(),
		})
	}
	return rows
}

func (t LoadTimes) text() string {
	parts := []string{}
	for _, v := range []int64{t.P50, t.P95, t.P99, t.Max} {
		parts = append(parts, strconv.FormatInt(v, 10))
	}
	return strings.Join(parts, "/")
}
