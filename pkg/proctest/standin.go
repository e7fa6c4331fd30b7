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

// StandIn is a stand-in for a platform service or an upstream, running as a process.
type StandIn struct {
	*Process
	// Address is where the stand-in listens, as ip:port.
	Address string
}

// StartStandIn starts a stand-in of the given kind with faults encoded as JSON, and fails the test when it is not ready in time.
func StartStandIn(t testing.TB, kind, name string, faults any, extraArgs ...string) *StandIn {
	t.Helper()
	raw, err := json.Marshal(faults)
	if err != nil {
		t.Fatal(err)
	}
	r, w := io.Pipe()
	args := append([]string{kind, "--listen", "127.0.0.1:0", "--faults", string(raw)}, extraArgs...)
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
	case <-time.After(readyTimeout):
		err = fmt.Errorf("no ready line within %v", readyTimeout)
	}
	if err != nil || ready.Listening == "" {
		t.Fatalf("start stand-in %s: %v\n%s", name, err, s.Output())
	}
	s.Address = ready.Listening
	return s
}

// URL returns the base URL without a trailing slash.
func (s *StandIn) URL() string { return "http://" + s.Address }

// SetFaults sets the named faults and leaves the others as they are.
func (s *StandIn) SetFaults(faults map[string]any) {
	s.t.Helper()
	s.do(http.MethodPut, "/faults", faults, nil)
}

// Runs returns the requests that a service has executed.
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

// Requests returns the requests that an engine has received.
func (s *StandIn) Requests() []standin.RequestRecord {
	s.t.Helper()
	var out []standin.RequestRecord
	s.do(http.MethodGet, "/requests", nil, &out)
	return out
}

// StartCold puts an engine back into cold start.
func (s *StandIn) StartCold() {
	s.t.Helper()
	s.do(http.MethodPost, "/cold", nil, nil)
}

// PutInstance adds or replaces an instance on the instance list.
func (s *StandIn) PutInstance(in backoffice.Instance) {
	s.t.Helper()
	s.do(http.MethodPut, "/instances/"+in.Name, in, nil)
}

// RemoveInstance removes an instance from the instance list.
func (s *StandIn) RemoveInstance(name string) {
	s.t.Helper()
	s.do(http.MethodDelete, "/instances/"+name, nil, nil)
}

// Trim removes the records of a log stream with an offset below before.
func (s *StandIn) Trim(stream string, before int64) {
	s.t.Helper()
	s.do(http.MethodPost, fmt.Sprintf("/streams/%s/trim?before=%d", stream, before), nil, nil)
}

func (s *StandIn) do(method, path string, in, out any) {
	s.t.Helper()
	if err := doJSON(method, s.URL()+path, in, out); err != nil {
		s.t.Fatalf("request %s to stand-in %s: %v", path, s.Name, err)
	}
}

// controlClient sends admin and stand-in requests; its timeout exceeds the 10 s that a change may wait for a majority.
var controlClient = &http.Client{Timeout: 30 * time.Second}

// doJSON sends in as JSON and decodes the response into out; both may be nil.
func doJSON(method, url string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := controlClient.Do(req)
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
