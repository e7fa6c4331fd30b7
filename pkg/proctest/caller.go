package proctest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Chat is a chat completion request; an empty Profile means "reply".
type Chat struct {
	ID        string
	Profile   string
	Session   string
	Pin       string
	Content   string
	MaxTokens int
	Stream    bool
	Deadline  clock.Millis
}

// Booking is a request to the booking service; an empty Method means POST and an empty Path means "/tables".
type Booking struct {
	ID       string
	Key      string
	Method   string
	Path     string
	Body     string
	Deadline clock.Millis
}

// NewKey returns an idempotency key that starts with the current time in Unix milliseconds and ends with suffix.
func NewKey(suffix string) string { return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), suffix) }

// Reply is the outcome of one call as its caller received it.
type Reply struct {
	// Err is set when the connection failed before the end of the response.
	Err    error
	Status int
	Header http.Header
	Body   string
	// Error is the decoded error body, or the error event of a stream.
	Error ErrorBody
	// Text is the text of a chat answer, and Whole reports whether the answer arrived with its end marker.
	Text  string
	Whole bool
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Outcome    request.Outcome
	Reason     request.Reason
	Field      string
	Detail     string
	RetryAfter clock.Millis
}

// callerClient never retries by itself: net/http resends a request only on a reused connection, and keep-alive is off.
// The time limit comes from the context of each call.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Book sends a booking; cancelling ctx closes the connection as a disconnecting caller does.
func (d *Daemon) Book(ctx context.Context, b Booking) Reply {
	method, path := b.Method, b.Path
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = "/tables"
	}
	h := http.Header{}
	setHeader(h, "Carawayknot-Request-Key", b.Key)
	setHeader(h, "Carawayknot-Request-Id", b.ID)
	setDeadlineHeader(h, b.Deadline)
	return d.send(ctx, method, "/services/"+ServiceName+path, h, b.Body)
}

// Chat sends a chat completion request and parses the answer, streamed or not.
func (d *Daemon) Chat(ctx context.Context, c Chat) Reply {
	if c.Profile == "" {
		c.Profile = "reply"
	}
	h := http.Header{}
	setHeader(h, "Content-Type", "application/json")
	setHeader(h, "Carawayknot-Profile", c.Profile)
	setHeader(h, "Carawayknot-Request-Id", c.ID)
	setHeader(h, "Carawayknot-Session", c.Session)
	setHeader(h, "Carawayknot-Pin", c.Pin)
	setDeadlineHeader(h, c.Deadline)
	body := map[string]any{
		"model":    "profile:" + c.Profile,
		"stream":   c.Stream,
		"messages": []request.Message{{Role: "user", Content: c.Content}},
	}
	if c.MaxTokens > 0 {
		body["max_tokens"] = c.MaxTokens
	}
	raw, _ := json.Marshal(body)
	r := d.send(ctx, http.MethodPost, "/v1/chat/completions", h, string(raw))
	if r.Status == http.StatusOK {
		r.parseChat(c.Stream)
	}
	return r
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func setDeadlineHeader(h http.Header, d clock.Millis) {
	if d > 0 {
		h.Set("Carawayknot-Deadline", strconv.FormatInt(int64(d), 10))
	}
}

// callTimeout limits one call including its response; a call that reaches it hangs, which is a fault.
const callTimeout = 90 * time.Second

func (d *Daemon) send(ctx context.Context, method, path string, h http.Header, body string) Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	req.Header = h
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	req.GetBody = nil
	resp, err := callerClient.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	r := Reply{Err: err, Status: resp.StatusCode, Header: resp.Header, Body: string(raw)}
	if r.Status >= http.StatusBadRequest {
		_ = json.Unmarshal(raw, &r.Error)
	}
	return r
}

// Outcome returns the outcome stated in the error body, else in the response header, else ""; a complete answer states Ran.
func (r Reply) Outcome() request.Outcome {
	if r.Error.Outcome != "" {
		return r.Error.Outcome
	}
	return request.Outcome(r.Header.Get("Carawayknot-Outcome"))
}

type chatChunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

// parseChat sets Text, Whole and Error from the response body.
func (r *Reply) parseChat(stream bool) {
	if !stream {
		var chunk chatChunk
		if json.Unmarshal([]byte(r.Body), &chunk) == nil && len(chunk.Choices) == 1 && r.Err == nil {
			r.Text, r.Whole = chunk.Choices[0].Message.Content, chunk.Choices[0].FinishReason != nil
		}
		return
	}
	lines := bufio.NewScanner(strings.NewReader(r.Body))
	lines.Buffer(nil, 1<<20)
	event := ""
	for lines.Scan() {
		if name, found := strings.CutPrefix(lines.Text(), "event: "); found {
			event = name
		}
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		r.applyEvent(event, data)
		event = ""
	}
}

func (r *Reply) applyEvent(event, data string) {
	var chunk chatChunk
	switch {
	case event == "error":
		_ = json.Unmarshal([]byte(data), &r.Error)
	case data == "[DONE]":
		r.Whole = r.Err == nil
	case json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1:
		r.Text += chunk.Choices[0].Delta.Content
	}
}
