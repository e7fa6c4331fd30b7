//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a stream, and eventPause the time before each.
	streamEvents = 38
	eventPause   = 300 * time.Millisecond
	// promptBytes is the length of the body of a stream's request.
	promptBytes = 512 << 10
	// streamsOfKind is the number of streams on each of the two routes.
	streamsOfKind = 4
	// streamConfig has the route of the site for plans, and the same without streamResume.
	streamConfig = `{"version":10,"routes":[
 {"name":"tasting-plan","host":"shop.example","pathPrefix":"/plan/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"targetGapMs":1000,
  "service":"chai-lm","maxAttempts":3,"priority":0,"streamResume":true},
 {"name":"single-plan","host":"shop.example","pathPrefix":"/single/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"targetGapMs":1000,
  "service":"chai-lm","maxAttempts":3,"priority":0}],"services":[{"name":"chai-lm","healthPath":"/healthz","maxConnections":370}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"desk","apiKeys":["kept"]}]}`
)

// streamReplica is a stand-in of a replica that streams. With early set it answers before it has read a long body, and reads on after the
// last event.
type streamReplica struct {
	id    string
	early bool

	mu   sync.Mutex
	runs map[string]int
	// whole has the attempts whose stream was sent to its end with the body read.
	whole map[string]bool
}

// ServeHTTP runs a request that is meant for this replica.
func (s *streamReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Replica"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	control := http.NewResponseController(w)
	long := r.ContentLength > 1
	if s.early && long {
		if control.EnableFullDuplex() != nil {
			return
		}
	} else if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= streamEvents; i++ {
		if long {
			time.Sleep(eventPause)
		}
		if _, err := fmt.Fprint(w, event(i)); err != nil || control.Flush() != nil {
			return
		}
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole[id] = true
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i) }

// stream sends a request with a body on a kept connection and reads the stream.
func (c *keptConn) stream(id, path, body string) (status int, text string, err error) {
	_ = c.SetDeadline(time.Now().Add(16 * time.Second))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 15000\r\nKey: kept\r\nContent-Length: %d\r\n\r\n%s", path, id,
		len(body), body); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// runEarlyAnswer has replicas answer before they have read long bodies.
func runEarlyAnswer(r *run) (broken bool, err error) {
	r.store.Put("keyed.op", "config", streamConfig)
	var replicas []*streamReplica
	for i := range 3 {
		s := &streamReplica{id: fmt.Sprint("i-", i), early: r.trouble, runs: map[string]int{}, whole: map[string]bool{}}
		address, err := r.serve(s)
		if err != nil {
			return false, err
		}
		r.store.Put("keyed.servers", s.id, fmt.Sprintf(
			`{"service":"chai-lm","address":%q,"zone":"zone-%d","version":"v1","capacity":64,"state":"ready","warmupLeftMs":0,"sequence":1,"born":%d}`,
			address, i%2, time.Now().UnixMilli()))
		replicas = append(replicas, s)
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
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += event(i)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for i := range 2 * streamsOfKind {
		in, path := r.instances[i%len(r.instances)], "/plan/x"
		if i >= streamsOfKind {
			path = "/single/x"
		}
		raw, err := net.DialTimeout("tcp4", in.caller, time.Second)
		if err != nil {
			return false, err
		}
		defer raw.Close()
		conn := &keptConn{Conn: raw, r: bufio.NewReader(raw)}
		if status, text, err := conn.stream(fmt.Sprint("first-", i), path, "x"); status != http.StatusOK || text != want {
			return false, fmt.Errorf("the first request on the connection got status %d, %d bytes, %w", status, len(text), err)
		}
		wg.Go(func() {
			id, sentAt := fmt.Sprint("stream-", i), time.Now()
			status, text, err := conn.stream(id, path, strings.Repeat("p", promptBytes))
			runs := 0
			for _, s := range replicas {
				s.mu.Lock()
				runs += s.runs[id]
				s.mu.Unlock()
			}
			r.log("%s on a kept connection, %s: status %d, %d of %d events in %.3f s, error %v, runs %d", id, path, status, strings.Count(text, "id: "),
				streamEvents, time.Since(sentAt).Seconds(), err, runs)
			mu.Lock()
			defer mu.Unlock()
			if runs > 0 && (status == 0 || status == http.StatusOK) && (err != nil || text != want) {
				cut++
			}
		})
	}
	wg.Wait()
	r.log("%d of %d streams were cut before their time limit of 15 s, though no replica broke off", cut, 2*streamsOfKind)
	return cut > allowedCuts, nil
}
