//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// consumer sends requests on one connection, which it keeps.
type consumer struct {
	conn   net.Conn
	reader *bufio.Reader
	key    string
}

// answer is what a consumer got for a request; err is set if the connection ended or nothing came in time.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// String returns the status and the body, or the error.
func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %q seal %q retry-after %q", a.status, a.body, a.header.Get("Response-Seal"), a.header.Get("Retry-After"))
}

func dial(address, key string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{conn: conn, reader: bufio.NewReader(conn), key: key}, nil
}

func (c *consumer) close() { _ = c.conn.Close() }

// send sends a request and reads its answer, for which it waits until deadline.
func (c *consumer) send(method, path, id string, body []byte, deadline time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: house.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\nContent-Length: %d\r\n\r\n",
		method, path, id, deadline.Milliseconds(), c.key, len(body))
	if _, err := c.conn.Write(append(head.Bytes(), body...)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(bytes.TrimSpace(b)), err: err}
}

// sendOnce sends a request on a new connection.
func sendOnce(address, key, method, path, id string, body []byte, deadline time.Duration) answer {
	c, err := dial(address, key)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.send(method, path, id, body, deadline)
}
