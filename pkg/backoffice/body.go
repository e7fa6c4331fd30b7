package backoffice

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The states of a oneShotBody.
const (
	bodyUnread int32 = iota
	bodyStarted
	bodySealed
)

var errBodySealed = errors.New("the call was given up before its body was sent")

// oneShotBody is a request body that records whether the transport has begun to send it. It hides the type of its reader from
// net/http, so that the request has no GetBody and the transport can't retry it.
type oneShotBody struct {
	r     bytes.Reader
	state atomic.Int32
}

func newOneShotBody(b []byte) *oneShotBody {
	body := new(oneShotBody)
	body.r.Reset(b)
	return body
}

// Read returns an error if the body was sealed before the first read.
func (b *oneShotBody) Read(p []byte) (int, error) {
	if b.state.CompareAndSwap(bodyUnread, bodyStarted) || b.state.Load() == bodyStarted {
		return b.r.Read(p)
	}
	return 0, errBodySealed
}

// Close is a no-op: the body holds no resources.
func (b *oneShotBody) Close() error { return nil }

// seal prevents any further read and returns true if the body has not been read yet; otherwise it returns false and changes
// nothing.
func (b *oneShotBody) seal() bool {
	return b.state.CompareAndSwap(bodyUnread, bodySealed)
}

var _ io.ReadCloser = (*oneShotBody)(nil)
