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
	// maxIdleResumes bounds consecutive resumes of a broken stream that yield no further token.
	maxIdleResumes = 3
)

// sendChat sends a chat completion and forwards the response.
func (a *attempt) sendChat() error {
	allocation, ok := a.Budget.Reserve(floorBytes)
	if !ok {
		return request.Refuse(request.ReasonMemory, retryAfterFailureMillis, "the memory for answers is used up")
	}
	q := newQueue(allocation, a.Clock, a.Settings.Times.SlowReader, !a.call.Request.Repeatable)
	defer q.closeReader()
	received := make(chan error, 1)
	a.wg.Go(func() {
		defer q.close()
		received <- a.receive(q)
	})
	if err := a.forwardChunks(q); err != nil {
		q.closeReader()
		a.abort(errReaderGone)
		<-received
		return err
	}
	if err := <-received; err != nil {
		return err
	}
	return a.finish()
}

// finish records the usage of the complete response and writes its end to the caller.
func (a *attempt) finish() error {
	a.recordUsage(*a.end)
	if err := a.writeHead(); err != nil {
		return err
	}
	if err := a.call.Writer.WriteEnd(a.ctx, a.call, *a.end); err != nil {
		return &writeError{cause: err}
	}
	return nil
}

// forwardChunks writes queued chunks to the caller until the queue is closed or the attempt is aborted.
func (a *attempt) forwardChunks(q *queue) error {
	for {
		k, n, open := q.take(a.ctx)
		if !open {
			return nil
		}
		if err := a.writeHead(); err != nil {
			return err
		}
		err := a.call.Writer.WriteChunk(a.ctx, a.call, k)
		q.release(n)
		if err != nil {
			return &writeError{cause: err}
		}
	}
}

// writeHead writes the response head unless it was written before.
func (a *attempt) writeHead() error {
	if a.headWritten {
		return nil
	}
	a.headWritten = true
	h := request.Head{Status: http.StatusOK, Header: http.Header{}}
	if err := a.call.Writer.WriteHead(a.ctx, a.call, h); err != nil {
		return &writeError{cause: err}
	}
	return nil
}

// receive reads the response into the queue; it resumes a stream that broke or that was paused for a slow reader.
func (a *attempt) receive(q *queue) error {
	idleResumes := 0
	for {
		before := a.offset
		err := a.streamOnce(q)
		if err == nil {
			return nil
		}
		if a.offset > before {
			idleResumes = 0
		}
		if idleResumes >= maxIdleResumes || !a.resumable(err) {
			return err
		}
		if !errors.Is(err, errSlowReader) {
			idleResumes++
			continue
		}
		if err := a.pauseEngine(q); err != nil {
			return err
		}
	}
}

// resumable reports whether the stream may be resumed at the engine after err.
func (a *attempt) resumable(err error) bool {
	if !a.call.Request.Repeatable || a.offset == 0 || a.ctx.Err() != nil {
		return false
	}
	var (
		incomplete *incompleteError
		status     *statusError
	)
	if errors.As(err, &status) {
		// The engine answered with an error status: it no longer retains the request.
		return false
	}
	return errors.Is(err, errSlowReader) || errors.As(err, &incomplete)
}

// pauseEngine stops generation until the reader has made room, so that neither side buffers the response.
func (a *attempt) pauseEngine(q *queue) error {
	a.watchdog.pause()
	defer a.watchdog.resume()
	if a.Cancel != nil {
		if err := a.cancelRequest(a.ctx, a.call.Upstream.Address, a.id, true); err != nil {
			a.log().V(1).Info("pausing the request at the upstream failed", "request", a.id, "error", err.Error())
		}
	}
	return q.waitForRoom(a.ctx)
}

