package membership

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
)

// errMessageTooLarge closes the connection of a peer that sent a message above maxMessageBytes.
var errMessageTooLarge = errors.New("message is too large")

// limitReader fails once a message exceeds maxMessageBytes; reset starts the next message.
type limitReader struct {
	r         io.Reader
	remaining int
}

func (l *limitReader) reset() { l.remaining = maxMessageBytes }

// Read returns errMessageTooLarge once the current message has used up its bytes.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= n
	return n, err
}

// gobStream carries gob values over one connection with a limit on the size of each message.
type gobStream struct {
	conn      io.ReadWriteCloser
	limit     *limitReader
	dec       *gob.Decoder
	enc       *gob.Encoder
	buf       *bufio.Writer
	closeOnce sync.Once
}

func newGobStream(conn io.ReadWriteCloser) gobStream {
	limit := &limitReader{r: conn}
	limit.reset()
	buf := bufio.NewWriterSize(conn, 2<<10)
	return gobStream{conn: conn, limit: limit, dec: gob.NewDecoder(bufio.NewReaderSize(limit, 2<<10)), enc: gob.NewEncoder(buf), buf: buf}
}

func (s *gobStream) readHeader(v any) error {
	s.limit.reset()
	return s.dec.Decode(v)
}

func (s *gobStream) readBody(v any) error { return s.dec.Decode(v) }

func (s *gobStream) write(header, body any) error {
	err := s.enc.Encode(header)
	if err == nil {
		err = s.enc.Encode(body)
	}
	if err == nil {
		err = s.buf.Flush()
	}
	if err != nil {
		_ = s.close()
	}
	return err
}

func (s *gobStream) close() error {
	var err error
	s.closeOnce.Do(func() { err = s.conn.Close() })
	return err
}

type serverCodec struct{ gobStream }

func newServerCodec(conn io.ReadWriteCloser) *serverCodec { return &serverCodec{newGobStream(conn)} }

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error     { return c.readHeader(r) }
func (c *serverCodec) ReadRequestBody(v any) error                { return c.readBody(v) }
func (c *serverCodec) WriteResponse(r *rpc.Response, v any) error { return c.write(r, v) }
func (c *serverCodec) Close() error                               { return c.close() }

// clientCodec closes done when its connection has ended, which the reading goroutine of rpc.Client notices first.
type clientCodec struct {
	gobStream
	done chan struct{}
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	return &clientCodec{gobStream: newGobStream(conn), done: make(chan struct{})}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, v any) error { return c.write(r, v) }

// ReadResponseHeader closes done on an error: rpc.Client then stops reading and the connection is no longer usable.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	if err != nil {
		close(c.done)
	}
	return err
}

func (c *clientCodec) ReadResponseBody(v any) error { return c.readBody(v) }
func (c *clientCodec) Close() error                 { return c.close() }
