package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const chatBody = `{"model":"m@1","stream":true,"messages":[{"role":"user","content":"hi"}]}`

// post sends a chat and returns the status and as much of the answer as came.
func post(t *testing.T, url, id, offset string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	if offset != "" {
		req.Header.Set("X-Resume-Offset", offset)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		body = append(body, "cut"...)
	}
	return resp.StatusCode, string(body)
}

// event is the event of one token as the engine sends it.
func event(id string, i int, last bool) string {
	finish, tail := "null", ""
	if last {
		finish, tail = `"stop"`, fmt.Sprintf(`,"usage":{"prompt_tokens":2,"completion_tokens":%d}`, i+1)
	}
	return fmt.Sprintf(`data: {"id":%q,"object":"chat.completion.chunk","model":"m@1","offset":%d,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]%s}`+"\n\n",
		id, i, Token("user: hi\n", i), finish, tail)
}

// crossed is the event of one token that belongs to another request.
func crossed(i int, last bool) string {
	return strings.Replace(event("crossed-r", i, last), Token("user: hi\n", i), Token("crossed user: hi\n", i), 1)
}

func TestEngineAnswers(t *testing.T) {
	const done = "data: [DONE]\n\n"
	whole := event("r", 0, false) + event("r", 1, true)
	refused := func(message string, status int) string {
		return fmt.Sprintf(`{"error":{"message":%q,"type":%q}}`+"\n", message, http.StatusText(status))
	}
	cases := []struct {
		name   string
		faults EngineFaults
		offset string
		status int
		want   string
	}{
		{name: "whole", status: 200, want: whole + done},
		{name: "no end mark", faults: EngineFaults{SkipDone: true}, status: 200, want: whole},
		{name: "cut", faults: EngineFaults{CutAfter: 1}, status: 200, want: event("r", 0, false) + "cut"},
		{name: "crossed", faults: EngineFaults{Crossed: true}, status: 200, want: crossed(0, false) + crossed(1, true) + done},
		{name: "repeated", faults: EngineFaults{Repeat: true}, status: 200, want: strings.Repeat(event("r", 0, false), 2) + strings.Repeat(event("r", 1, true), 2) + done},
		{name: "resume of an unknown request", offset: "1", status: 404, want: refused("the engine does not take the request", 404)},
		{name: "down", faults: EngineFaults{Faults: Faults{Down: true}}, status: 503, want: refused("down", 503)},
		{name: "version not loaded", faults: EngineFaults{Versions: []catalogue.VersionID{"m@2"}}, status: 400, want: refused("version m@1 is not loaded", 400)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := c.faults
			f.Tokens = 2
			if f.Versions == nil {
				f.Versions = []catalogue.VersionID{"m@1"}
			}
			srv := httptest.NewServer(NewEngine(f).Handler())
			defer srv.Close()
			status, body := post(t, srv.URL, "r", c.offset)
			if diff := cmp.Diff(c.status, status); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.want, body); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEngineResumesWhatItHolds(t *testing.T) {
	e := NewEngine(EngineFaults{Versions: []catalogue.VersionID{"m@1"}, Tokens: 3, CutAfter: 1})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	post(t, srv.URL, "r", "")
	e.Switches.Update(func(f *EngineFaults) { f.CutAfter = 0 })
	_, body := post(t, srv.URL, "r", "1")
	want := event("r", 1, false) + event("r", 2, true) + "data: [DONE]\n\n"
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("resumed answer (-want +got):\n%s", diff)
	}
}

func TestEngineInColdStart(t *testing.T) {
	const hour = 3600 * 1000
	cases := []struct {
		name     string
		fallOver bool
		second   int
		stats    EngineStats
		first    string
	}{
		{name: "refuses", second: 503, stats: EngineStats{Requests: 2, Peak: 1, ColdPeak: 2, Refused: 1}},
		{name: "falls over", fallOver: true, second: 500, stats: EngineStats{Requests: 2, Peak: 1, ColdPeak: 2, FellOver: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEngine(EngineFaults{
				Versions: []catalogue.VersionID{"m@1"}, ColdBearable: 1, ColdMillis: hour,
				FirstTokenMillis: hour, FallOver: c.fallOver,
			})
			srv := httptest.NewServer(e.Handler())
			defer srv.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(chatBody))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Request-Id", "first")
			// The header of the answer comes once the engine holds the request.
			held, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			status, _ := post(t, srv.URL, "second", "")
			if diff := cmp.Diff(c.second, status); diff != "" {
				t.Errorf("second request (-want +got):\n%s", diff)
			}
			if c.fallOver {
				if _, err := io.ReadAll(held.Body); err == nil {
					t.Error("the first request was not dropped")
				}
			}
			_ = held.Body.Close()
			e.mu.Lock()
			got := e.stats
			e.mu.Unlock()
			got.ByVersion, got.InFlight = nil, 0
			if diff := cmp.Diff(c.stats, got); diff != "" {
				t.Errorf("stats (-want +got):\n%s", diff)
			}
		})
	}
}
