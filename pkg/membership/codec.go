package membership

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
)

// errTooLarge ends a connection whose peer sent a message above messageBytes.
var errTooLarge = errors.New("message is too large")

// limitReader fails once a message is larger than messageBytes; reset starts the next message.
type limitReader struct {
	r    io.Reader
	left int
}

func (l *limitReader) reset() { l.left = messageBytes }

// Read counts the bytes of the present message.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= n
	return n, err
}

// gobStream is one connection that carries gob values with a bound on their size.
type gobStream struct {
	conn  io.ReadWriteCloser
	limit *limitReader
	dec   *gob.Decoder
	enc   *gob.Encoder
	buf   *bufio.Writer
	once  sync.Once
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
	s.once.Do(func() { err = s.conn.Close() })
	return err
}

type serverCodec struct{ gobStream }

func newServerCodec(conn io.ReadWriteCloser) *serverCodec { return &serverCodec{newGobStream(conn)} }

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error     { return c.readHeader(r) }
func (c *serverCodec) ReadRequestBody(v any) error                { return c.readBody(v) }
func (c *serverCodec) WriteResponse(r *rpc.Response, v any) error { return c.write(r, v) }
func (c *serverCodec) Close() error                               { return c.close() }

// clientCodec reads in a goroutine of the client until the connection ends.
type clientCodec struct {
	gobStream
	over chan struct{}
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	return &clientCodec{gobStream: newGobStream(conn), over: make(chan struct{})}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, v any) error { return c.write(r, v) }

// ReadResponseHeader tells by over that the connection can't be used any more; the client stops reading after an error.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	if err != nil {
		close(c.over)
	}
	return err
}

func (c *clientCodec) ReadResponseBody(v any) error { return c.readBody(v) }
func (c *clientCodec) Close() error                 { return c.close() }
