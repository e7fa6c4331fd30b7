package desk

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
)

const validChat = `{"model": "profile:chat", "messages": [{"role": "user", "content": "habari"}]}`

func TestCallerRefusalNamesField(t *testing.T) {
	type refusal struct {
		Status  int
		Outcome request.Outcome
		Reason  request.Reason
		Field   string
	}
	badRequest := func(field string) refusal {
		return refusal{http.StatusBadRequest, request.NotRun, request.ReasonBadRequest, field}
	}
	for _, c := range []struct {
		name    string
		method  string
		path    string
		body    string
		headers map[string]string
		want    refusal
	}{
		{name: "no key", headers: map[string]string{"Authorization": ""}, want: refusal{401, request.NotRun, request.ReasonUnauthorized, ""}},
		{name: "wrong key", headers: map[string]string{"Authorization": "Bearer " + workspaceKey + "x"}, want: refusal{401, request.NotRun, request.ReasonUnauthorized, ""}},
		{name: "digest as key", headers: map[string]string{"Authorization": "Bearer " + digestOf(workspaceKey)}, want: refusal{401, request.NotRun, request.ReasonUnauthorized, ""}},
		{name: "other scheme", headers: map[string]string{"Authorization": "Basic " + workspaceKey}, want: refusal{401, request.NotRun, request.ReasonUnauthorized, ""}},
		{name: "body too large", body: strings.Repeat(" ", 2000), want: refusal{413, request.NotRun, request.ReasonTooLarge, ""}},
		{name: "not JSON", body: `{"messages": [`, want: badRequest("body")},
		{name: "JSON list", body: `[1]`, want: badRequest("body")},
		{name: "messages not a list", body: `{"messages": "habari"}`, want: badRequest("messages")},
		{name: "no messages", body: `{"model": "profile:chat"}`, want: badRequest("messages")},
		{name: "message without a role", body: `{"model": "profile:chat", "messages": [{"content": "x"}]}`, want: badRequest("messages")},
		{name: "content as a list of parts", body: `{"messages": [{"role": "user", "content": [{"type": "text"}]}]}`, want: badRequest("messages")},
		{name: "model without the profile prefix", body: strings.Replace(validChat, "profile:chat", "chai", 1), want: badRequest("model")},
		{name: "stream not a boolean", body: strings.Replace(validChat, `{"model"`, `{"stream": 1, "model"`, 1), want: badRequest("stream")},
		{name: "negative max_tokens", body: strings.Replace(validChat, `{"model"`, `{"max_tokens": -1, "model"`, 1), want: badRequest("max_tokens")},
		{name: "more than one choice", body: strings.Replace(validChat, `{"model"`, `{"n": 2, "model"`, 1), want: badRequest("n")},
		{name: "negative deadline", headers: map[string]string{HeaderDeadline: "-5"}, want: badRequest(HeaderDeadline)},
		{name: "deadline of zero", headers: map[string]string{HeaderDeadline: "0"}, want: badRequest(HeaderDeadline)},
		{name: "deadline with a unit", headers: map[string]string{HeaderDeadline: "5s"}, want: badRequest(HeaderDeadline)},
		{name: "deadline out of range", headers: map[string]string{HeaderDeadline: "99999999999999999999"}, want: badRequest(HeaderDeadline)},
		{name: "repeatable not a boolean", headers: map[string]string{HeaderRepeatable: "no"}, want: badRequest(HeaderRepeatable)},
		{name: "not repeatable without a key", headers: map[string]string{HeaderRepeatable: "false"}, want: badRequest(HeaderRequestKey)},
		{name: "request id with a space", headers: map[string]string{HeaderRequestID: "a b"}, want: badRequest(HeaderRequestID)},
		{name: "request id too long", headers: map[string]string{HeaderRequestID: strings.Repeat("x", 129)}, want: badRequest(HeaderRequestID)},
		{name: "profile not allowed", headers: map[string]string{HeaderProfile: "notes"}, want: refusal{403, request.NotRun, request.ReasonForbidden, HeaderProfile}},
		{name: "unknown profile", headers: map[string]string{HeaderProfile: "gone"}, want: refusal{403, request.NotRun, request.ReasonForbidden, HeaderProfile}},
		{name: "unknown path", path: "/v2/chat", want: refusal{404, request.NotRun, request.ReasonNotFound, ""}},
		{name: "unknown service", path: "/services/other/x", want: refusal{404, request.NotRun, request.ReasonNotFound, ""}},
		{name: "service not allowed", path: "/services/ledger/x", headers: map[string]string{HeaderRequestKey: "k"}, want: refusal{403, request.NotRun, request.ReasonForbidden, "service"}},
		{name: "service call not repeatable without a key", path: "/services/booking/tables", want: badRequest(HeaderRequestKey)},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller := testCaller(testSnapshot(testNow), func(context.Context, *request.Call) error {
				t.Error("the filter chain was called")
				return nil
			})
			srv := serveTest(t, caller)
			if c.method == "" {
				c.method = http.MethodPost
			}
			if c.path == "" {
				c.path = chatPath
			}
			if c.body == "" {
				c.body = validChat
			}
			resp, body := sendRequest(t, srv.URL, c.method, c.path, c.body, c.headers)
			e := decodeError(t, body)
			got := refusal{resp.StatusCode, e.Outcome, e.Reason, e.Field}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("refusal (-want +got):\n%s\n%s", diff, body)
			}
			if b := caller.Budget; b != nil {
				if _, ok := b.Reserve(b.Total); !ok {
					t.Error("memory is still reserved after the response")
				}
			}
			if n := caller.InFlight.Count(); n != 0 {
				t.Errorf("got %d requests in flight after the response, want 0", n)
			}
		})
	}
}

func TestCallerReadsRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		method  string
		path    string
		body    string
		headers map[string]string
		want    request.Request
	}{
		{
			name: "chat by model", method: http.MethodPost, path: chatPath,
			body: `{"model": "profile:chat", "messages": [{"role": "user", "content": "habari"}], "max_tokens": 5, "temperature": 0.5}`,
			want: request.Request{
				Profile: "chat", Repeatable: true, Deadline: testNow + 20_000, MaxTokens: 5,
				Messages: []request.Message{{Role: "user", Content: "habari"}},
				Options:  map[string]json.RawMessage{"temperature": json.RawMessage("0.5")},
			},
		},
		{
			name: "chat by header", method: http.MethodPost, path: chatPath, body: `{"messages": [{"role": "user", "content": "habari"}]}`,
			headers: map[string]string{
				HeaderProfile: "chat", HeaderSession: "s-1", HeaderPin: "p-1", HeaderRequestKey: "k-1",
				HeaderDeadline: "1500", HeaderRepeatable: "false",
			},
			want: request.Request{
				Profile: "chat", Session: "s-1", Pin: "p-1", Key: "k-1", Deadline: testNow + 1500,
				Messages: []request.Message{{Role: "user", Content: "habari"}},
			},
		},
		{
			name: "service call", method: http.MethodPut, path: "/services/booking/tables/a%2Fb?day=1", body: "six",
			headers: map[string]string{HeaderRequestKey: "k-1"},
			want: request.Request{
				Service: "booking", Method: http.MethodPut, Path: "/tables/a%2Fb?day=1", Body: []byte("six"),
				Key: "k-1", Deadline: testNow + 5_000,
			},
		},
		{
			name: "repeatable service call", method: http.MethodGet, path: "/services/booking",
			want: request.Request{
				Service: "booking", Method: http.MethodGet, Path: "/", Body: []byte{}, Repeatable: true, Deadline: testNow + 5_000,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got request.Request
			srv := serveTest(t, testCaller(testSnapshot(testNow), func(_ context.Context, call *request.Call) error {
				got = *call.Request
				return request.Refuse(request.ReasonNoUpstream, 0, "the test ends here")
			}))
			headers := map[string]string{HeaderRequestID: "r-1"}
			for k, v := range c.headers {
				headers[k] = v
			}
			sendRequest(t, srv.URL, c.method, c.path, c.body, headers)
			got.Header = nil
			c.want.ID, c.want.Workspace, c.want.ArrivedAt = "r-1", "guests", testNow
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("request (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCallerSendsBufferedChat(t *testing.T) {
	srv := serveTest(t, testCaller(testSnapshot(testNow), serveChat))
	resp, body := sendRequest(t, srv.URL, http.MethodPost, chatPath, validChat, map[string]string{HeaderRequestID: "r-1"})
	const want = `{"id":"r-1","object":"chat.completion","created":1000,"model":"chai@1","choices":[{"index":0,` +
		`"message":{"role":"assistant","content":"karibu sana"},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7,"cost":9}}` + "\n"
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	wantHeaders := map[string]string{
		HeaderRequestID: "r-1", HeaderVersion: "chai@1", HeaderUpstream: "engine-1", HeaderCost: "9",
		HeaderOutcome: "Ran", HeaderPin: "pin-1",
	}
	if diff := cmp.Diff(wantHeaders, selectHeaders(resp.Header, wantHeaders)); diff != "" {
		t.Errorf("headers (-want +got):\n%s", diff)
	}
}

func TestCallerStreamsChat(t *testing.T) {
	srv := serveTest(t, testCaller(testSnapshot(testNow), serveChat))
	resp, body := sendRequest(t, srv.URL, http.MethodPost, chatPath, strings.Replace(validChat, `{"model"`, `{"stream": true, "model"`, 1),
		map[string]string{HeaderRequestID: "r-1"})
	const chunk = `data: {"id":"r-1","object":"chat.completion.chunk","created":1000,"model":"chai@1",`
	want := chunk + `"offset":0,"choices":[{"index":0,"delta":{"content":"karibu "},"finish_reason":null}]}` + "\n\n" +
		chunk + `"offset":1,"choices":[{"index":0,"delta":{"content":"sana"},"finish_reason":null}]}` + "\n\n" +
		chunk + `"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7,"cost":9}}` + "\n\n" +
		"data: [DONE]\n\n"
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	wantTrailers := map[string]string{HeaderCost: "9", HeaderOutcome: "Ran"}
	if diff := cmp.Diff(wantTrailers, selectHeaders(resp.Trailer, wantTrailers)); diff != "" {
		t.Errorf("trailers (-want +got):\n%s", diff)
	}
}

func selectHeaders(h http.Header, names map[string]string) map[string]string {
	out := map[string]string{}
	for name := range names {
		out[name] = h.Get(name)
	}
	return out
}

// failMidway writes a part of a response and then fails.
func failMidway(ctx context.Context, c *request.Call) error {
	c.Upstream = &catalogue.Upstream{Name: "engine-1"}
	if err := c.Writer.WriteHead(ctx, c, request.Head{Status: http.StatusOK, Header: http.Header{}}); err != nil {
		return err
	}
	if c.Request.Service != "" {
		if err := c.Writer.WriteBytes(ctx, c, make([]byte, 100_000)); err != nil {
			return err
		}
	} else if err := c.Writer.WriteChunk(ctx, c, request.Chunk{Text: "kari", Tokens: 1}); err != nil {
		return err
	}
	return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete, Detail: "cut", RetryAfter: 500}
}

func TestP07CallerReportsIncompleteResponse(t *testing.T) {
	srv := serveTest(t, testCaller(testSnapshot(testNow), failMidway))

	t.Run("stream", func(t *testing.T) {
		_, body := sendRequest(t, srv.URL, http.MethodPost, chatPath, strings.Replace(validChat, `{"model"`, `{"stream": true, "model"`, 1), nil)
		if strings.Contains(body, "[DONE]") {
			t.Errorf("an incomplete response has the [DONE] marker:\n%s", body)
		}
		_, last, found := strings.Cut(body, "event: error\ndata: ")
		if !found {
			t.Fatalf("no error event in:\n%s", body)
		}
		if e := decodeError(t, last); e.Outcome != request.MayHaveRun || e.Reason != request.ReasonAnswerIncomplete {
			t.Errorf("got error event %+v, want MayHaveRun and AnswerIncomplete", e)
		}
	})
	t.Run("buffered", func(t *testing.T) {
		resp, body := sendRequest(t, srv.URL, http.MethodPost, chatPath, validChat, nil)
		e := decodeError(t, body)
		if resp.StatusCode != http.StatusBadGateway || e.Outcome != request.MayHaveRun || e.RetryAfter < 500 || e.RetryAfter > 750 {
			t.Errorf("got status %d and %+v, want 502, MayHaveRun and a retry after 500 to 750 ms", resp.StatusCode, e)
		}
		if resp.Header.Get("Retry-After") != "1" {
			t.Errorf("got Retry-After %q, want 1 s", resp.Header.Get("Retry-After"))
		}
	})
	t.Run("service", func(t *testing.T) {
		_, body := sendRequest(t, srv.URL, http.MethodGet, "/services/booking/x", "", nil)
		if !strings.HasSuffix(body, "(truncated)") {
			t.Errorf("an incomplete response of %d bytes ended without an error", len(body))
		}
	})
}

func TestCallerRefusesBeforeFilterChain(t *testing.T) {
	draining := testSnapshot(testNow)
	draining.Draining = true
	for _, c := range []struct {
		name   string
		snap   *catalogue.Snapshot
		limit  int
		reason request.Reason
	}{
		{"no snapshot yet", nil, 1, request.ReasonStaleView},
		{"snapshot too old", testSnapshot(testNow - 5_001), 1, request.ReasonStaleView},
		{"draining", draining, 1, request.ReasonDraining},
		{"too many requests", testSnapshot(testNow), 0, request.ReasonOverloaded},
		{"no memory for the body", testSnapshot(testNow), 1, request.ReasonMemory},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller := testCaller(c.snap, func(context.Context, *request.Call) error {
				t.Error("the filter chain was called")
				return nil
			})
			caller.Settings.Limits.InFlight = c.limit
			if c.reason == request.ReasonMemory {
				caller.Budget = &delivery.Budget{Total: int64(len(validChat)) - 1}
			}
			srv := serveTest(t, caller)
			resp, body := sendRequest(t, srv.URL, http.MethodPost, chatPath, validChat, nil)
			e := decodeError(t, body)
			if resp.StatusCode != http.StatusServiceUnavailable || e.Outcome != request.NotRun || e.Reason != c.reason || e.RetryAfter == 0 {
				t.Errorf("got status %d and %+v, want a retryable NotRun refusal with 503", resp.StatusCode, e)
			}
		})
	}
}
