//go:build review

package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// coldInstances is the number of instances, and coldPerSecond and warmTime the warmupPerS and warmupS of the service.
	coldInstances = 64
	coldPerSecond = 23
	warmTime      = 3 * time.Second
	// coldOverrun and coldSlack are warmupOverrun and warmupSlack.
	coldOverrun = 1.5
	coldSlack   = 5
	// coldConfig has one route to a service whose replicas are cold after their start.
	coldConfig = `{"version":10,"routes":[{"name":"check-table","host":"shop.example","pathPrefix":"/call/","routeType":"idempotent","timeoutMs":3000,
 "targetLatencyMs":300,"service":"booking-desk","maxAttempts":3,"priority":0}],
 "services":[{"name":"booking-desk","healthPath":"/healthz","maxConnections":470,"warmupS":3.0,"warmupPerS":23.0}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"desk","apiKeys":["kept"]}]}`
)

// listAll writes the entries of all upstreams, with the time for which they stay cold.
func (r *run) listAll(sequence int, coldFor time.Duration) {
	for i, u := range r.upstreams {
		r.store.Put("keyed.servers", fmt.Sprint("i-", i), fmt.Sprintf(
			`{"service":"booking-desk","address":%q,"zone":"zone-%d","version":"v1","capacity":6,"state":"ready","warmupLeftMs":%d,"sequence":%d,"born":1000}`,
			u.server.Address, i%2, coldFor.Milliseconds(), sequence))
	}
}

// busiestSecond returns the largest number of runs at an upstream within one second that were sent from a given time on.
func (u *upstream) busiestSecond(from time.Time) int {
	most := 0
	runs := u.replica.Runs()
	for i, first := range runs {
		if first.At.Before(from) {
			continue
		}
		n := 0
		for _, other := range runs[i:] {
			if other.At.Sub(first.At) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// runCold has the replicas of a service become cold a second time.
func runCold(r *run) (broken bool, err error) {
	r.store.Put("keyed.op", "config", coldConfig)
	for i := range 3 {
		if err := r.addUpstream(fmt.Sprint("i-", i), "booking-desk", fmt.Sprint("zone-", i%2)); err != nil {
			return false, err
		}
	}
	r.listAll(1, 0)
	for i := range coldInstances {
		if err := r.addInstance(fmt.Sprint("edge-", i), fmt.Sprint("zone-", i%2)); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	for i, in := range r.instances {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				a := send(in, fmt.Sprintf("look-%d-%d", i, n), "GET", "/call/x", "kept", "")
				mu.Lock()
				answers[a.status]++
				mu.Unlock()
			}
		})
	}
	allowed := coldOverrun*coldPerSecond + coldSlack
	check := func(sequence int) int {
		from := time.Now()
		r.listAll(sequence, warmTime)
		r.log("all replicas are cold for %v", warmTime)
		time.Sleep(warmTime)
		r.listAll(sequence+1, 0)
		most := 0
		for i, u := range r.upstreams {
			n := u.busiestSecond(from)
			r.log("i-%d got %d requests in its busiest second while it was cold, %.1f allowed", i, n, allowed)
			most = max(most, n)
		}
		return most
	}
	time.Sleep(2 * time.Second)
	most := check(2)
	if r.trouble {
		time.Sleep(12 * time.Second)
		most = max(most, check(4))
	}
	close(stop)
	callers.Wait()
	var text bytes.Buffer
	for status, n := range answers {
		fmt.Fprintf(&text, " status %d: %d", status, n)
	}
	r.log("answers:%s", text.String())
	return float64(most) > allowed, nil
}
