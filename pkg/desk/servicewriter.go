package desk

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

// serviceBufferBytes is how much of a service's response is buffered, so that a shorter one is sent whole or not at all.
const serviceBufferBytes = 64 << 10

var (
	errBytesInChat     = errors.New("a chat completion is written in chunks, not bytes")
	errChunksInService = errors.New("the response of a plain service is written in bytes, not chunks")
)

// serviceWriter forwards the response of a plain service.
type serviceWriter struct {
	*output
	head     request.Head
	buffered []byte
}

// WriteHead starts a response and drops what an earlier attempt left.
func (s *serviceWriter) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	s.head, s.buffered = h, nil
	return nil
}

// WriteChunk fails, as the responses of plain services are written in bytes.
func (s *serviceWriter) WriteChunk(context.Context, *request.Call, request.Chunk) error {
	return errChunksInService
}

// WriteBytes buffers up to serviceBufferBytes and sends what exceeds them.
func (s *serviceWriter) WriteBytes(_ context.Context, c *request.Call, b []byte) error {
	if !s.started && len(s.buffered)+len(b) <= serviceBufferBytes {
		s.buffered = append(s.buffered, b...)
		return nil
	}
	if err := s.flushBuffered(c); err != nil {
		return err
	}
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.rc.Flush()
}

// WriteEnd sends what is still buffered.
func (s *serviceWriter) WriteEnd(_ context.Context, c *request.Call, _ request.End) error {
	if !s.started {
		s.setResultHeaders(c, request.Ran)
	}
	if err := s.flushBuffered(c); err != nil {
		return err
	}
	return s.rc.Flush()
}

// flushBuffered sends the headers and the buffered bytes.
func (s *serviceWriter) flushBuffered(c *request.Call) error {
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
	buffered := s.buffered
	s.buffered = nil
	if len(buffered) == 0 {
		return nil
	}
	_, err := s.w.Write(buffered)
	return err
}

// fail writes the error in place of the response; one that has started is aborted, so that it can't be taken for complete.
func (s *serviceWriter) fail(c *request.Call, err error) {
	if !s.started {
		s.setCallHeaders(c)
		writeError(s.w, err)
		return
	}
	panic(http.ErrAbortHandler)
}
