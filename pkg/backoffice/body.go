package backoffice

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The states of a oneShotBody.
const (
	bodyUntouched int32 = iota
	bodyTouched
	bodySealed
)

var errBodySealed = errors.New("the call was given up before its body was sent")

// oneShotBody is a request body that knows whether the transport has begun to send it.
// It hides the type of its reader from net/http, so that the request has no GetBody and can't be sent twice.
type oneShotBody struct {
	r     bytes.Reader
	state atomic.Int32
}

func newOneShotBody(b []byte) *oneShotBody {
	body := new(oneShotBody)
	body.r.Reset(b)
	return body
}

// Read hands out the body, unless it was sealed before the first read.
func (b *oneShotBody) Read(p []byte) (int, error) {
	if b.state.CompareAndSwap(bodyUntouched, bodyTouched) || b.state.Load() == bodyTouched {
		return b.r.Read(p)
	}
	return 0, errBodySealed
}

// Close does nothing.
func (b *oneShotBody) Close() error { return nil }

// seal returns true when no byte of the body was handed out, and sees to it that none will be.
func (b *oneShotBody) seal() bool {
	return b.state.CompareAndSwap(bodyUntouched, bodySealed)
}

var _ io.ReadCloser = (*oneShotBody)(nil)
