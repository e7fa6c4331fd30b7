//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"carawayknot.example/carawayknot/platform/standin"
)

const (
	// contact is contactMs, and contactMargin what the case waits beyond it.
	contact       = 3 * time.Second
	contactMargin = time.Second
	// crashBody is the body of the request under which replicas crash.
	crashBody = "a booking under which the desk crashes"
	// againInterval is the time between two retries of that request.
	againInterval = 700 * time.Millisecond
	// firstRetries and laterRetries are the times for which it comes again before and after the kill.
	firstRetries = 8 * time.Second
	laterRetries = 50 * time.Second
	// allowedRetries is how many retries may reach replicas later than contactMs after the third crash.
	allowedRetries = 3
	// soundBookings are sent beside each retry, bookingInterval apart, so that some are at the replica that crashes.
	soundBookings   = 6
	bookingInterval = 15 * time.Millisecond
)

// crashingRequest sends a request that crashes the replicas that run it again and again, at all machines in turn.
type crashingRequest struct {
	c        *cluster
	replicas []*standin.Replica
	sent     int
	// thirdCrash is when the third replica had crashed, and late counts the retries that reached a replica later than contactMs after that.
	thirdCrash time.Time
	late       int
	// lost counts the sound bookings that a replica had begun to run and that got no answer of it.
	lost int
}

func (q *crashingRequest) crashes() (n int) {
	for _, rep := range q.replicas {
		n += rep.Crashes()
	}
	return n
}

// ran reports whether a replica has begun to run a request.
func (q *crashingRequest) ran(id string) bool {
	for _, rep := range q.replicas {
		for _, run := range rep.Runs() {
			if run.ID == id {
				return true
			}
		}
	}
	return false
}

// comeAgain sends the request and sound bookings beside it for a time.
func (q *crashingRequest) comeAgain(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(againInterval) {
		q.retry(q.c.instances[q.sent%len(q.c.instances)])
	}
}

// retry sends the request once at a machine.
func (q *crashingRequest) retry(in *instance) {
	q.sent++
	var wg sync.WaitGroup
	answers := make([]answer, soundBookings)
	id := func(i int) string { return fmt.Sprintf("sound-%d-%d", q.sent, i) }
	for i := range soundBookings {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * bookingInterval)
			answers[i] = sendOnce(in.frontend, "k1", http.MethodPost, "/book/call", id(i), []byte(id(i)), deskDeadline)
		})
	}
	before, sentAt := q.crashes(), time.Now()
	a := sendOnce(in.frontend, "k1", http.MethodPost, "/book/call", fmt.Sprintf("crash-%d", q.sent), []byte(crashBody), deskDeadline)
	reached := q.crashes() > before
	wg.Wait()
	q.c.rec.printf("%s: crashing request %d: %v, replica crashed: %t", in.name, q.sent, a, reached)
	for i, sound := range answers {
		if sound.status != http.StatusOK && q.ran(id(i)) {
			q.lost++
			q.c.rec.printf("%s: sound booking %s had begun to run and got %v", in.name, id(i), sound)
		}
	}
	switch {
	case !reached:
	case q.thirdCrash.IsZero():
		if q.crashes() >= 3 {
			q.thirdCrash = time.Now()
			q.c.rec.printf("the third replica has crashed")
		}
	case sentAt.Sub(q.thirdCrash) > contact:
		q.late++
		q.c.rec.printf("retry %d that reached a replica later than contactMs after the third crash", q.late)
	}
}

// runQuarantine kills all processes once while a request that crashes replicas comes again and again. BUDGET allows three retries of it to
// reach replicas, sent by machines in touch later than contactMs after the third crash.
func runQuarantine(c *cluster, trouble bool) (broken string, err error) {
	q := &crashingRequest{c: c}
	for i := range 3 {
		rep, err := c.startReplica(fmt.Sprintf("desk-%d", i+1), "desk", replicaDownTime)
		if err != nil {
			return "", err
		}
		rep.SetFaults(standin.ReplicaFaults{CrashBody: crashBody, Pause: deskWork})
		q.replicas = append(q.replicas, rep)
	}
	c.putConfig(routeConfig(1, deskTimeout, "k1"))
	if err := c.startInstances(3); err != nil {
		return "", err
	}
	time.Sleep(contact + contactMargin)
	q.comeAgain(firstRetries)
	if q.thirdCrash.IsZero() {
		return "", fmt.Errorf("only %d replicas have crashed", q.crashes())
	}
	if trouble {
		c.rec.printf("all processes are killed and start again")
		for _, in := range c.instances {
			in.kill()
		}
		time.Sleep(restartDelay)
		if err := c.startAll(); err != nil {
			return "", err
		}
	}
	time.Sleep(contact + contactMargin)
	c.rec.printf("all machines have been in touch for some time")
	lostBefore := q.lost
	q.comeAgain(laterRetries)
	c.rec.printf("%d requests with the crashing body, %d crashes, %d retries reached replicas later than contactMs after the third crash, %d sound bookings were lost by those",
		q.sent, q.crashes(), q.late, q.lost-lostBefore)
	if q.late > allowedRetries {
		return fmt.Sprintf("BUDGET: a request that crashes replicas reached them in %d retries, sent by machines in touch later than contactMs after the third crash", q.late), nil
	}
	return "", nil
}
