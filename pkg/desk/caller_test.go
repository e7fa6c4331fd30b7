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

const goodChat = `{"model": "profile:chat", "messages": [{"role": "user", "content": "habari"}]}`

func TestCallerRefusesAndNamesTheField(t *testing.T) {
	type verdict struct {
		Status  int
		Outcome request.Outcome
		Reason  request.Reason
		Field   string
	}
	bad := func(field string) verdict {
		return verdict{http.StatusBadRequest, request.NotRun, request.ReasonBadRequest, field}
	}
	for _, c := range []struct {
		name    string
		method  string
		path    string
		body    string
		headers map[string]string
		want    verdict
	}{
		{name: "no key", headers: map[string]string{"Authorization": ""}, want: verdict{401, request.NotRun, request.ReasonUnauthorized, ""}},
		{name: "wrong key", headers: map[string]string{"Authorization": "Bearer " + guestKey + "x"}, want: verdict{401, request.NotRun, request.ReasonUnauthorized, ""}},
		{name: "digest as key", headers: map[string]string{"Authorization": "Bearer " + digestOf(guestKey)}, want: verdict{401, request.NotRun, request.ReasonUnauthorized, ""}},
		{name: "other scheme", headers: map[string]string{"Authorization": "Basic " + guestKey}, want: verdict{401, request.NotRun, request.ReasonUnauthorized, ""}},
		{name: "body too large", body: strings.Repeat(" ", 2000), want: verdict{413, request.NotRun, request.ReasonTooLarge, ""}},
		{name: "not JSON", body: `{"messages": [`, want: bad("body")},
		{name: "JSON of another kind", body: `[1]`, want: bad("body")},
		{name: "messages of another type", body: `{"messages": "habari"}`, want: bad("messages")},
		{name: "no messages", body: `{"model": "profile:chat"}`, want: bad("messages")},
		{name: "message without a role", body: `{"model": "profile:chat", "messages": [{"content": "x"}]}`, want: bad("messages")},
		{name: "content in parts", body: `{"messages": [{"role": "user", "content": [{"type": "text"}]}]}`, want: bad("messages")},
		{name: "model that is no profile", body: strings.Replace(goodChat, "profile:chat", "chai", 1), want: bad("model")},
		{name: "stream of another type", body: strings.Replace(goodChat, `{"model"`, `{"stream": 1, "model"`, 1), want: bad("stream")},
		{name: "negative max_tokens", body: strings.Replace(goodChat, `{"model"`, `{"max_tokens": -1, "model"`, 1), want: bad("max_tokens")},
		{name: "several answers", body: strings.Replace(goodChat, `{"model"`, `{"n": 2, "model"`, 1), want: bad("n")},
		{name: "negative deadline", headers: map[string]string{HeaderDeadline: "-5"}, want: bad(HeaderDeadline)},
		{name: "deadline of zero", headers: map[string]string{HeaderDeadline: "0"}, want: bad(HeaderDeadline)},
		{name: "deadline with a unit", headers: map[string]string{HeaderDeadline: "5s"}, want: bad(HeaderDeadline)},
		{name: "deadline beyond all bounds", headers: map[string]string{HeaderDeadline: "99999999999999999999"}, want: bad(HeaderDeadline)},
		{name: "repeatable of another kind", headers: map[string]string{HeaderRepeatable: "no"}, want: bad(HeaderRepeatable)},
		{name: "not repeatable without a key", headers: map[string]string{HeaderRepeatable: "false"}, want: bad(HeaderRequestKey)},
		{name: "request id with a blank", headers: map[string]string{HeaderRequestID: "a b"}, want: bad(HeaderRequestID)},
		{name: "request id too long", headers: map[string]string{HeaderRequestID: strings.Repeat("x", 129)}, want: bad(HeaderRequestID)},
		{name: "profile not allowed", headers: map[string]string{HeaderProfile: "notes"}, want: verdict{403, request.NotRun, request.ReasonForbidden, HeaderProfile}},
		{name: "profile not known", headers: map[string]string{HeaderProfile: "gone"}, want: verdict{403, request.NotRun, request.ReasonForbidden, HeaderProfile}},
		{name: "no such path", path: "/v2/chat", want: verdict{404, request.NotRun, request.ReasonNotFound, ""}},
		{name: "no such service", path: "/services/other/x", want: verdict{404, request.NotRun, request.ReasonNotFound, ""}},
		{name: "service not allowed", path: "/services/ledger/x", headers: map[string]string{HeaderRequestKey: "k"}, want: verdict{403, request.NotRun, request.ReasonForbidden, "service"}},
		{name: "service call that must not run twice without a key", path: "/services/booking/tables", want: bad(HeaderRequestKey)},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller := testCaller(testSnapshot(testNow), func(context.Context, *request.Call) error {
				t.Error("the line was asked")
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
				c.body = goodChat
			}
			resp, body := ask(t, srv.URL, c.method, c.path, c.body, c.headers)
			e := errorOf(t, body)
			got := verdict{resp.StatusCode, e.Outcome, e.Reason, e.Field}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("refusal (-want +got):\n%s\n%s", diff, body)
			}
			if b := caller.Budget; b != nil {
				if _, ok := b.Open(b.Total); !ok {
					t.Error("memory is still reserved after the answer")
				}
			}
			if n := caller.InFlight.Count(); n != 0 {
				t.Errorf("%d requests in flight after the answer", n)
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
			ask(t, srv.URL, c.method, c.path, c.body, headers)
			got.Header = nil
			c.want.ID, c.want.Workspace, c.want.ArrivedAt = "r-1", "guests", testNow
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("request (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCallerAnswersChatWhole(t *testing.T) {
	srv := serveTest(t, testCaller(testSnapshot(testNow), answerChat))
	resp, body := ask(t, srv.URL, http.MethodPost, chatPath, goodChat, map[string]string{HeaderRequestID: "r-1"})
	const want = `{"id":"r-1","object":"chat.completion","created":1000,"model":"chai@1","choices":[{"index":0,` +
		`"message":{"role":"assistant","content":"karibu sana"},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7,"cost":9}}` + "\n"
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	wantHeaders := map[string]string{
		HeaderRequestID: "r-1", HeaderVersion: "chai@1", HeaderUpstream: "engine-1", HeaderCost: "9",
		HeaderOutcome: "Ran", HeaderPin: "pin-1",
	}
	if diff := cmp.Diff(wantHeaders, headersOf(resp.Header, wantHeaders)); diff != "" {
		t.Errorf("headers (-want +got):\n%s", diff)
	}
}

func TestCallerStreamsChat(t *testing.T) {
	srv := serveTest(t, testCaller(testSnapshot(testNow), answerChat))
	resp, body := ask(t, srv.URL, http.MethodPost, chatPath, strings.Replace(goodChat, `{"model"`, `{"stream": true, "model"`, 1),
		map[string]string{HeaderRequestID: "r-1"})
	const chunk = `data: {"id":"r-1","object":"chat.completion.chunk","created":1000,"model":"chai@1",`
	want := chunk + `"offset":0,"choices":[{"index":0,"delta":{"content":"karibu "},"finish_reason":null}]}` + "\n\n" +
		chunk + `"offset":1,"choices":[{"index":0,"delta":{"content":"sana"},"finish_reason":null}]}` + "\n\n" +
		chunk + `"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7,"cost":9}}` + "\n\n" +
		"data: [DONE]\n\n"
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	wantTrailers := map[string]string{HeaderCost: "9", HeaderOutcome: "Ran"}
	if diff := cmp.Diff(wantTrailers, headersOf(resp.Trailer, wantTrailers)); diff != "" {
		t.Errorf("trailers (-want +got):\n%s", diff)
	}
}

func headersOf(h http.Header, names map[string]string) map[string]string {
	out := map[string]string{}
	for name := range names {
		out[name] = h.Get(name)
	}
	return out
}

// failMidway answers with a part and is then cut.
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

func TestP07CallerTellsThatAnAnswerIsNotWhole(t *testing.T) {
	srv := serveTest(t, testCaller(testSnapshot(testNow), failMidway))

	t.Run("stream", func(t *testing.T) {
		_, body := ask(t, srv.URL, http.MethodPost, chatPath, strings.Replace(goodChat, `{"model"`, `{"stream": true, "model"`, 1), nil)
		if strings.Contains(body, "[DONE]") {
			t.Errorf("a cut answer has the end mark:\n%s", body)
		}
		_, last, found := strings.Cut(body, "event: error\ndata: ")
		if !found {
			t.Fatalf("no error event in:\n%s", body)
		}
		if e := errorOf(t, last); e.Outcome != request.MayHaveRun || e.Reason != request.ReasonAnswerIncomplete {
			t.Errorf("error event %+v", e)
		}
	})
	t.Run("whole", func(t *testing.T) {
		resp, body := ask(t, srv.URL, http.MethodPost, chatPath, goodChat, nil)
		e := errorOf(t, body)
		if resp.StatusCode != http.StatusBadGateway || e.Outcome != request.MayHaveRun || e.RetryAfter < 500 || e.RetryAfter > 750 {
			t.Errorf("status %d, %+v", resp.StatusCode, e)
		}
		if resp.Header.Get("Retry-After") != "1" {
			t.Errorf("Retry-After %q, want 1 s", resp.Header.Get("Retry-After"))
		}
	})
	t.Run("service", func(t *testing.T) {
		_, body := ask(t, srv.URL, http.MethodGet, "/services/booking/x", "", nil)
		if !strings.HasSuffix(body, "(broken off)") {
			t.Errorf("a cut answer of %d bytes came to a clean end", len(body))
		}
	})
}

func TestCallerRefusesBeforeTheLine(t *testing.T) {
	draining := testSnapshot(testNow)
	draining.Draining = true
	for _, c := range []struct {
		name   string
		snap   *catalogue.Snapshot
		limit  int
		reason request.Reason
	}{
		{"no view yet", nil, 1, request.ReasonStaleView},
		{"view too old", testSnapshot(testNow - 5_001), 1, request.ReasonStaleView},
		{"draining", draining, 1, request.ReasonDraining},
		{"too many requests", testSnapshot(testNow), 0, request.ReasonOverloaded},
		{"no memory for the body", testSnapshot(testNow), 1, request.ReasonMemory},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller := testCaller(c.snap, func(context.Context, *request.Call) error {
				t.Error("the line was asked")
				return nil
			})
			caller.Settings.Limits.InFlight = c.limit
			if c.reason == request.ReasonMemory {
				caller.Budget = &delivery.Budget{Total: int64(len(goodChat)) - 1}
			}
			srv := serveTest(t, caller)
			resp, body := ask(t, srv.URL, http.MethodPost, chatPath, goodChat, nil)
			e := errorOf(t, body)
			if resp.StatusCode != http.StatusServiceUnavailable || e.Outcome != request.NotRun || e.Reason != c.reason || e.RetryAfter == 0 {
				t.Errorf("status %d, %+v", resp.StatusCode, e)
			}
		})
	}
}
