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

// Chat is a chat completion that a caller asks for.
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

// Booking is a call of the plain service.
type Booking struct {
	ID       string
	Key      string
	Method   string
	Path     string
	Body     string
	Deadline clock.Millis
}

// NewKey returns a request key of the present time, which ends with the text.
func NewKey(text string) string { return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), text) }

// Reply is what a caller got.
type Reply struct {
	// Err is set when the connection broke before the end of the answer.
	Err    error
	Status int
	Header http.Header
	Body   string
	// Error is the error body, or the error event of a stream.
	Error Refused
	// Text and Whole are the answer of a chat and whether it came with its end.
	Text  string
	Whole bool
}

// Refused is the error body.
type Refused struct {
	Outcome    request.Outcome
	Reason     request.Reason
	Field      string
	Detail     string
	RetryAfter clock.Millis
}

// caller has no time limit and does not send anything twice by itself for lack of idle connections.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Send sends a booking; ctx ends it as a caller does who leaves.
func (d *Daemon) Send(ctx context.Context, b Booking) Reply {
	method, path := b.Method, b.Path
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = "/tables"
	}
	h := http.Header{}
	set(h, "Carawayknot-Request-Key", b.Key)
	set(h, "Carawayknot-Request-Id", b.ID)
	setDeadline(h, b.Deadline)
	return d.send(ctx, method, "/services/"+ServiceName+path, h, b.Body)
}

// Chat sends a chat completion.
func (d *Daemon) Chat(ctx context.Context, c Chat) Reply {
	if c.Profile == "" {
		c.Profile = "reply"
	}
	h := http.Header{}
	set(h, "Content-Type", "application/json")
	set(h, "Carawayknot-Profile", c.Profile)
	set(h, "Carawayknot-Request-Id", c.ID)
	set(h, "Carawayknot-Session", c.Session)
	set(h, "Carawayknot-Pin", c.Pin)
	setDeadline(h, c.Deadline)
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
		r.read(c.Stream)
	}
	return r
}

func set(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func setDeadline(h http.Header, d clock.Millis) {
	if d > 0 {
		h.Set("Carawayknot-Deadline", strconv.FormatInt(int64(d), 10))
	}
}

// callTime is how long a caller waits for the end of an answer; a test that sees it pass has found a request that hangs.
const callTime = 90 * time.Second

func (d *Daemon) send(ctx context.Context, method, path string, h http.Header, body string) Reply {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	req.Header = h
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	req.GetBody = nil
	resp, err := caller.Do(req)
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

// Outcome returns the outcome that the caller was told; a whole answer says Ran.
func (r Reply) Outcome() request.Outcome {
	if r.Error.Outcome != "" {
		return r.Error.Outcome
	}
	return request.Outcome(r.Header.Get("Carawayknot-Outcome"))
}

type chatPiece struct {
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

// read takes the text out of the answer.
func (r *Reply) read(stream bool) {
	if !stream {
		var p chatPiece
		if json.Unmarshal([]byte(r.Body), &p) == nil && len(p.Choices) == 1 && r.Err == nil {
			r.Text, r.Whole = p.Choices[0].Message.Content, p.Choices[0].FinishReason != nil
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
		r.take(event, data)
		event = ""
	}
}

func (r *Reply) take(event, data string) {
	var p chatPiece
	switch {
	case event == "error":
		_ = json.Unmarshal([]byte(data), &r.Error)
	case data == "[DONE]":
		r.Whole = r.Err == nil
	case json.Unmarshal([]byte(data), &p) == nil && len(p.Choices) == 1:
		r.Text += p.Choices[0].Delta.Content
	}
}
