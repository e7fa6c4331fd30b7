//go:build review

package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"carawayknot.example/carawayknot/platform/standin"
)

const (
	instanceCount = 6
	replicaCount  = 5
	heartbeat     = 1200 * time.Millisecond
	// lostAt is when a heartbeat of the leaving replica gets no answer, and executedAt when the store executes it, 5.2 s later; the pages
	// allow up to 6 s.
	lostAt     = 3200 * time.Millisecond
	executedAt = 8400 * time.Millisecond
	// leavesAt is when the replica reports that it leaves, more than contactMs after the last disturbance, and exitsAt when it exits, 3.6 s later.
	leavesAt = 6300 * time.Millisecond
	exitsAt  = 9900 * time.Millisecond
	// adviceEvents and adviceInterval make a stream of 2.3 s.
	adviceEvents   = 38
	adviceInterval = 60 * time.Millisecond
)

// adviceConfig has a route of streams that may not be resumed.
const adviceConfig = `{"version":1,"routes":[{"name":"advice","host":"house","pathPrefix":"/advice/","routeType":"streaming","timeoutMs":15000,
"targetLatencyMs":2000,"targetGapMs":1000,"priority":0,"service":"chai","maxAttempts":1,"anonymous":true,"sessionAffinity":false,"streamResume":false}],
"services":[{"name":"chai","healthPath":"/healthz","maxConnections":370}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// registrar writes the heartbeats of one replica.
type registrar struct {
	store    *standin.Store
	id       string
	address  string
	born     int64
	mu       sync.Mutex
	sequence int
	state    string
	gone     bool
}

// beat writes the entry of the replica after the next sequence number, at once or after a delay in the store.
func (g *registrar) beat(delay time.Duration) (sequence int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gone {
		return 0
	}
	g.sequence++
	entry := upstreamEntry("chai", g.address, g.state, g.sequence, g.born)
	if delay == 0 {
		g.store.Put("keyed.servers", g.id, entry)
	} else {
		time.AfterFunc(delay, func() { g.store.Put("keyed.servers", g.id, entry) })
	}
	return g.sequence
}

// set changes the state that later heartbeats report.
func (g *registrar) set(state string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = state
}

// leave removes the entry and ends the heartbeats.
func (g *registrar) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gone = true
	g.store.Put("keyed.servers", g.id, "")
}

// playLateHeartbeat lets the store execute a heartbeat of a replica seconds late, when the replica has reported that it leaves, and checks that the
// replica gets no request later than drainMs after that report.
func playLateHeartbeat(ctx context.Context, r *Record, trouble bool) (broken []string, err error) {
	dir, err := os.MkdirTemp("", "review-heartbeat-")
	if err != nil {
		return nil, err
	}
	defer cleanUp(dir)
	store := &standin.Store{}
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	store.Put("keyed.op", "config", adviceConfig)
	var replicas []*standin.Replica
	var servers []*standin.Server
	var registrars []*registrar
	for i := range replicaCount {
		rep := &standin.Replica{ID: fmt.Sprintf("i-chai%d", i), Events: adviceEvents, EventInterval: adviceInterval}
		server, err := standin.NewServer(rep, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		servers, replicas = append(servers, server), append(replicas, rep)
		registrars = append(registrars, &registrar{store: store, id: rep.ID, address: server.Address, born: 1700000000000 + int64(i), state: "ready"})
		registrars[i].beat(0)
		if i > 0 {
			defer server.Close()
		}
	}
	var loads []*Load
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for i := range instanceCount {
		in, err := StartInstance(dir, fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i), zones[i%len(zones)], strings.TrimPrefix(storeServer.URL, "http://"))
		if err != nil {
			return nil, err
		}
		defer in.Kill()
		if err := in.AwaitReady(ctx); err != nil {
			return nil, err
		}
		loads = append(loads, &Load{
			Address: in.Caller, Prefix: in.Name, Target: "/advice/plan", Consumers: 15, Interval: 2400 * time.Millisecond,
			Lines: []string{"Host: house", "Deadline-Ms: 15000"},
		})
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	r.Log("start")
	for _, l := range loads {
		l.Start(loadCtx)
	}
	after := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	leaving := replicas[0]
	beats, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	for i, g := range registrars {
		go func() {
			for at := 800*time.Millisecond + time.Duration(i)*heartbeat/replicaCount; ; at += heartbeat {
				select {
				case <-time.After(time.Until(start.Add(at))):
				case <-beats.Done():
					return
				}
				if i == 0 && at == lostAt && trouble {
					r.Log("heartbeat %d of %s, ready, gets no answer; the store executes it %v later", g.beat(executedAt-lostAt), g.id, executedAt-lostAt)
					continue
				}
				g.beat(0)
			}
		}()
	}
	after(leavesAt)
	registrars[0].set("draining")
	leaving.SetFaults(standin.ReplicaFaults{Leaving: true})
	sequence := registrars[0].beat(0)
	confirmedAt := time.Now()
	r.Log("%s reports draining with heartbeat %d, the store confirms; it says Server-Leaving in all its answers", leaving.ID, sequence)
	after(exitsAt)
	servers[0].Close()
	registrars[0].leave()
	r.Log("%s exits, %v after the confirmation, and its entry is removed", leaving.ID, time.Since(confirmedAt).Round(time.Millisecond))
	after(exitsAt + time.Second)
	stopLoad()
	results := map[string]Result{}
	for _, l := range loads {
		for id, result := range l.Wait() {
			results[id] = result
		}
	}
	r.Log("%d requests, by status: %v", len(results), statuses(results))
	for i, rep := range replicas {
		r.Log("%s ran %d requests", rep.ID, len(rep.Runs()))
		if i > 0 {
			continue
		}
		for _, run := range rep.Runs() {
			if late := run.At.Sub(confirmedAt) - drainTime; late > 0 {
				broken = append(broken, fmt.Sprintf("DRAIN: request %s reached %s %v after drainMs had passed, and its consumer got status %d (%s)", run.ID, rep.ID,
					late.Round(time.Millisecond), results[run.ID].Status, results[run.ID].Error))
			}
		}
	}
	if statuses(results)[200] == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}
