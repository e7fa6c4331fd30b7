package delivery

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

const (
	chatPath = "/v1/chat/completions"
	// resumeLimit bounds how often a broken stream is resumed without a further token.
	resumeLimit = 3
)

// chat sends a chat completion and passes its answer on.
func (a *attempt) chat() error {
	hold, ok := a.Budget.Open(floorBytes)
	if !ok {
		return request.Refuse(request.ReasonMemory, retrySoon, "the memory for answers is used up")
	}
	q := newQueue(hold, a.Clock, a.Settings.Times.SlowReader, !a.call.Request.Repeatable)
	defer q.leave()
	produced := make(chan error, 1)
	a.wg.Go(func() {
		defer q.close()
		produced <- a.produce(q)
	})
	if err := a.deliver(q); err != nil {
		q.leave()
		a.giveUp(errReaderGone)
		<-produced
		return err
	}
	if err := <-produced; err != nil {
		return err
	}
	return a.finish()
}

// finish charges the complete answer and tells the caller its end.
func (a *attempt) finish() error {
	a.chargeUsage(*a.end)
	if err := a.writeHead(); err != nil {
		return err
	}
	if err := a.call.Writer.WriteEnd(a.ctx, a.call, *a.end); err != nil {
		return &writeError{cause: err}
	}
	return nil
}

// deliver writes the chunks to the caller until the queue is closed or the attempt is given up.
func (a *attempt) deliver(q *queue) error {
	for {
		k, n, open := q.take(a.ctx)
		if !open {
			return nil
		}
		if err := a.writeHead(); err != nil {
			return err
		}
		err := a.call.Writer.WriteChunk(a.ctx, a.call, k)
		q.wrote(n)
		if err != nil {
			return &writeError{cause: err}
		}
	}
}

// writeHead begins the answer, once.
func (a *attempt) writeHead() error {
	if a.headed {
		return nil
	}
	a.headed = true
	h := request.Head{Status: http.StatusOK, Header: http.Header{}}
	if err := a.call.Writer.WriteHead(a.ctx, a.call, h); err != nil {
		return &writeError{cause: err}
	}
	return nil
}

// produce reads the answer into the queue; it resumes a broken stream, and one that was put off for a slow reader.
func (a *attempt) produce(q *queue) error {
	idle := 0
	for {
		before := a.offset
		err := a.stream(q)
		if err == nil {
			return nil
		}
		if a.offset > before {
			idle = 0
		}
		if idle >= resumeLimit || !a.resumable(err) {
			return err
		}
		if !errors.Is(err, errSlowReader) {
			idle++
			continue
		}
		if err := a.putOff(q); err != nil {
			return err
		}
	}
}

// resumable tells whether the engine may be asked to go on after err.
func (a *attempt) resumable(err error) bool {
	if !a.call.Request.Repeatable || a.offset == 0 || a.ctx.Err() != nil {
		return false
	}
	var (
		cut    *cutError
		status *statusError
	)
	if errors.As(err, &status) {
		// The engine no longer holds the request.
		return false
	}
	return errors.Is(err, errSlowReader) || errors.As(err, &cut)
}

// putOff stops the engine until the reader has made room, so that neither side holds the answer.
func (a *attempt) putOff(q *queue) error {
	a.watch.pause()
	defer a.watch.resume()
	if a.Cancel != nil {
		if err := a.cancel(a.ctx, a.call.Upstream.Address, a.id, true); err != nil {
			a.log().V(1).Info("could not put off", "request", a.id, "error", err.Error())
		}
	}
	return q.drained(a.ctx)
}

// stream sends the request, or asks the engine to go on at the offset, and reads events until the end mark.
func (a *attempt) stream(q *queue) error {
	req, err := a.chatRequest()
	if err != nil {
		return err
	}
	permit := a.permitted
	if a.offset > 0 {
		// Going on with work that was permitted is no new work.
		permit = func() error { return nil }
	}
	resp, err := a.do(req, permit)
	if err != nil {
		if a.offset > 0 {
			return &cutError{cause: err}
		}
		return err
	}
	err = a.readAnswer(q, resp)
	var status *statusError
	if err == nil || errors.As(err, &status) {
		a.rest = resp.Body
	} else {
		resp.Body.Close()
	}
	if a.offset > 0 && status != nil {
		return &cutError{cause: err}
	}
	return err
}

