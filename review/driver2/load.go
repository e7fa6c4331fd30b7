//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load is a crowd of consumers, each of which sends a request every Interval, on a connection that it keeps.
type Load struct {
	Address   string
	Prefix    string
	Target    string
	Consumers int
	Interval  time.Duration
	// Lines are the header lines of each request besides its id.
	Lines []string

	mu      sync.Mutex
	results []Result
	next    atomic.Int64
	wg      sync.WaitGroup
}

// Result is one request and what came of it; Status is 0 if the connection failed.
type Result struct {
	ID     string
	SentAt time.Time
	// ReceivedAt is when the whole answer had arrived.
	ReceivedAt time.Time
	Status     int
	Error      string
	Header     http.Header
}

// Start lets the consumers send until ctx ends.
func (l *Load) Start(ctx context.Context) {
	for i := range l.Consumers {
		l.wg.Go(func() {
			c := &Consumer{Address: l.Address}
			defer c.Close()
			// The consumers are spread over the interval.
			timer := time.NewTimer(l.Interval * time.Duration(i) / time.Duration(l.Consumers))
			defer timer.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-timer.C:
				}
				if ctx.Err() != nil {
					return
				}
				timer.Reset(l.Interval)
				l.send(c)
			}
		})
	}
}

func (l *Load) send(c *Consumer) {
	r := Result{ID: fmt.Sprintf("%s-%05d", l.Prefix, l.next.Add(1)), SentAt: time.Now()}
	a, err := c.Send(http.MethodPost, l.Target, "table 7", append([]string{"Attempt-Id: " + r.ID}, l.Lines...)...)
	r.ReceivedAt = time.Now()
	if err != nil {
		r.Error = err.Error()
	} else {
		r.Status, r.Header = a.Status, a.Header
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// Wait returns the results by id once all consumers have stopped.
func (l *Load) Wait() map[string]Result {
	l.wg.Wait()
	results := map[string]Result{}
	for _, r := range l.results {
		results[r.ID] = r
	}
	return results
}

// statuses counts the results by status.
func statuses(results map[string]Result) map[int]int {
	n := map[int]int{}
	for _, r := range results {
		n[r.Status]++
	}
	return n
}
