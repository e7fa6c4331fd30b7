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

// Place names where a service breaks the connection.
type Place string

// The places.
const (
	// PlaceBeforeRead drops the bytes of the request unread.
	PlaceBeforeRead Place = "BeforeRead"
	// PlaceAfterHeader reads the header only.
	PlaceAfterHeader Place = "AfterHeader"
	// PlaceAfterBody reads the whole request and does not run it.
	PlaceAfterBody Place = "AfterBody"
	// PlaceAfterRun runs the request and does not answer.
	PlaceAfterRun Place = "AfterRun"
	// PlaceInAnswer runs the request and sends a part of the answer.
	PlaceInAnswer Place = "InAnswer"
)

// ServiceFaults are the switches of a plain service.
type ServiceFaults struct {
	Faults
	// RunMillis is the time from the run to the answer.
	RunMillis clock.Millis
	// Break is where the next Breaks requests lose their connection.
	Break  Place
	Breaks int
	// Status answers with that status in place of 200; a request is run all the same only with RunRefused.
	Status     int
	RunRefused bool
	// AnswerBytes is the least length of an answer.
	AnswerBytes int
	// WrongID echoes another request id.
	WrongID bool
	// Bearable is what load reports say.
	Bearable int
}

// Run is one execution of a request by a service.
type Run struct {
	RequestID string
	Key       string
	Method    string
	Path      string
	Body      string
	// At is the wall time, in milliseconds.
	At clock.Millis
}

// Runs is what a service has executed.
type Runs struct {
	// Seen counts the requests whose header was read.
	Seen   int
	Runs   []Run
	ByKey  map[string]int
	ByID   map[string]int
	Active int
}

// Service is a stand-in for a plain service; it runs each request that comes, and counts the runs.
type Service struct {
	Switches Switches[ServiceFaults, *ServiceFaults]

	mu   sync.Mutex
	runs Runs
}

// Handler returns the service, and the control paths /faults and GET /runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.Switches)
	mux.HandleFunc("GET /runs", s.getRuns)
	mux.Handle("GET /load", s.Switches.Wrap(http.HandlerFunc(s.load)))
	mux.Handle("/", s.Switches.Wrap(http.HandlerFunc(s.serve)))
	return mux
}

// Runs returns what was executed up to now.
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
	writeJSON(w, http.StatusOK, backoffice.LoadReport{InFlight: s.Runs().Active, Bearable: s.Switches.Get().Bearable})
}

// breaks tells whether the connection breaks at the place now, and counts it.
func (s *Service) breaks(at Place) bool {
	if s.Switches.Get().Break != at {
		return false
	}
	return s.Switches.take(func(f *ServiceFaults) *int { return &f.Breaks })
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.note(func(runs *Runs) { runs.Seen++; runs.Active++ })
	defer s.note(func(runs *Runs) { runs.Active-- })
	s.abortAt(PlaceAfterHeader)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.abortAt(PlaceAfterBody)
	f := s.Switches.Get()
	if f.Status == 0 || f.RunRefused {
		s.run(r, body)
	}
	// The run goes on when the caller has left, as it does at a real service.
	done, stop := realClock.Timer(f.RunMillis)
	defer stop()
	<-done
	s.abortAt(PlaceAfterRun)
	s.answer(w, r, &f)
}

func (s *Service) note(change func(*Runs)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.runs)
}

func (s *Service) abortAt(at Place) {
	if s.breaks(at) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) run(r *http.Request, body []byte) {
	s.note(func(runs *Runs) {
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

func (s *Service) answer(w http.ResponseWriter, r *http.Request, f *ServiceFaults) {
	id := r.Header.Get(requestIDHeader)
	if f.WrongID {
		id = "crossed-" + id
	}
	w.Header().Set(requestIDHeader, id)
	status := f.Status
	if status == 0 {
		status = http.StatusOK
	}
	text := []byte("served " + r.Method + " " + r.URL.RequestURI() + " for " + r.Header.Get("Idempotency-Key") + "\n")
	for len(text) < f.AnswerBytes {
		text = append(text, '.')
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if s.breaks(PlaceInAnswer) {
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
}

// Listener returns a listener whose connections break before a request is read, when the faults say so.
func (s *Service) Listener(ln net.Listener) net.Listener { return &breakingListener{ln, s} }

type breakingListener struct {
	net.Listener
	service *Service
}

// Accept returns the next connection.
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

// Read drops the bytes it read and closes the connection when it breaks here.
func (c *breakingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 && isRequest(b[:n]) && c.service.breaks(PlaceBeforeRead) {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// isRequest tells whether the bytes begin a request that is no control call.
func isRequest(b []byte) bool {
	line, _, _ := strings.Cut(string(b), "\r\n")
	for _, control := range []string{" /faults ", " /runs ", " /load "} {
		if strings.Contains(line, control) {
			return false
		}
	}
	return true
}