func (a *attempt) readAnswer(q *queue, resp *http.Response) error {
	if err := a.checkHead(resp); err != nil {
		return err
	}
	return a.events(q, NewEventReader(resp.Body))
}

type chatBody struct {
	Model     string            `json:"model"`
	Messages  []request.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream"`
}

func (a *attempt) chatRequest() (*http.Request, error) {
	r := a.call.Request
	body, err := encodeChat(chatBody{
		Model: string(a.call.Version.ID), Messages: r.Messages, MaxTokens: r.MaxTokens, Stream: true,
	}, r.Options)
	if err != nil {
		return nil, err
	}
	url := "http://" + a.call.Upstream.Address + chatPath
	req, err := http.NewRequestWithContext(a.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(requestIDHeader, a.id)
	if a.call.Profile != nil {
		req.Header.Set("X-Priority", strconv.Itoa(a.call.Profile.Priority))
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	if a.offset > 0 {
		req.Header.Set("X-Resume-Offset", strconv.Itoa(a.offset))
	}
	return req, nil
}

// encodeChat writes the body with the caller's further fields, which can't replace the fields of body.
func encodeChat(body chatBody, options map[string]json.RawMessage) ([]byte, error) {
	b, err := json.Marshal(body)
	if err != nil || len(options) == 0 {
		return b, errors.Wrap(err, "body")
	}
	fields := map[string]json.RawMessage{}
	for name, v := range options {
		fields[name] = v
	}
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	b, err = json.Marshal(fields)
	return b, errors.Wrap(err, "body")
}

// checkHead returns an error for a head that does not begin the answer to this request.
func (a *attempt) checkHead(resp *http.Response) error {
	if err := a.checkEcho(resp); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	return a.statusError(resp)
}

// checkEcho returns an error for an answer that does not bear the id of this request; a refusal without any id may come
// from something in front of the upstream, and proves nothing.
func (a *attempt) checkEcho(resp *http.Response) error {
	got := resp.Header.Get(requestIDHeader)
	if got == a.id {
		return nil
	}
	a.abandon()
	if got == "" && resp.StatusCode >= http.StatusBadRequest {
		return a.statusError(resp)
	}
	return &mismatchError{Field: requestIDHeader, Want: a.id, Got: got}
}

func (a *attempt) statusError(resp *http.Response) *statusError {
	own := resp.Header.Get(requestIDHeader) == a.id
	return &statusError{
		Status:     resp.StatusCode,
		RetryAfter: retryAfter(resp.Header),
		proved:     own && a.provesNotRun(resp.StatusCode),
	}
}

// provesNotRun tells whether the status proves, by the contract of the upstream, that the request did not run.
func (a *attempt) provesNotRun(status int) bool {
	if !a.call.Upstream.Rule.RefusalIsNotRun {
		return false
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	case http.StatusBadRequest:
		// An engine answers so for a version that is not loaded.
		return a.call.Version != nil
	}
	return false
}

// events reads events into the queue until the end mark.
func (a *attempt) events(q *queue, r *EventReader) error {
	check := &order{id: a.id, version: a.call.Version.ID, offset: a.offset, resumed: a.offset > 0}
	for {
		ev, err := r.Next()
		if err != nil {
			return a.broken(err)
		}
		if ev.IsEnd() {
			if check.end == nil {
				return &cutError{cause: ErrCut}
			}
			a.end = check.end
			return nil
		}
		t, err := parseChatEvent(ev)
		if err != nil {
			return &cutError{cause: err}
		}
		k, err := check.next(t)
		if err != nil {
			return err
		}
		if k.Tokens == 0 {
			continue
		}
		if err := a.enqueue(q, k); err != nil {
			return err
		}
	}
}

// broken returns why the reading of an answer failed: the attempt was given up, or the answer was cut.
func (a *attempt) broken(err error) error {
	if cause := context.Cause(a.ctx); cause != nil && !errors.Is(cause, errStalled) {
		return cause
	}
	return &cutError{cause: err}
}

func (a *attempt) enqueue(q *queue, k request.Chunk) error {
	a.watch.pause()
	defer a.watch.resume()
	if err := q.put(a.ctx, k); err != nil {
		return err
	}
	if a.offset == 0 {
		a.firstToken = max(a.Clock.Now()-a.began, 1)
	}
	a.offset = k.Offset + k.Tokens
	return nil
}
