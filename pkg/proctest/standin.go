package proctest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/standin"
)

// StandIn is a running stand-in.
type StandIn struct {
	*Process
	// Address is where it listens, as ip:port.
	Address string
}

// StartStandIn starts a stand-in with its faults, which are written as JSON; more are arguments besides.
func StartStandIn(t testing.TB, kind, name string, faults any, more ...string) *StandIn {
	t.Helper()
	raw, err := json.Marshal(faults)
	if err != nil {
		t.Fatal(err)
	}
	r, w := io.Pipe()
	args := append([]string{kind, "--listen", "127.0.0.1:0", "--faults", string(raw)}, more...)
	s := &StandIn{Process: start(t, name, "standin", w, args...)}
	lines := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(r).ReadString('\n')
		lines <- line
	}()
	var ready struct{ Listening string }
	select {
	case line := <-lines:
		err = json.Unmarshal([]byte(line), &ready)
	case <-s.done:
		err = s.err
	case <-time.After(readyTime):
		err = fmt.Errorf("not ready within %v", readyTime)
	}
	if err != nil || ready.Listening == "" {
		t.Fatalf("stand-in %s: %v\n%s", name, err, s.Output())
	}
	s.Address = ready.Listening
	return s
}

// URL returns the base URL.
func (s *StandIn) URL() string { return "http://" + s.Address }

// SetFaults sets the named faults; the others stay.
func (s *StandIn) SetFaults(faults map[string]any) {
	s.t.Helper()
	s.do(http.MethodPut, "/faults", faults, nil)
}

// Runs returns what a service has executed.
func (s *StandIn) Runs() standin.Runs {
	s.t.Helper()
	var out standin.Runs
	s.do(http.MethodGet, "/runs", nil, &out)
	return out
}

// Stats returns the counters of an engine.
func (s *StandIn) Stats() standin.EngineStats {
	s.t.Helper()
	var out standin.EngineStats
	s.do(http.MethodGet, "/stats", nil, &out)
	return out
}

// Starts returns the requests that came to an engine.
func (s *StandIn) Starts() []standin.Start {
	s.t.Helper()
	var out []standin.Start
	s.do(http.MethodGet, "/requests", nil, &out)
	return out
}

// BecomeCold begins a cold start of an engine.
func (s *StandIn) BecomeCold() {
	s.t.Helper()
	s.do(http.MethodPost, "/cold", nil, nil)
}

// List puts an instance on the list.
func (s *StandIn) List(in backoffice.Instance) {
	s.t.Helper()
	s.do(http.MethodPut, "/instances/"+in.Name, in, nil)
}

// Unlist takes an instance off the list.
func (s *StandIn) Unlist(name string) {
	s.t.Helper()
	s.do(http.MethodDelete, "/instances/"+name, nil, nil)
}

// Trim drops the head of a stream of the log.
func (s *StandIn) Trim(stream string, before int64) {
	s.t.Helper()
	s.do(http.MethodPost, fmt.Sprintf("/streams/%s/trim?before=%d", stream, before), nil, nil)
}

func (s *StandIn) do(method, path string, in, out any) {
	s.t.Helper()
	if err := exchange(method, s.URL()+path, in, out); err != nil {
		s.t.Fatalf("%s of stand-in %s: %v", path, s.Name, err)
	}
}

// control is the client for what is no part of a test's own path. A change may wait 10 s for a majority.
var control = &http.Client{Timeout: 30 * time.Second}

// exchange sends in as JSON and decodes the answer into out; both may be nil.
func exchange(method, url string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := control.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(body, out)
}
