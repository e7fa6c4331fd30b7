package standin

import (
	"context"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/platform"
)

// LogFaults are the switches of the log.
type LogFaults struct {
	Faults
	// RetainRecords bounds the records kept of each stream; 0 keeps all.
	RetainRecords int
	// AppendsPerSecond bounds the rate of appends; 0 is no bound.
	AppendsPerSecond float64
}

// Log is a stand-in for the log service.
type Log struct {
	Switches Switches[LogFaults, *LogFaults]

	mu      sync.Mutex
	streams map[string]*stream
	limiter *rate.Limiter
}

// stream is one stream of the log; grown is closed at the next append.
type stream struct {
	oldest  int64
	entries []platform.Entry
	grown   chan struct{}
}

func (s *stream) end() int64 { return s.oldest + int64(len(s.entries)) }

func (s *stream) trim(before int64) {
	if n := min(before, s.end()) - s.oldest; n > 0 {
		s.entries, s.oldest = s.entries[n:], s.oldest+n
	}
}

func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

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

// stream returns the stream of that name; l.mu is held.
func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var in platform.AppendRequest
	if !readJSON(w, r, &in) {
		return
	}
	if !l.allow() {
		refuse(w, http.StatusTooManyRequests, "over the rate of appends")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(r.PathValue("stream"))
	first := s.end()
	for i, data := range in.Records {
		s.entries = append(s.entries, platform.Entry{Offset: first + int64(i), At: realClock.Wall(), Data: data})
	}
	if keep := l.Switches.Get().RetainRecords; keep > 0 {
		s.trim(s.end() - int64(keep))
	}
	s.wake()
	writeJSON(w, http.StatusOK, platform.AppendReply{First: first})
}

func (l *Log) allow() bool {
	limit := l.Switches.Get().AppendsPerSecond
	if limit <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil || l.limiter.Limit() != rate.Limit(limit) {
		l.limiter = rate.NewLimiter(rate.Limit(limit), int(limit)+1)
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
	name, from := r.PathValue("stream"), number(r, "from", 0)
	limit := max(1, number(r, "max", defaultMax))
	l.awaitEntry(r.Context(), name, from, min(maxWait, clock.Millis(number(r, "wait", 0))))
	if l.Switches.Get().Down {
		refuse(w, http.StatusServiceUnavailable, "down")
		return
	}
	l.mu.Lock()
	s := l.stream(name)
	b := platform.Batch{Oldest: s.oldest, End: s.end()}
	status := http.StatusOK
	switch {
	case from < b.Oldest:
		status = http.StatusGone
	case from > b.End:
		status = http.StatusConflict
	default:
		b.Entries = s.entries[from-b.Oldest:][:min(limit, b.End-from)]
	}
	l.mu.Unlock()
	writeJSON(w, status, b)
}

// awaitEntry returns once the stream has something at the offset, or is not there yet, or after wait milliseconds.
func (l *Log) awaitEntry(ctx context.Context, name string, from int64, wait clock.Millis) {
	if wait <= 0 {
		return
	}
	due, stop := realClock.Timer(wait)
	defer stop()
	for {
		l.mu.Lock()
		s := l.stream(name)
		end, grown := s.end(), s.grown
		l.mu.Unlock()
		if from != end {
			return
		}
		select {
		case <-grown:
		case <-due:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (l *Log) trim(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(r.PathValue("stream")).trim(number(r, "before", 0))
	w.WriteHeader(http.StatusNoContent)
}

func (l *Log) truncate(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(r.PathValue("stream"))
	if keep := number(r, "end", 0) - s.oldest; keep >= 0 && keep < int64(len(s.entries)) {
		s.entries = s.entries[:keep:keep]
	}
	s.wake()
	w.WriteHeader(http.StatusNoContent)
}
