package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Faults are the faults that every stand-in can inject.
type Faults struct {
	// Down responds to each call with 503 before it takes effect.
	Down bool
	// Cut closes the connection of each call before it takes effect.
	Cut bool
	// DelayMillis is the time before each call takes effect.
	DelayMillis clock.Millis
	// LoseAnswers is the number of further calls, other than GET, that take effect but lose their response.
	LoseAnswers int
}

func (f *Faults) common() *Faults { return f }

// faultsPointer is a pointer to a struct that embeds Faults.
type faultsPointer[F any] interface {
	*F
	common() *Faults
}

// FaultInjector has the faults of one stand-in and applies those that all stand-ins share; it is safe for concurrent use.
type FaultInjector[F any, P faultsPointer[F]] struct {
	// OnChange is optional; it is called with the new faults after each change and must not call the methods of FaultInjector.
	OnChange func(F)

	mu      sync.Mutex
	current F
}

// Get returns the current faults, whose slices and maps callers must not modify.
func (i *FaultInjector[F, P]) Get() F {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// Update applies change to the current faults, under a lock.
func (i *FaultInjector[F, P]) Update(change func(*F)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.set(change)
}

// set applies change to the faults and calls OnChange; i.mu is held.
func (i *FaultInjector[F, P]) set(change func(*F)) {
	change(&i.current)
	if i.OnChange != nil {
		i.OnChange(i.current)
	}
}

// consume decrements a counter in the faults and returns true if it was above 0.
func (i *FaultInjector[F, P]) consume(counter func(*F) *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := counter(&i.current)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP responds with the faults as JSON; with PUT it first sets the fields that the JSON body has.
func (i *FaultInjector[F, P]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		writeJSON(w, http.StatusOK, i.Get())
		return
	}
	var raw json.RawMessage
	if !readJSON(w, r, &raw) {
		return
	}
	if err := i.Apply(raw); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, i.Get())
}

// Apply sets the fields that the JSON object raw has and keeps the others; an unknown field is an error.
func (i *FaultInjector[F, P]) Apply(raw []byte) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	// Copying through JSON shares no slice or map with values that Get returned.
	old, err := json.Marshal(i.current)
	if err != nil {
		return err
	}
	var next F
	if err := json.Unmarshal(old, &next); err != nil {
		return err
	}
	if err := DecodeStrictly(raw, &next); err != nil {
		return err
	}
	i.set(func(current *F) { *current = next })
	return nil
}

// DecodeStrictly decodes a JSON object whose fields must all be known.
func DecodeStrictly(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "faults")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("faults: more than one JSON value")
	}
	return nil
}

// requestIDHeader is echoed by upstreams, also in error responses.
const requestIDHeader = "X-Request-Id"

// Wrap returns a handler that injects the faults that all stand-ins share into calls to next.
func (i *FaultInjector[F, P]) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		all := i.Get()
		f := P(&all).common()
		if f.Cut {
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get(requestIDHeader); id != "" {
			w.Header().Set(requestIDHeader, id)
		}
		if f.Down {
			writeError(w, http.StatusServiceUnavailable, "down")
			return
		}
		if sleep(r, f.DelayMillis) != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Method != http.MethodGet && i.consume(func(f *F) *int { return &P(f).common().LoseAnswers }) {
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

var realClock = clock.NewReal()

// sleep sleeps for d; it returns an error if the request ends before.
func sleep(r *http.Request, d clock.Millis) error {
	if d <= 0 {
		return nil
	}
	return clock.Sleep(r.Context(), realClock, d)
}

// maxBodyBytes bounds the body of one request.
const maxBodyBytes = 32 << 20

// readJSON decodes the request body into v; if that fails, it responds with 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// errorBody is the JSON error body of engines, which the other stand-ins use as well.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

// writeError responds with an error and, for 429 and 503, with a Retry-After header of 1 s.
func writeError(w http.ResponseWriter, status int, message string) {
	var body errorBody
	body.Error.Message, body.Error.Type = message, http.StatusText(status)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, body)
}
