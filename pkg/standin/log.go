package standin

import (
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/clock"
)

// LogFaults are the faults and limits of the log.
type LogFaults struct {
	Faults
	// RetainRecords bounds the number of records that each stream retains; 0 retains all.
	RetainRecords int
	// AppendsPerSecond limits the rate of appends; 0 means no limit.
	AppendsPerSecond float64
}

// Log serves a fake of the log over HTTP.
type Log struct {
	Faults FaultInjector[LogFaults, *LogFaults]

	store   fake.Log
	mu      sync.Mutex
	limiter *rate.Limiter
}

// NewLog returns an empty log without faults.
func NewLog() *Log { return &Log{store: fake.Log{Clock: realClock}} }

// Handler serves the protocol of the log and the control endpoints /faults, POST /streams/{stream}/trim?before=n and
// POST /streams/{stream}/truncate?end=n, which drop the head and the tail of a stream.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &l.Faults)
	mux.Handle("POST /streams/{stream}/records", l.Faults.Wrap(http.HandlerFunc(l.append)))
	mux.Handle("GET /streams/{stream}/records", l.Faults.Wrap(http.HandlerFunc(l.read)))
	mux.HandleFunc("POST /streams/{stream}/trim", l.trim)
	mux.HandleFunc("POST /streams/{stream}/truncate", l.truncate)
	return mux
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var in backoffice.AppendRequest
	if !readJSON(w, r, &in) {
		return
	}
	f := l.Faults.Get()
	if !l.allow(f.AppendsPerSecond) {
		writeError(w, http.StatusTooManyRequests, "over the rate of appends")
		return
	}
	l.store.SetRetention(f.RetainRecords)
	first, err := l.store.Append(r.Context(), r.PathValue("stream"), in.Records)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, backoffice.AppendReply{First: first})
}

// allow takes a token from the bucket for appends, whose burst is a bit more than one second's worth.
func (l *Log) allow(perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil || l.limiter.Limit() != rate.Limit(perSecond) {
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
	}
	return l.limiter.Allow()
}

const (
	// defaultPageSize bounds the entries of a read whose query has no max.
	defaultPageSize = 1000
	// maxWait bounds how long a read waits for records.
	maxWait = 60 * clock.Second
)

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	limit := int(max(1, queryInt(r, "max", defaultPageSize)))
	timeout := min(maxWait, clock.Millis(queryInt(r, "wait", 0)))
	b, err := l.store.Read(r.Context(), r.PathValue("stream"), queryInt(r, "from", 0), limit, timeout)
	var trimmed *backoffice.TrimmedError
	var pastEnd *backoffice.PastEndError
	switch {
	case l.Faults.Get().Down:
		writeError(w, http.StatusServiceUnavailable, "down")
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, backoffice.Batch{Oldest: trimmed.Oldest, End: trimmed.End})
	case errors.As(err, &pastEnd):
		writeJSON(w, http.StatusConflict, backoffice.Batch{Oldest: pastEnd.Oldest, End: pastEnd.End})
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	default:
		writeJSON(w, http.StatusOK, b)
	}
}

func (l *Log) trim(w http.ResponseWriter, r *http.Request) {
	l.store.Trim(r.PathValue("stream"), queryInt(r, "before", 0))
	w.WriteHeader(http.StatusNoContent)
}

func (l *Log) truncate(w http.ResponseWriter, r *http.Request) {
	l.store.Truncate(r.PathValue("stream"), queryInt(r, "end", 0))
	w.WriteHeader(http.StatusNoContent)
}
