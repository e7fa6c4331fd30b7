//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Consumer sends requests one after another on a kept connection.
type Consumer struct {
	Address string

	conn net.Conn
	r    *bufio.Reader
}

// Answer is what a consumer received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Send sends a request with these header lines, each of which ends without a line break, and reads the answer. The connection is opened again
// after an error or an answer that closes it.
func (c *Consumer) Send(method, target, body string, lines ...string) (*Answer, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.Address, time.Second)
		if err != nil {
			return nil, err
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	a, keep, err := c.exchange(method, target, body, lines)
	if err != nil || !keep {
		c.Close()
	}
	return a, err
}

func (c *Consumer) exchange(method, target, body string, lines []string) (a *Answer, keep bool, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return nil, false, err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\n%s\r\n", method, target, strings.Join(lines, "\r\n"))
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		return nil, false, err
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, false, err
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(b)}, !resp.Close, nil
}

// Close closes the connection.
func (c *Consumer) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
