package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Faults are the switches that all stand-ins have.
type Faults struct {
	// Down answers each call with 503, without effect.
	Down bool
	// Cut closes the connection of each call, without effect.
	Cut bool
	// DelayMillis is waited for before each call takes effect.
	DelayMillis clock.Millis
	// LoseAnswers counts the next calls, other than GET, that take effect and get no answer.
	LoseAnswers int
}

func (f *Faults) common() *Faults { return f }

// faults is a pointer to a struct that embeds Faults.
type faults[F any] interface {
	*F
	common() *Faults
}

// Switches holds the faults of one stand-in, which may be changed while it serves.
type Switches[F any, P faults[F]] struct {
	// OnChange is optional; it is told of the faults after a change.
	OnChange func(F)

	mu  sync.Mutex
	now F
}

// Get returns the faults that are set now.
func (s *Switches[F, P]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Update changes the faults.
func (s *Switches[F, P]) Update(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(change)
}

// set changes the faults; s.mu is held.
func (s *Switches[F, P]) set(change func(*F)) {
	change(&s.now)
	if s.OnChange != nil {
		s.OnChange(s.now)
	}
}

// take lowers a counter of the faults and tells whether it was above 0.
func (s *Switches[F, P]) take(counter func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.now)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP answers GET with the faults, and PUT with the faults after it has set the fields that the body names.
func (s *Switches[F, P]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		writeJSON(w, http.StatusOK, s.Get())
		return
	}
	var raw json.RawMessage
	if !readJSON(w, r, &raw) {
		return
	}
	if err := s.Apply(raw); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, s.Get())
}

// Apply sets the fields that the JSON names; the others stay as they are.
func (s *Switches[F, P]) Apply(raw []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The copy by JSON shares no slice or map with what Get handed out.
	old, err := json.Marshal(s.now)
	if err != nil {
		return err
	}
	var next F
	if err := json.Unmarshal(old, &next); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &next); err != nil {
		return err
	}
	s.set(func(now *F) { *now = next })
	return nil
}

// requestIDHeader is echoed by upstreams, with refusals as well.
const requestIDHeader = "X-Request-Id"

// Wrap returns a handler that lets calls to next suffer the faults.
func (s *Switches[F, P]) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		all := s.Get()
		f := P(&all).common()
		if f.Cut {
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get(requestIDHeader); id != "" {
			w.Header().Set(requestIDHeader, id)
		}
		if f.Down {
			refuse(w, http.StatusServiceUnavailable, "down")
			return
		}
		if wait(r, f.DelayMillis) != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Method != http.MethodGet && s.take(func(f *F) *int { return &P(f).common().LoseAnswers }) {
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard is a ResponseWriter whose answers are lost.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

var realClock = clock.NewReal()

// wait sleeps for d, or until the request ends.
func wait(r *http.Request, d clock.Millis) error {
	if d <= 0 {
		return nil
	}
	return clock.Sleep(r.Context(), realClock, d)
}

// bodyLimit bounds the body of one request, in bytes.
const bodyLimit = 32 << 20

// readJSON decodes the body into v and answers 400 when that fails.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(v)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// refusal is the error body of engines, which the other stand-ins use as well.
type refusal struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func refuse(w http.ResponseWriter, status int, message string) {
	var body refusal
	body.Error.Message, body.Error.Type = message, http.StatusText(status)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, body)
}
