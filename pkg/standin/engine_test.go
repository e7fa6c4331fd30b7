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

// post sends a chat request and returns its status and body, with "cut" appended if the body was cut off, or 0 and the error text
// if there was no response.
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

// tokenEvent returns the server-sent event of token i as the engine sends it.
func tokenEvent(id string, i int, last bool) string {
	finish, tail := "null", ""
	if last {
		finish, tail = `"stop"`, fmt.Sprintf(`,"usage":{"prompt_tokens":2,"completion_tokens":%d}`, i+1)
	}
	return fmt.Sprintf(`data: {"id":%q,"object":"chat.completion.chunk","model":"m@1","offset":%d,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]%s}`+"\n\n",
		id, i, Token("user: hi\n", i), finish, tail)
}

// crossedEvent returns the server-sent event of token i of another request.
func crossedEvent(i int, last bool) string {
	return strings.Replace(tokenEvent("crossed-r", i, last), Token("user: hi\n", i), Token("crossed user: hi\n", i), 1)
}

func TestEngineAnswers(t *testing.T) {
	const done = "data: [DONE]\n\n"
	whole := tokenEvent("r", 0, false) + tokenEvent("r", 1, true)
	errorJSON := func(message string, status int) string {
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
		{name: "no [DONE] event", faults: EngineFaults{SkipDone: true}, status: 200, want: whole},
		{name: "cut", faults: EngineFaults{CutAfter: 1}, status: 200, want: tokenEvent("r", 0, false) + "cut"},
		{name: "unframed", faults: EngineFaults{Unframed: true}, status: 200, want: whole + done},
		{name: "unframed and cut", faults: EngineFaults{Unframed: true, CutAfter: 1}, status: 200, want: tokenEvent("r", 0, false) + "cut"},
		{name: "pause before the first token", faults: EngineFaults{PauseMillis: 20}, status: 200, want: whole + done},
		{name: "pause before the last token", faults: EngineFaults{PauseMillis: 20, PauseAfter: 1, Unframed: true}, status: 200, want: whole + done},
		{name: "crossed", faults: EngineFaults{Crossed: true}, status: 200, want: crossedEvent(0, false) + crossedEvent(1, true) + done},
		{name: "repeated", faults: EngineFaults{Repeat: true}, status: 200, want: strings.Repeat(tokenEvent("r", 0, false), 2) + strings.Repeat(tokenEvent("r", 1, true), 2) + done},
		{name: "resume of an unknown request", offset: "1", status: 404, want: errorJSON("the engine does not take the request", 404)},
		{name: "down", faults: EngineFaults{Faults: Faults{Down: true}}, status: 503, want: errorJSON("down", 503)},
		{name: "version not loaded", faults: EngineFaults{Versions: []catalogue.VersionID{"m@2"}}, status: 400, want: errorJSON("version m@1 is not loaded", 400)},
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

func TestEngineResumesRetainedRequest(t *testing.T) {
	e := NewEngine(EngineFaults{Versions: []catalogue.VersionID{"m@1"}, Tokens: 3, CutAfter: 1})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	post(t, srv.URL, "r", "")
	e.Faults.Update(func(f *EngineFaults) { f.CutAfter = 0 })
	_, body := post(t, srv.URL, "r", "1")
	want := tokenEvent("r", 1, false) + tokenEvent("r", 2, true) + "data: [DONE]\n\n"
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("resumed answer (-want +got):\n%s", diff)
	}
}

func TestEngineOverloadInColdStart(t *testing.T) {
	const hour = 3600 * 1000
	cases := []struct {
		name       string
		fallOver   bool
		wantStatus int
		stats      EngineStats
		first      string
	}{
		{name: "rejects the new request", wantStatus: 503, stats: EngineStats{Requests: 2, Peak: 1, ColdPeak: 2, Refused: 1}},
		{name: "drops all requests", fallOver: true, wantStatus: 500, stats: EngineStats{Requests: 2, Peak: 1, ColdPeak: 2, FellOver: 1}},
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
			// The engine sends the response header once it has admitted the request.
			first, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			status, _ := post(t, srv.URL, "second", "")
			if diff := cmp.Diff(c.wantStatus, status); diff != "" {
				t.Errorf("status of the second request (-want +got):\n%s", diff)
			}
			if c.fallOver {
				if _, err := io.ReadAll(first.Body); err == nil {
					t.Error("first request: response ended normally, want it cut off")
				}
			}
			_ = first.Body.Close()
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
