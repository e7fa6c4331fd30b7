//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// failingEach is how many requests the failing replica runs for each that it fails.
	failingEach = 3
	bookings    = 120
	bookingGap  = 50 * time.Millisecond
)

// failingReplica runs all requests, and answers some of them with a failure of its own.
type failingReplica struct {
	id    string
	fails bool

	mu  sync.Mutex
	ran map[string]int
}

func (rep *failingReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expect-Replica"); want != "" && want != rep.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(deskWork)
	rep.mu.Lock()
	rep.ran[id]++
	n := len(rep.ran)
	rep.mu.Unlock()
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Response-Seal", "seal-"+rep.id)
	if rep.fails && n%failingEach == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, "failed after the booking was made")
		return
	}
	fmt.Fprint(w, "done by "+rep.id)
}

// runRefusal sends bookings, which may not be repeated, while a replica fails part of its requests after it has run them. No booking that has
// run may be answered with 503, which promises that it has not.
func runRefusal(c *cluster, trouble bool) (broken string, err error) {
	var replicas []*failingReplica
	for i := range 3 {
		rep := &failingReplica{id: fmt.Sprintf("desk-%d", i+1), fails: trouble && i == 0, ran: map[string]int{}}
		replicas = append(replicas, rep)
		c.startHandler(rep.id, "desk", rep)
	}
	c.putConfig(routeConfig(1, deskTimeout, "k1"))
	if err := c.startInstances(3); err != nil {
		return "", err
	}
	ran := func(id string) bool {
		for _, rep := range replicas {
			rep.mu.Lock()
			n := rep.ran[id]
			rep.mu.Unlock()
			if n > 0 {
				return true
			}
		}
		return false
	}
	refusedAndRan, twice := 0, 0
	for i := range bookings {
		first, second := fmt.Sprintf("book-%d-1", i), fmt.Sprintf("book-%d-2", i)
		body := []byte(fmt.Sprintf("booking %d", i))
		a := sendOnce(c.instances[i%3].frontend, "k1", http.MethodPost, "/book/1", first, body, deskDeadline)
		c.rec.printf("%s: %v, has run: %t", first, a, ran(first))
		if a.status == http.StatusServiceUnavailable {
			if ran(first) {
				refusedAndRan++
			}
			// The answer promises that the booking has not run, and the consumer tries again at another machine.
			b := sendOnce(c.instances[(i+1)%3].frontend, "k1", http.MethodPost, "/book/1", second, body, deskDeadline)
			c.rec.printf("%s: %v, has run: %t", second, b, ran(second))
			if ran(first) && ran(second) {
				twice++
			}
		}
		time.Sleep(bookingGap)
	}
	c.rec.printf("%d bookings, %d answered 503 although they had run, %d made twice", bookings, refusedAndRan, twice)
	if refusedAndRan > 0 {
		return fmt.Sprintf("REFUSED: %d bookings were answered 503 although they had run; %d were made twice", refusedAndRan, twice), nil
	}
	return "", nil
}
