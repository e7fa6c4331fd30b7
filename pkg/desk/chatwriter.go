package desk

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
)

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Message      *chatDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

// chatUsage tells tokens, and the cost in millionths.
type chatUsage struct {
	PromptTokens     int              `json:"prompt_tokens"`
	CompletionTokens int              `json:"completion_tokens"`
	TotalTokens      int              `json:"total_tokens"`
	Cost             catalogue.Micros `json:"cost"`
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Offset  *int         `json:"offset,omitempty"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func newAnswer(c *request.Call, clk clock.Clock, object string, choice chatChoice) *chatAnswer {
	a := &chatAnswer{
		ID:      c.Request.ID,
		Object:  object,
		Created: int64(clk.Wall() / clock.Second),
		Choices: []chatChoice{choice},
	}
	if c.Version != nil {
		a.Model = string(c.Version.ID)
	}
	return a
}

func newUsage(c *request.Call, e request.End) *chatUsage {
	return &chatUsage{
		PromptTokens:     e.InputTokens,
		CompletionTokens: e.OutputTokens,
		TotalTokens:      e.InputTokens + e.OutputTokens,
		Cost:             c.Cost(),
	}
}

// streamWriter passes an answer on as server-sent events.
// The head goes out with the first token, so that until then another upstream can be tried.
type streamWriter struct {
	*output
}

// WriteHead begins an answer.
func (s *streamWriter) WriteHead(context.Context, *request.Call, request.Head) error { return nil }

// WriteChunk passes tokens on.
func (s *streamWriter) WriteChunk(_ context.Context, c *request.Call, k request.Chunk) error {
	s.begin(c)
	a := newAnswer(c, s.clock, "chat.completion.chunk", chatChoice{Delta: &chatDelta{Content: k.Text}})
	a.Offset = &k.Offset
	return s.event("", a)
}

// WriteBytes is not used for chat completions.
func (s *streamWriter) WriteBytes(context.Context, *request.Call, []byte) error { return errNoBytes }

// WriteEnd writes the last event and the end mark.
func (s *streamWriter) WriteEnd(_ context.Context, c *request.Call, e request.End) error {
	s.begin(c)
	a := newAnswer(c, s.clock, "chat.completion.chunk", chatChoice{Delta: &chatDelta{}, FinishReason: &e.FinishReason})
	a.Usage = newUsage(c, e)
	if err := s.event("", a); err != nil {
		return err
	}
	s.setResult(c, request.Ran)
	if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *streamWriter) begin(c *request.Call) {
	if s.started {
		return
	}
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", HeaderCost+", "+HeaderOutcome)
	s.start(c, http.StatusOK)
}

func (s *streamWriter) event(name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var line strings.Builder
	if name != "" {
		line.WriteString("event: " + name + "\n")
	}
	line.WriteString("data: ")
	line.Write(b)
	line.WriteString("\n\n")
	if _, err := s.w.Write([]byte(line.String())); err != nil {
		return err
	}
	return s.rc.Flush()
}

// fail tells the caller that the answer is not whole; a started stream gets an error event and no end mark.
func (s *streamWriter) fail(c *request.Call, err error) {
	if !s.started {
		s.describe(c)
		writeError(s.w, err)
		return
	}
	_, body := errorBody(err)
	s.setResult(c, body.Outcome)
	_ = s.event("error", body)
}

// wholeWriter collects an answer and writes it as one JSON object.
type wholeWriter struct {
	*output
	budget *delivery.Budget
	hold   *delivery.Hold
	text   strings.Builder
}

// WriteHead begins an answer anew; what was collected of an earlier attempt is dropped.
func (s *wholeWriter) WriteHead(context.Context, *request.Call, request.Head) error {
	s.release()
	if s.budget != nil {
		s.hold, _ = s.budget.Open(0)
	}
	return nil
}

// WriteChunk collects tokens; it refuses what does not fit into the budget.
func (s *wholeWriter) WriteChunk(_ context.Context, _ *request.Call, k request.Chunk) error {
	if s.hold != nil && !s.hold.Take(int64(len(k.Text))) {
		return request.Refuse(request.ReasonMemory, retrySoon, "the answer is too long to be held, ask with stream set to true")
	}
	s.text.WriteString(k.Text)
	return nil
}

// WriteBytes is not used for chat completions.
func (s *wholeWriter) WriteBytes(context.Context, *request.Call, []byte) error { return errNoBytes }

// WriteEnd writes the answer.
func (s *wholeWriter) WriteEnd(_ context.Context, c *request.Call, e request.End) error {
	a := newAnswer(c, s.clock, "chat.completion", chatChoice{
		Message:      &chatDelta{Role: "assistant", Content: s.text.String()},
		FinishReason: &e.FinishReason,
	})
	a.Usage = newUsage(c, e)
	b, err := json.Marshal(a)
	defer s.release()
	if err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.setResult(c, request.Ran)
	s.start(c, http.StatusOK)
	if _, err := s.w.Write(append(b, '\n')); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *wholeWriter) release() {
	if s.hold != nil {
		s.hold.Close()
		s.hold = nil
	}
	s.text.Reset()
}

// fail writes the error in place of the answer.
func (s *wholeWriter) fail(c *request.Call, err error) {
	s.release()
	if s.started {
		return
	}
	s.describe(c)
	writeError(s.w, err)
}
