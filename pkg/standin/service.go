package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// BreakPoint is the point within a request at which a service closes the connection.
type BreakPoint string

// The break points, in the order in which a request passes them.
const (
	// BreakBeforeRead discards the bytes of the request before its header is parsed.
	BreakBeforeRead BreakPoint = "BeforeRead"
	// BreakAfterHeader reads the request header only.
	BreakAfterHeader BreakPoint = "AfterHeader"
	// BreakAfterBody reads the whole request but doesn't run it.
	BreakAfterBody BreakPoint = "AfterBody"
	// BreakAfterRun runs the request but sends no response.
	BreakAfterRun BreakPoint = "AfterRun"
	// BreakInAnswer runs the request and sends the first half of the response.
	BreakInAnswer BreakPoint = "InAnswer"
)

// ServiceFaults are the properties and faults of a plain service.
type ServiceFaults struct {
	Faults
	// RunMillis is the time between running a request and its response.
	RunMillis clock.Millis
	// Break is where the connections of the next Breaks requests are closed.
	Break  BreakPoint
	Breaks int
	// Status replaces 200 as the status of responses, unless it is 0; requests then run only if RunRefused is set.
	Status     int
	RunRefused bool
	// AnswerBytes is the minimum length of a response body.
	AnswerBytes int
	// WrongID makes responses echo another request ID.
	WrongID bool
	// Unframed sends responses without a Content-Length or chunks; Break then resets the connection in the response.
	Unframed bool
	// PauseMillis is a silence in the middle of each response body.
	PauseMillis clock.Millis
	// Bearable is the number of concurrent requests that load reports claim; it is not enforced.
	Bearable int
}

// Run is one execution of a request, with the properties of that request.
type Run struct {
	RequestID string
	// Key is the idempotency key.
	Key    string
	Method string
	Path   string
	Body   string
	// At is the wall time of the run, in milliseconds.
	At clock.Millis
}

// Runs are the requests that a service has received and executed.
type Runs struct {
	// Seen counts the requests whose header was read.
	Seen int
	Runs []Run
	// ByKey and ByID count the runs of each idempotency key and of each request ID.
	ByKey map[string]int
	ByID  map[string]int
	// Active counts the requests in flight.
	Active int
}

// Service is a stand-in for a plain service that runs each request it receives, without deduplication, and records the runs; its
// zero value is ready to use.
type Service struct {
	Faults FaultInjector[ServiceFaults, *ServiceFaults]

	mu   sync.Mutex
	runs Runs
}

// Handler serves GET /load, the control endpoints /faults and GET /runs, and any other request as the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.Faults)
	mux.HandleFunc("GET /runs", s.getRuns)
	mux.Handle("GET /load", s.Faults.Wrap(http.HandlerFunc(s.load)))
	mux.Handle("/", s.Faults.Wrap(http.HandlerFunc(s.serve)))
	return mux
}

// Runs returns a copy of the runs up to now.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.runs
	out.Runs = append([]Run(nil), s.runs.Runs...)
	out.ByKey, out.ByID = map[string]int{}, map[string]int{}
	for _, r := range out.Runs {
		out.ByKey[r.Key]++
		out.ByID[r.RequestID]++
	}
	return out
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, backoffice.LoadReport{InFlight: s.Runs().Active, Bearable: s.Faults.Get().Bearable})
}

// consumeBreak returns true if the connection is to be closed at this point, and decrements ServiceFaults.Breaks.
func (s *Service) consumeBreak(at BreakPoint) bool {
	if s.Faults.Get().Break != at {
		return false
	}
	return s.Faults.consume(func(f *ServiceFaults) *int { return &f.Breaks })
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.updateRuns(func(runs *Runs) { runs.Seen++; runs.Active++ })
	defer s.updateRuns(func(runs *Runs) { runs.Active-- })
	s.abortAt(BreakAfterHeader)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.abortAt(BreakAfterBody)
	f := s.Faults.Get()
	if f.Status == 0 || f.RunRefused {
		s.recordRun(r, body)
	}
	// Continues after the client has disconnected, as a real service does.
	done, stop := realClock.Timer(f.RunMillis)
	defer stop()
	<-done
	s.abortAt(BreakAfterRun)
	s.respond(w, r, &f)
}

// updateRuns applies change to the runs, under a lock.
func (s *Service) updateRuns(change func(*Runs)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.runs)
}

// abortAt closes the connection of the request if the faults say so.
func (s *Service) abortAt(at BreakPoint) {
	if s.consumeBreak(at) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) recordRun(r *http.Request, body []byte) {
	s.updateRuns(func(runs *Runs) {
		runs.Runs = append(runs.Runs, Run{
			RequestID: r.Header.Get(requestIDHeader),
			Key:       r.Header.Get("Idempotency-Key"),
			Method:    r.Method,
			Path:      r.URL.RequestURI(),
			Body:      string(body),
			At:        realClock.Wall(),
		})
	})
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, f *ServiceFaults) {
	id := r.Header.Get(requestIDHeader)
	if f.WrongID {
		id = "crossed-" + id
	}
	w.Header().Set(requestIDHeader, id)
	status := f.Status
	if status == 0 {
		status = http.StatusOK
	}
	body := []byte("served " + r.Method + " " + r.URL.RequestURI() + " for " + r.Header.Get("Idempotency-Key") + "\n")
	for len(body) < f.AnswerBytes {
		body = append(body, '.')
	}
	if f.Unframed {
		w.Header().Set("Transfer-Encoding", unframed)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	half := len(body) / 2
	broken := s.consumeBreak(BreakInAnswer)
	if broken || f.PauseMillis > 0 {
		_, _ = w.Write(body[:half])
		_ = http.NewResponseController(w).Flush()
		body = body[half:]
	}
	if broken {
		abort(w, f.Unframed)
	}
	if sleep(r, f.PauseMillis) == nil {
		_, _ = w.Write(body)
	}
}

// Listener wraps ln so that connections are closed before a request is read if Break is BreakBeforeRead.
func (s *Service) Listener(ln net.Listener) net.Listener { return &breakingListener{ln, s} }

type breakingListener struct {
	net.Listener
	service *Service
}

// Accept waits for the next connection and wraps it.
func (l *breakingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &breakingConn{c, l.service}, nil
}

type breakingConn struct {
	net.Conn
	service *Service
}

// SetLinger implements lingerer.
func (c *breakingConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(lingerer); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// Read discards the bytes of a request and closes the connection if Break is BreakBeforeRead.
func (c *breakingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 && isRequest(b[:n]) && c.service.consumeBreak(BreakBeforeRead) {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// isRequest reports whether b starts a request to the service itself, not to a control endpoint or to GET /load.
func isRequest(b []byte) bool {
	line, _, _ := strings.Cut(string(b), "\r\n")
	for _, control := range []string{" /faults ", " /runs ", " /load "} {
		if strings.Contains(line, control) {
			return false
		}
	}
	return true
}
