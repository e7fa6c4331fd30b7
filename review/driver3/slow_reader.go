//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// answerBytes is the length of the answers, and slowPart and slowPause the pace of a caller that reads slowly: 2 MB in about a second.
	answerBytes = 2 << 20
	slowPart    = 32 << 10
	slowPause   = 16 * time.Millisecond
	// receiveBuffer is the receive buffer of callers.
	receiveBuffer = 64 << 10
	// slowRequests is the number of requests to each instance, and allowedCuts that of cut answers that break no rule.
	slowRequests = 4
	allowedCuts  = 3
	// lookupConfig has the route of the site for lookups.
	lookupConfig = `{"version":10,"routes":[{"name":"check-table","host":"shop.example","pathPrefix":"/check/","routeType":"idempotent","timeoutMs":3000,
 "targetLatencyMs":300,"service":"booking-desk","maxAttempts":3,"priority":0}],"services":[{"name":"booking-desk","healthPath":"/healthz","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":5000,"idleTimeoutMs":20000},"tenants":[{"name":"desk","apiKeys":["kept"]}]}`
)

// keptConn is a connection of a caller that it uses for several requests.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

// dialKept connects to an instance with a small receive buffer.
func dialKept(in *instance) (*keptConn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, sockErr)
	}}
	conn, err := d.Dial("tcp4", in.caller)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: conn, r: bufio.NewReaderSize(conn, slowPart)}, nil
}

// get sends a lookup and reads its answer with a pause after each part.
func (c *keptConn) get(id string, pause time.Duration) (status, length int, err error) {
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "GET /check/list HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nKey: kept\r\n\r\n", id); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	part := make([]byte, slowPart)
	for {
		n, err := resp.Body.Read(part)
		length += n
		switch {
		case errors.Is(err, io.EOF):
			return resp.StatusCode, length, nil
		case err != nil:
			return resp.StatusCode, length, err
		}
		time.Sleep(pause)
	}
}

// runSlowReader has callers read long answers slowly, on kept connections and right after a SIGHUP.
func runSlowReader(r *run) (broken bool, err error) {
	r.store.Put("keyed.op", "config", lookupConfig)
	replicas, err := r.addBulkReplicas(3, "booking-desk", answerBytes)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		if err := r.addInstance(fmt.Sprint("edge-", i), fmt.Sprint("zone-", i%2)); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	pause := time.Duration(0)
	if r.trouble {
		pause = slowPause
	}
	cut := 0
	for _, in := range r.instances {
		for n := range slowRequests {
			id := fmt.Sprintf("%s-%d", in.name, n)
			conn, err := dialKept(in)
			if err != nil {
				return false, err
			}
			if status, length, err := conn.get(id+"-first", 0); status != http.StatusOK || length != answerBytes {
				return false, fmt.Errorf("the first request on the connection got status %d, %d bytes, %w", status, length, err)
			}
			in.signal(syscall.SIGHUP)
			time.Sleep(100 * time.Millisecond)
			sentAt := time.Now()
			status, length, err := conn.get(id, pause)
			_ = conn.Close()
			runs := 0
			for _, b := range replicas {
				runs += b.runsOf(id)
			}
			r.log("%s on a kept connection, 0.1 s after SIGHUP: status %d, %d of %d bytes in %.3f s, error %v, runs %d", id, status, length,
				answerBytes, time.Since(sentAt).Seconds(), err, runs)
			if runs > 0 && (err != nil || length != answerBytes) {
				cut++
			}
		}
	}
	r.log("%d of %d answers were cut before their time limit of 3 s, though no replica broke off", cut, slowRequests*len(r.instances))
	return cut > allowedCuts, nil
}
