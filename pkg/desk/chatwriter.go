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

// chatUsage has the token counts, and the cost in millionths.
type chatUsage struct {
	PromptTokens     int              `json:"prompt_tokens"`
	CompletionTokens int              `json:"completion_tokens"`
	TotalTokens      int              `json:"total_tokens"`
	Cost             catalogue.Micros `json:"cost"`
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Offset  *int         `json:"offset,omitempty"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func newChatResponse(c *request.Call, clk clock.Clock, object string, choice chatChoice) *chatResponse {
	resp := &chatResponse{
		ID:      c.Request.ID,
		Object:  object,
		Created: int64(clk.Wall() / clock.Second),
		Choices: []chatChoice{choice},
	}
	if c.Version != nil {
		resp.Model = string(c.Version.ID)
	}
	return resp
}

func newUsage(c *request.Call, e request.End) *chatUsage {
	return &chatUsage{
		PromptTokens:     e.InputTokens,
		CompletionTokens: e.OutputTokens,
		TotalTokens:      e.InputTokens + e.OutputTokens,
		Cost:             c.Cost(),
	}
}

// streamWriter sends a response as server-sent events.
// Headers are sent with the first token, so that until then the call can be retried at another upstream.
type streamWriter struct {
	*output
}

// WriteHead sends nothing; the headers follow with the first token.
func (s *streamWriter) WriteHead(context.Context, *request.Call, request.Head) error { return nil }

// WriteChunk sends the tokens as one event.
func (s *streamWriter) WriteChunk(_ context.Context, c *request.Call, k request.Chunk) error {
	s.startStream(c)
	resp := newChatResponse(c, s.clock, "chat.completion.chunk", chatChoice{Delta: &chatDelta{Content: k.Text}})
	resp.Offset = &k.Offset
	return s.writeEvent("", resp)
}

// WriteBytes fails, as chat completions are written in chunks.
func (s *streamWriter) WriteBytes(context.Context, *request.Call, []byte) error {
	return errBytesInChat
}

// WriteEnd sends the event with finish reason and usage, and the [DONE] marker.
func (s *streamWriter) WriteEnd(_ context.Context, c *request.Call, e request.End) error {
	s.startStream(c)
	resp := newChatResponse(c, s.clock, "chat.completion.chunk", chatChoice{Delta: &chatDelta{}, FinishReason: &e.FinishReason})
	resp.Usage = newUsage(c, e)
	if err := s.writeEvent("", resp); err != nil {
		return err
	}
	s.setResultHeaders(c, request.Ran)
	if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *streamWriter) startStream(c *request.Call) {
	if s.started {
		return
	}
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", HeaderCost+", "+HeaderOutcome)
	s.start(c, http.StatusOK)
}

func (s *streamWriter) writeEvent(name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var event strings.Builder
	if name != "" {
		event.WriteString("event: " + name + "\n")
	}
	event.WriteString("data: ")
	event.Write(b)
	event.WriteString("\n\n")
	if _, err := s.w.Write([]byte(event.String())); err != nil {
		return err
	}
	return s.rc.Flush()
}

// fail notifies the caller that the response is incomplete; a started stream ends with an error event and no [DONE] marker.
func (s *streamWriter) fail(c *request.Call, err error) {
	if !s.started {
		s.setCallHeaders(c)
		writeError(s.w, err)
		return
	}
	_, body := errorBody(err)
	s.setResultHeaders(c, body.Outcome)
	_ = s.writeEvent("error", body)
}

// bufferedWriter collects a response and writes it as one JSON object.
type bufferedWriter struct {
	*output
	budget *delivery.Budget
	memory *delivery.Allocation
	text   strings.Builder
}

// WriteHead starts a response and drops what an earlier attempt left.
func (s *bufferedWriter) WriteHead(context.Context, *request.Call, request.Head) error {
	s.reset()
	if s.budget != nil {
		s.memory, _ = s.budget.Reserve(0)
	}
	return nil
}

// WriteChunk buffers the tokens and fails when they exceed the memory budget.
func (s *bufferedWriter) WriteChunk(_ context.Context, _ *request.Call, k request.Chunk) error {
	if s.memory != nil && !s.memory.TryAcquire(int64(len(k.Text))) {
		return request.Refuse(request.ReasonMemory, defaultRetryAfter, "the answer is too long to be held, ask with stream set to true")
	}
	s.text.WriteString(k.Text)
	return nil
}

// WriteBytes fails, as chat completions are written in chunks.
func (s *bufferedWriter) WriteBytes(context.Context, *request.Call, []byte) error {
	return errBytesInChat
}

// WriteEnd writes the whole response.
func (s *bufferedWriter) WriteEnd(_ context.Context, c *request.Call, e request.End) error {
	resp := newChatResponse(c, s.clock, "chat.completion", chatChoice{
		Message:      &chatDelta{Role: "assistant", Content: s.text.String()},
		FinishReason: &e.FinishReason,
	})
	resp.Usage = newUsage(c, e)
	b, err := json.Marshal(resp)
	defer s.reset()
	if err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.setResultHeaders(c, request.Ran)
	s.start(c, http.StatusOK)
	if _, err := s.w.Write(append(b, '\n')); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *bufferedWriter) reset() {
	if s.memory != nil {
		s.memory.Close()
		s.memory = nil
	}
	s.text.Reset()
}

// fail writes the error in place of the response.
func (s *bufferedWriter) fail(c *request.Call, err error) {
	s.reset()
	if s.started {
		return
	}
	s.setCallHeaders(c)
	writeError(s.w, err)
}
