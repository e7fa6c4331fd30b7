//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"carawayknot.example/carawayknot/platform/standin"
)

const (
	// failedShare is the share of its requests that the failing replica answers with 500, as 1 in 3.
	failedShare = 3
	bookings    = 160
)

// resumableConfig has a non-idempotent route on which streamResume is set.
var resumableConfig = strings.NewReplacer(`"streamResume":false`, `"streamResume":true`, `"maxAttempts":1`, `"maxAttempts":3`).Replace(bookingConfig)

// playResume lets one replica run some requests and answer them with failures, on a non-idempotent route that has streamResume, and checks that no
// request runs twice.
func playResume(ctx context.Context, r *Record, trouble bool) (broken []string, err error) {
	dir, err := os.MkdirTemp("", "review-resume-")
	if err != nil {
		return nil, err
	}
	defer cleanUp(dir)
	store := &standin.Store{}
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	store.Put("keyed.op", "config", resumableConfig)
	var replicas []*standin.Replica
	for i := range 8 {
		rep := &standin.Replica{ID: fmt.Sprintf("i-desk%d", i)}
		server, err := standin.NewServer(rep, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer server.Close()
		replicas = append(replicas, rep)
		store.Put("keyed.servers", rep.ID, upstreamEntry("desk", server.Address, "ready", 1, 1700000000000))
	}
	if trouble {
		var requests atomic.Int64
		replicas[0].SetFaultsFor(func(*http.Request) standin.ReplicaFaults {
			return standin.ReplicaFaults{Fail: requests.Add(1)%failedShare == 0}
		})
		r.Log("%s runs its requests and answers 1 in %d of them with 500", replicas[0].ID, failedShare)
	}
	in, err := StartInstance(dir, "edge-0", zones[0], strings.TrimPrefix(storeServer.URL, "http://"))
	if err != nil {
		return nil, err
	}
	defer in.Kill()
	if err := in.AwaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	c := &Consumer{Address: in.Caller}
	defer c.Close()
	answers := map[int]int{}
	for i := range bookings {
		a, err := c.Send(http.MethodPost, "/book/call", "table 7", "Host: house", fmt.Sprintf("Attempt-Id: booking-%d", i), "Deadline-Ms: 3000")
		if err != nil {
			return nil, err
		}
		answers[a.Status]++
		time.Sleep(20 * time.Millisecond)
	}
	r.Log("%d requests, by status: %v", bookings, answers)
	runs := map[string][]string{}
	for _, rep := range replicas {
		for _, run := range rep.Runs() {
			runs[run.ID] = append(runs[run.ID], rep.ID)
		}
	}
	for i := range bookings {
		id := fmt.Sprintf("booking-%d", i)
		if len(runs[id]) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s of a non-idempotent route ran at %s", id, strings.Join(runs[id], " and ")))
		}
	}
	if answers[http.StatusOK] == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}
