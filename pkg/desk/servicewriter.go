package desk

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

// serviceHold is how much of a service's answer is kept back, so that a short one is passed on whole or not at all.
const serviceHold = 64 << 10

var (
	errNoBytes  = errors.New("a chat completion has chunks, not bytes")
	errNoChunks = errors.New("the answer of a plain service has bytes, not chunks")
)

// serviceWriter passes the answer of a plain service on.
type serviceWriter struct {
	*output
	head request.Head
	held []byte
}

// WriteHead begins an answer anew.
func (s *serviceWriter) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	s.head, s.held = h, nil
	return nil
}

// WriteChunk is not used for plain services.
func (s *serviceWriter) WriteChunk(context.Context, *request.Call, request.Chunk) error {
	return errNoChunks
}

// WriteBytes passes bytes on, keeping the first ones back.
func (s *serviceWriter) WriteBytes(_ context.Context, c *request.Call, b []byte) error {
	if !s.started && len(s.held)+len(b) <= serviceHold {
		s.held = append(s.held, b...)
		return nil
	}
	if err := s.release(c); err != nil {
		return err
	}
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.rc.Flush()
}

// WriteEnd passes on what is left.
func (s *serviceWriter) WriteEnd(_ context.Context, c *request.Call, _ request.End) error {
	if !s.started {
		s.setResult(c, request.Ran)
	}
	if err := s.release(c); err != nil {
		return err
	}
	return s.rc.Flush()
}

// release writes the head and what was kept back.
func (s *serviceWriter) release(c *request.Call) error {
	if s.started {
		return nil
	}
	h := s.w.Header()
	for name, values := range s.head.Header {
		h[name] = values
	}
	status := s.head.Status
	if status == 0 {
		status = http.StatusOK
	}
	s.start(c, status)
	held := s.held
	s.held = nil
	if len(held) == 0 {
		return nil
	}
	_, err := s.w.Write(held)
	return err
}

// fail writes the error in place of the answer; an answer that has begun is broken off, so that it can't be taken for whole.
func (s *serviceWriter) fail(c *request.Call, err error) {
	if !s.started {
		s.describe(c)
		writeError(s.w, err)
		return
	}
	panic(http.ErrAbortHandler)
}
