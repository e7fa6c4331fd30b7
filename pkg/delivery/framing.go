package delivery

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"
)

// isFinalStatus reports whether a status belongs to a class of final responses.
func isFinalStatus(status int) bool { return status >= 200 && status < 600 }

// isUnframed reports whether only the end of its connection ends the response, so that an orderly end may be a cut.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// unframedBody is the body of an unframed response. An end of file doesn't tell whether the connection was reset, since the kernel reports a reset once:
// it may have told the writer of the request.
type unframedBody struct {
	io.ReadCloser
	ctx      context.Context
	exchange *exchange
}

// Read returns an error in place of the end of the body unless the request was sent whole.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if sendErr := b.exchange.awaitSent(b.ctx); sendErr != nil {
			err = errors.Wrap(sendErr, "unframed response ended before its request was sent")
		}
	}
	return n, err
}

// eventBoundary follows the bytes of an event stream and tells whether they end with an event.
type eventBoundary struct{ tail []byte }

// newEventBoundary returns nil for a response whose end shows by its framing, that isn't an event stream or has no body.
func newEventBoundary(resp *http.Response) *eventBoundary {
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if !isUnframed(resp) || mediaType != "text/event-stream" || resp.Request.Method == http.MethodHead {
		return nil
	}
	return &eventBoundary{}
}

// add takes the next bytes of the stream.
func (e *eventBoundary) add(b []byte) {
	if e == nil {
		return
	}
	e.tail = append(e.tail, b[max(0, len(b)-len(crlfEventSeparator)):]...)
	e.tail = e.tail[max(0, len(e.tail)-len(crlfEventSeparator)):]
}

// check returns an error unless the stream ended after an event.
func (e *eventBoundary) check() error {
	switch {
	case e == nil, bytes.HasSuffix(e.tail, eventSeparator), bytes.HasSuffix(e.tail, crlfEventSeparator):
		return nil
	case len(e.tail) == 0:
		return errNoEvent
	}
	return errPartialEvent
}
