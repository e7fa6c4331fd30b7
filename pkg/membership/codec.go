package membership

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"
)

// bufferBytes is the size of the buffers of a connection.
const bufferBytes = 2 << 10

// gobStream carries gob values over one connection with a limit on the size of each message.
type gobStream struct {
	conn      io.ReadWriteCloser
	dec       *gob.Decoder
	enc       *gob.Encoder
	buf       *bufio.Writer
	closeOnce sync.Once
}

func newGobStream(conn io.ReadWriteCloser, memory messageMemory) gobStream {
	buf := bufio.NewWriterSize(conn, bufferBytes)
	frames := &frameReader{r: bufio.NewReaderSize(conn, bufferBytes), memory: memory}
	return gobStream{conn: conn, dec: gob.NewDecoder(frames), enc: gob.NewEncoder(buf), buf: buf}
}

func (s *gobStream) read(v any) error { return s.dec.Decode(v) }

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

func newServerCodec(conn io.ReadWriteCloser, memory messageMemory) *serverCodec {
	return &serverCodec{newGobStream(conn, memory)}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error     { return c.read(r) }
func (c *serverCodec) ReadRequestBody(v any) error                { return c.read(v) }
func (c *serverCodec) WriteResponse(r *rpc.Response, v any) error { return c.write(r, v) }
func (c *serverCodec) Close() error                               { return c.close() }

// clientCodec closes done when its connection has ended, which the reading goroutine of rpc.Client notices first.
type clientCodec struct {
	gobStream
	done chan struct{}
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	return &clientCodec{gobStream: newGobStream(conn, nil), done: make(chan struct{})}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, v any) error { return c.write(r, v) }

// ReadResponseHeader closes done on an error: rpc.Client then stops reading and the connection is no longer usable.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.read(r)
	if err != nil {
		close(c.done)
	}
	return err
}

func (c *clientCodec) ReadResponseBody(v any) error { return c.read(v) }
func (c *clientCodec) Close() error                 { return c.close() }
