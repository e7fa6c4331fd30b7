//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// bookingBytes is the length of the answers to bookings, and readPause the pause of their callers after the first part.
	bookingBytes = 800 << 10
	readPause    = 2 * time.Second
	// readers is the number of callers that read slowly.
	readers = 8
	// uploads is the number of bodies of uploadBytes that are sent, one after each uploadPause from uploadLead before the bookings on: 52 MB a second,
	// 0.42 of a machine's link.
	uploads     = 36
	uploadBytes = 4 << 20
	uploadPause = 80 * time.Millisecond
	uploadLead  = 900 * time.Millisecond
	// bookingConfig has the route of the site for bookings.
	bookingConfig = `{"version":10,"routes":[{"name":"book-table","host":"shop.example","pathPrefix":"/book/","routeType":"non_idempotent","timeoutMs":3000,
 "targetLatencyMs":300,"service":"booking-desk","maxAttempts":3,"priority":0}],"services":[{"name":"booking-desk","healthPath":"/healthz","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"desk","apiKeys":["kept"]}]}`
)

// post sends a booking and reads its answer; it pauses after the first part.
func (c *keptConn) post(id, path string, body []byte, pause time.Duration) (status, length int, err error) {
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nKey: kept\r\nContent-Length: %d\r\n\r\n", path, id,
		len(body)); err != nil {
		return 0, 0, err
	}
	if _, err := c.Write(body); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	part := make([]byte, slowPart)
	for first := true; ; first = false {
		n, err := resp.Body.Read(part)
		length += n
		switch {
		case errors.Is(err, io.EOF):
			return resp.StatusCode, length, nil
		case err != nil:
			return resp.StatusCode, length, err
		case first:
			time.Sleep(pause)
		}
	}
}

// runEviction has callers read the answers to bookings slowly while many others send long bodies to the same instance.
func runEviction(r *run) (broken bool, err error) {
	r.store.Put("keyed.op", "config", bookingConfig)
	replicas, err := r.addBulkReplicas(3, "booking-desk", bookingBytes)
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
	in := r.instances[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	var conns []*keptConn
	for i := range readers {
		conn, err := dialKept(in)
		if err != nil {
			return false, err
		}
		defer conn.Close()
		if status, length, err := conn.post(fmt.Sprint("first-", i), "/book/table", []byte("x"), 0); status != http.StatusOK || length != bookingBytes {
			return false, fmt.Errorf("the first request on the connection got status %d, %d bytes, %w", status, length, err)
		}
		conns = append(conns, conn)
	}
	if r.trouble {
		wg.Go(func() { r.upload(in) })
		time.Sleep(uploadLead)
	}
	for i, conn := range conns {
		wg.Go(func() {
			id, sentAt := fmt.Sprint("booking-", i), time.Now()
			status, length, err := conn.post(id, "/book/table", []byte("x"), readPause)
			runs := 0
			for _, b := range replicas {
				runs += b.runsOf(id)
			}
			r.log("%s on a kept connection: status %d, %d of %d bytes in %.3f s, error %v, runs %d", id, status, length, bookingBytes,
				time.Since(sentAt).Seconds(), err, runs)
			mu.Lock()
			defer mu.Unlock()
			if runs > 0 && (err != nil || length != bookingBytes) {
				cut++
			}
		})
	}
	wg.Wait()
	r.log("%d of %d answers to bookings that ran were cut before their time limit of 3 s, though no replica broke off", cut, readers)
	return cut > allowedCuts, nil
}

// upload has one caller after the other send a long body to an instance, and logs their answers.
func (r *run) upload(in *instance) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	body := bytes.Repeat([]byte("u"), uploadBytes)
	for i := range uploads {
		wg.Go(func() {
			conn, err := dialKept(in)
			if err != nil {
				return
			}
			defer conn.Close()
			status, _, err := conn.post(fmt.Sprint("upload-", i), "/book"+uploadPath, body, 0)
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprintf("status %d, whole %t", status, err == nil)]++
		})
		time.Sleep(uploadPause)
	}
	wg.Wait()
	for text, n := range answers {
		r.log("uploads with %s: %d", text, n)
	}
}
