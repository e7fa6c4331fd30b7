//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadBytes is maxBodyBytes of the configuration, which consumers may use in full.
	uploadBytes = 4194304
	// uploadInterval is the time between two uploads: 11 a second are the requests of one of the 9 machines of kchl-bookings, and
	// 46 MB a second are less than half of what its link of 1,000 Mbit/s carries.
	uploadInterval = 91 * time.Millisecond
	uploads        = 160
	// uploadDeadline is timeoutMs of the longest route of kchl-bookings.
	uploadDeadline = 15 * time.Second
	// slowReadBytes is what a slow replica reads every slowReadPause: 512 KiB a second, so that it has the body after 8 s.
	slowReadBytes = 32 << 10
	slowReadPause = 62500 * time.Microsecond
	// restartDelay is the delay after which the platform starts a process that it has killed.
	restartDelay = time.Second
	// allowedClosed is how many requests of kept connections the rule LOST allows to be closed without an answer.
	allowedClosed = 3
)

// readingReplica runs requests once it has read their bodies, slowly or not, and answers them all.
type readingReplica struct {
	id   string
	slow bool

	mu sync.Mutex
	// received has the requests that reached the replica, and ran those whose bodies it has read.
	received, ran map[string]bool
}

func (rep *readingReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expect-Replica"); want != "" && want != rep.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rep.mu.Lock()
	rep.received[id] = true
	rep.mu.Unlock()
	n, err := rep.read(r.Body)
	if err != nil {
		return
	}
	rep.mu.Lock()
	rep.ran[id] = true
	rep.mu.Unlock()
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Response-Seal", "seal-"+rep.id)
	fmt.Fprintf(w, "%d bytes read by %s", n, rep.id)
}

// read reads a body to its end, and pauses in between if the replica is slow.
func (rep *readingReplica) read(body io.Reader) (n int64, err error) {
	if !rep.slow {
		return io.Copy(io.Discard, body)
	}
	for {
		k, err := io.CopyN(io.Discard, body, slowReadBytes)
		n += k
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		time.Sleep(slowReadPause)
	}
}

// runMemory sends uploads of the longest body that the configuration allows to replicas that read slowly. The platform kills a process that
// exceeds its memory; LOST allows three requests of kept connections that reached a sound replica to end without an answer.
func runMemory(c *cluster, trouble bool) (broken string, err error) {
	var replicas []*readingReplica
	for i := range 3 {
		rep := &readingReplica{id: fmt.Sprintf("desk-%d", i+1), slow: trouble, received: map[string]bool{}, ran: map[string]bool{}}
		replicas = append(replicas, rep)
		c.startHandler(rep.id, "desk", rep)
	}
	c.putConfig(routeConfig(1, uploadDeadline, "k1"))
	if err := c.startInstances(1); err != nil {
		return "", err
	}
	in := c.instances[0]
	stop := make(chan struct{})
	watched := make(chan int)
	go func() { watched <- c.watchMemory(in, stop) }()
	received := func(id string) bool {
		for _, rep := range replicas {
			rep.mu.Lock()
			found := rep.received[id]
			rep.mu.Unlock()
			if found {
				return true
			}
		}
		return false
	}
	var (
		wg                       sync.WaitGroup
		mu                       sync.Mutex
		answered, refused, ended int
	)
	body := make([]byte, uploadBytes)
	for i := range uploads {
		wg.Go(func() {
			upload, err := dial(in.frontend, "k1")
			if err != nil {
				return
			}
			defer upload.close()
			if first := upload.send(http.MethodGet, "/look/1", fmt.Sprintf("look-%d", i), nil, 3*time.Second); first.status != http.StatusOK {
				c.rec.printf("look-%d: %v", i, first)
				return
			}
			id := fmt.Sprintf("book-%d", i)
			a := upload.send(http.MethodPost, "/book/1", id, body, uploadDeadline)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == http.StatusOK && a.err == nil:
				answered++
				c.rec.printf("%s: %v, has run", id, a)
			case a.err != nil && received(id):
				ended++
				c.rec.printf("%s reached a replica, its kept connection ended: %v", id, a.err)
			default:
				refused++
				c.rec.printf("%s: %v", id, a)
			}
		})
		time.Sleep(uploadInterval)
	}
	wg.Wait()
	close(stop)
	kills := <-watched
	c.rec.printf("%d uploads: %d answered, %d refused or not passed on, %d passed on and ended without an answer; the process exceeded its memory %d times",
		uploads, answered, refused, ended, kills)
	if ended > allowedClosed {
		return fmt.Sprintf("LOST: %d requests of kept connections were passed on to a sound replica and ended without an answer; the process exceeded %d MB %d times", ended, memoryMB, kills), nil
	}
	return "", nil
}

// watchMemory kills the process whenever it exceeds its memory, as the platform does, and starts it again; it returns how often.
func (c *cluster) watchMemory(in *instance, stop <-chan struct{}) (kills int) {
	most := 0
	for {
		select {
		case <-stop:
			c.rec.printf("%s held at most %d MB", in.name, most)
			return kills
		case <-time.After(20 * time.Millisecond):
		}
		mb := in.residentMB()
		most = max(most, mb)
		if mb <= memoryMB {
			continue
		}
		kills++
		c.rec.printf("%s holds %d MB of %d; the platform kills it", in.name, mb, memoryMB)
		in.kill()
		time.Sleep(restartDelay)
		if err := in.start(); err != nil {
			c.rec.printf("%s: %v", in.name, err)
			return kills
		}
	}
}