// streamOnce sends the request, or resumes it at the offset, and reads events until the end marker.
func (a *attempt) streamOnce(q *queue) error {
	req, err := a.chatRequest()
	if err != nil {
		return err
	}
	permit := a.checkPermit
	if a.offset > 0 {
		// Resuming work that was already permitted is not new work.
		permit = func() error { return nil }
	}
	resp, err := a.do(req, permit)
	if err != nil {
		if a.offset > 0 {
			return &incompleteError{cause: err}
		}
		return err
	}
	err = a.readResponse(q, resp)
	var status *statusError
	if err == nil || errors.As(err, &status) {
		a.tail = resp.Body
	} else {
		resp.Body.Close()
	}
	if a.offset > 0 && status != nil {
		return &incompleteError{cause: err}
	}
	return err
}

func (a *attempt) readResponse(q *queue, resp *http.Response) error {
	if err := a.checkHead(resp); err != nil {
		return err
	}
	return a.readEvents(q, NewEventReader(resp.Body))
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

// encodeChat encodes body and the caller's additional options, which cannot override the fields of body.
func encodeChat(body chatBody, options map[string]json.RawMessage) ([]byte, error) {
	b, err := json.Marshal(body)
	if err != nil || len(options) == 0 {
		return b, errors.Wrap(err, "encode chat body")
	}
	fields := map[string]json.RawMessage{}
	for name, v := range options {
		fields[name] = v
	}
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, errors.Wrap(err, "merge chat options")
	}
	b, err = json.Marshal(fields)
	return b, errors.Wrap(err, "encode chat body")
}

// checkHead returns an error unless the head starts a successful response to this request.
func (a *attempt) checkHead(resp *http.Response) error {
	if err := a.checkEcho(resp); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	return a.statusError(resp)
}

// checkEcho returns an error for a response that does not echo the ID of this attempt. An error status without any ID may
// come from a proxy in front of the upstream, so it does not prove that the request did not run.
func (a *attempt) checkEcho(resp *http.Response) error {
	got := resp.Header.Get(requestIDHeader)
	if got == a.id {
		return nil
	}
	a.closeConn()
	if got == "" && resp.StatusCode >= http.StatusBadRequest {
		return a.statusError(resp)
	}
	return &mismatchError{Field: requestIDHeader, Want: a.id, Got: got}
}

func (a *attempt) statusError(resp *http.Response) *statusError {
	sameRequest := resp.Header.Get(requestIDHeader) == a.id
	return &statusError{
		Status:       resp.StatusCode,
		RetryAfter:   retryAfter(resp.Header),
		notRunProven: sameRequest && a.provesNotRun(resp.StatusCode),
	}
}

// provesNotRun reports whether the status proves, by the contract of the upstream, that the request did not run.
func (a *attempt) provesNotRun(status int) bool {
	if !a.call.Upstream.Rule.RefusalIsNotRun {
		return false
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	case http.StatusBadRequest:
		// Engines return this status for a version that is not loaded.
		return a.call.Version != nil
	}
	return false
}

// readEvents reads events into the queue until the end marker.
func (a *attempt) readEvents(q *queue, r *EventReader) error {
	check := &sequence{id: a.id, version: a.call.Version.ID, offset: a.offset, resumed: a.offset > 0}
	for {
		ev, err := r.Next()
		if err != nil {
			return a.readError(err)
		}
		if ev.IsEnd() {
			if check.end == nil {
				return &incompleteError{cause: ErrTruncated}
			}
			a.end = check.end
			return nil
		}
		ce, err := parseChatEvent(ev)
		if err != nil {
			return &incompleteError{cause: err}
		}
		k, err := check.next(ce)
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

// readError returns the reason why reading a response failed: the attempt was aborted, or the response is incomplete.
func (a *attempt) readError(err error) error {
	if cause := context.Cause(a.ctx); cause != nil && !errors.Is(cause, errStalled) {
		return cause
	}
	return &incompleteError{cause: err}
}

func (a *attempt) enqueue(q *queue, k request.Chunk) error {
	a.watchdog.pause()
	defer a.watchdog.resume()
	if err := q.put(a.ctx, k); err != nil {
		return err
	}
	if a.offset == 0 {
		a.firstToken = max(a.Clock.Now()-a.startedAt, 1)
	}
	a.offset = k.Offset + k.Tokens
	return nil
}
