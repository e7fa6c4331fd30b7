//go:build review

package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"carawayknot.example/carawayknot/platform/standin"
)

const (
	// The instance edge-0 is cut off from all replicas from cutAt until healAt, and the store is away from storeAwayAt until storeBackAt.
	cutAt       = 2 * time.Second
	storeAwayAt = 2500 * time.Millisecond
	healAt      = 5200 * time.Millisecond
	storeBackAt = 7 * time.Second
	// noticeAt is when a replica begins to leave.
	noticeAt = 3 * time.Second
	endAt    = 8 * time.Second
	// bookingTime is how long a replica works on a request.
	bookingTime = 60 * time.Millisecond
)

// playLeaving lets a replica say that it leaves in an answer that an instance passes on while it is cut off from all replicas, and checks that the
// instance sends that replica nothing later than drainMs after that.
func playLeaving(ctx context.Context, r *Record, trouble bool) (broken []string, err error) {
	dir, err := os.MkdirTemp("", "review-leaving-")
	if err != nil {
		return nil, err
	}
	defer cleanUp(dir)
	store := &standin.Store{}
	store.Put("keyed.op", "config", bookingConfig)
	var fronts []*StoreFront
	var links []*Link
	var replicas []*standin.Replica
	var entries []string
	addresses := map[string]string{}
	for i := range 3 {
		rep := &standin.Replica{ID: fmt.Sprintf("i-desk%d", i)}
		rep.SetFaults(standin.ReplicaFaults{Pause: bookingTime})
		server, err := standin.NewServer(rep, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer server.Close()
		link, err := NewLink(server.Address)
		if err != nil {
			return nil, err
		}
		defer link.Cut()
		replicas, links = append(replicas, rep), append(links, link)
		addresses[server.Address] = link.Address
		entries = append(entries, server.Address)
		store.Put("keyed.servers", rep.ID, upstreamEntry("desk", server.Address, "ready", 1, 1700000000000))
	}
	var loads []*Load
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for i := range 3 {
		front := &StoreFront{Store: store}
		if i == 0 {
			front.Addresses = addresses
		}
		fronts = append(fronts, front)
		server := httptest.NewServer(front)
		defer server.Close()
		defer server.CloseClientConnections()
		in, err := StartInstance(dir, fmt.Sprintf("edge-%d", i), zones[i], strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			return nil, err
		}
		defer in.Kill()
		if err := in.AwaitReady(ctx); err != nil {
			return nil, err
		}
		loads = append(loads, &Load{
			Address: in.Caller, Prefix: in.Name, Target: "/book/call", Consumers: 6, Interval: 200 * time.Millisecond,
			Lines: []string{"Host: house", "Deadline-Ms: 3000"},
		})
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	for _, l := range loads {
		l.Start(loadCtx)
	}
	r.Log("start")
	after := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	after(cutAt)
	if trouble {
		for _, l := range links {
			l.Cut()
		}
		r.Log("edge-0 is cut off from all replicas")
	}
	after(storeAwayAt)
	if trouble {
		for _, f := range fronts {
			f.Cut()
		}
		r.Log("the store is away")
	}
	after(noticeAt)
	leaving := replicas[0]
	leaving.SetFaults(standin.ReplicaFaults{Pause: bookingTime, Leaving: true})
	report := func() {
		store.Put("keyed.servers", leaving.ID, upstreamEntry("desk", entries[0], "draining", 2, 1700000000000))
	}
	if trouble {
		r.Log("%s begins to leave; it says so in all its answers, and can't report it to the store", leaving.ID)
	} else {
		report()
		r.Log("%s begins to leave; it says so in all its answers, and the store confirms its report", leaving.ID)
	}
	after(healAt)
	if trouble {
		for _, l := range links {
			if err := l.Heal(); err != nil {
				return nil, err
			}
		}
		r.Log("edge-0 reaches the replicas again")
	}
	after(storeBackAt)
	if trouble {
		for _, f := range fronts {
			f.Heal()
		}
		report()
		r.Log("the store is back and confirms the report of %s", leaving.ID)
	}
	after(endAt)
	stopLoad()
	results := loads[0].Wait()
	for _, l := range loads[1:] {
		l.Wait()
	}
	r.Log("%d requests at edge-0, by status: %v", len(results), statuses(results))
	// The time at which an answer was passed on is known from its consumer, and so is who took a request.
	var passedOn time.Time
	for _, result := range results {
		if result.Header.Get("Server-Leaving") == "1" && (passedOn.IsZero() || result.ReceivedAt.Before(passedOn)) {
			passedOn = result.ReceivedAt
			r.Log("edge-0 had passed on the answer to %s with Server-Leaving by %.3f s after the start", result.ID, passedOn.Sub(start).Seconds())
		}
	}
	if passedOn.IsZero() {
		if trouble {
			return nil, fmt.Errorf("edge-0 passed on no answer with Server-Leaving")
		}
		return nil, nil
	}
	for _, run := range leaving.Runs() {
		result, atEdge0 := results[run.ID]
		if !atEdge0 || result.SentAt.Sub(passedOn) <= drainTime {
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent to edge-0 %v after it had passed on an answer with Server-Leaving, reached %s; status %d", run.ID,
			result.SentAt.Sub(passedOn).Round(time.Millisecond), leaving.ID, result.Status))
	}
	return broken, nil
}
