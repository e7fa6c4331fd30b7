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

// LogFaults are the switches of the log.
type LogFaults struct {
	Faults
	// RetainRecords bounds the records kept of each stream; 0 keeps all.
	RetainRecords int
	// AppendsPerSecond bounds the rate of appends; 0 is no bound.
	AppendsPerSecond float64
}

// Log serves a fake of the log by HTTP.
type Log struct {
	Switches Switches[LogFaults, *LogFaults]

	store   fake.Log
	mu      sync.Mutex
	limiter *rate.Limiter
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{store: fake.Log{Clock: realClock}} }

// Handler returns the protocol of the log, and the control paths /faults, POST /streams/{stream}/trim?before=n and
// POST /streams/{stream}/truncate?end=n, which drop the head or the tail of a stream.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &l.Switches)
	mux.Handle("POST /streams/{stream}/records", l.Switches.Wrap(http.HandlerFunc(l.append)))
	mux.Handle("GET /streams/{stream}/records", l.Switches.Wrap(http.HandlerFunc(l.read)))
	mux.HandleFunc("POST /streams/{stream}/trim", l.trim)
	mux.HandleFunc("POST /streams/{stream}/truncate", l.truncate)
	return mux
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var in backoffice.AppendRequest
	if !readJSON(w, r, &in) {
		return
	}
	f := l.Switches.Get()
	if !l.allow(f.AppendsPerSecond) {
		refuse(w, http.StatusTooManyRequests, "over the rate of appends")
		return
	}
	l.store.SetRetention(f.RetainRecords)
	first, err := l.store.Append(r.Context(), r.PathValue("stream"), in.Records)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, backoffice.AppendReply{First: first})
}

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
	// defaultMax is the number of entries of a read that names none.
	defaultMax = 1000
	// maxWait bounds the waiting of a read, in milliseconds.
	maxWait = 60 * clock.Second
)

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	limit := int(max(1, number(r, "max", defaultMax)))
	pause := min(maxWait, clock.Millis(number(r, "wait", 0)))
	b, err := l.store.Read(r.Context(), r.PathValue("stream"), number(r, "from", 0), limit, pause)
	var trimmed *backoffice.TrimmedError
	var ahead *backoffice.AheadError
	switch {
	case l.Switches.Get().Down:
		refuse(w, http.StatusServiceUnavailable, "down")
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, backoffice.Batch{Oldest: trimmed.Oldest, End: trimmed.End})
	case errors.As(err, &ahead):
		writeJSON(w, http.StatusConflict, backoffice.Batch{Oldest: ahead.Oldest, End: ahead.End})
	case err != nil:
		refuse(w, http.StatusServiceUnavailable, err.Error())
	default:
		writeJSON(w, http.StatusOK, b)
	}
}

func (l *Log) trim(w http.ResponseWriter, r *http.Request) {
	l.store.Trim(r.PathValue("stream"), number(r, "before", 0))
	w.WriteHeader(http.StatusNoContent)
}

func (l *Log) truncate(w http.ResponseWriter, r *http.Request) {
	l.store.Truncate(r.PathValue("stream"), number(r, "end", 0))
	w.WriteHeader(http.StatusNoContent)
}
