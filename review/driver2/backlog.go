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
	// The store turns edge-0 away from awayAt until answersAt, which is 9 s.
	awayAt    = 2 * time.Second
	answersAt = 11 * time.Second
	// From changesAt on, changeCount configurations follow each other, and at revokedAt another one without the key.
	changesAt   = 2200 * time.Millisecond
	changePause = 250 * time.Millisecond
	changeCount = 14
	revokedAt   = 5800 * time.Millisecond
	stopAt      = 15000 * time.Millisecond
	// revokeTime is revokeMs.
	revokeTime = 5 * time.Second
	// idleRoutes is how many routes the configuration has beside the one that is used.
	idleRoutes = 700
	// maxRecordBytes is recordBytes, which bounds a record of the store.
	maxRecordBytes = 262144
)

// largeConfig returns a configuration with many routes and these tenants, each with one key.
func largeConfig(version int, tenants ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range idleRoutes {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"idle.example","pathPrefix":"/idle-%d/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":%d,"service":"desk","maxAttempts":2},`,
			i, i, 300+version)
	}
	b.WriteString(`{"name":"look","host":"house","pathPrefix":"/look/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"service":"desk","maxAttempts":2}],
"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[`)
	for i, name := range tenants {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":%q,"apiKeys":[%q]}`, name, "key-of-"+name)
	}
	b.WriteString("]}")
	return b.String()
}

// playBacklog cuts an instance off from the store while large configurations follow each other, the last of which takes a key away, and checks that
// no request with that key runs which was sent later than revokeMs after its confirmation.
func playBacklog(ctx context.Context, r *Record, trouble bool) (broken []string, err error) {
	dir, err := os.MkdirTemp("", "review-backlog-")
	if err != nil {
		return nil, err
	}
	defer cleanUp(dir)
	store := &standin.Store{}
	first := largeConfig(1, "house", "garden")
	if len(first) > maxRecordBytes {
		return nil, fmt.Errorf("a configuration has %d bytes", len(first))
	}
	store.Put("keyed.op", "config", first)
	rep := &standin.Replica{ID: "i-desk0"}
	server, err := standin.NewServer(rep, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer server.Close()
	store.Put("keyed.servers", rep.ID, upstreamEntry("desk", server.Address, "ready", 1, 1700000000000))
	var front *StoreFront
	var in *Instance
	for i, zone := range zones {
		f := &StoreFront{Store: store}
		if i == 0 {
			f.OnRead = func(records, more int) {
				if records > 0 {
					r.Log("edge-0 reads %d configurations, %d more follow them in the store", records, more)
				}
			}
		}
		frontServer := httptest.NewServer(f)
		defer frontServer.Close()
		defer frontServer.CloseClientConnections()
		instance, err := StartInstance(dir, fmt.Sprintf("edge-%d", i), zone, strings.TrimPrefix(frontServer.URL, "http://"))
		if err != nil {
			return nil, err
		}
		defer instance.Kill()
		if err := instance.AwaitReady(ctx); err != nil {
			return nil, err
		}
		if i == 0 {
			front, in = f, instance
		}
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loads := map[string]*Load{}
	for _, tenant := range []string{"house", "garden"} {
		loads[tenant] = &Load{
			Address: in.Caller, Prefix: tenant, Target: "/look/call", Consumers: 20, Interval: 200 * time.Millisecond,
			Lines: []string{"Host: house", "Deadline-Ms: 3000", "Key: key-of-" + tenant},
		}
	}
	time.Sleep(time.Second)
	start := time.Now()
	for _, l := range loads {
		l.Start(loadCtx)
	}
	r.Log("start; a configuration has %d bytes", len(first))
	after := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	after(awayAt)
	if trouble {
		front.Cut()
		r.Log("the store gives edge-0 no answers")
	}
	for i := range changeCount {
		after(changesAt + time.Duration(i)*changePause)
		store.Put("keyed.op", "config", largeConfig(2+i, "house", "garden"))
		r.Log("configuration %d is confirmed", 2+i)
	}
	after(revokedAt)
	store.Put("keyed.op", "config", largeConfig(2+changeCount, "garden"))
	confirmedAt := time.Now()
	r.Log("configuration %d is confirmed, which takes the key of the tenant house away", 2+changeCount)
	after(answersAt)
	if trouble {
		front.Heal()
		r.Log("the store answers edge-0 again, %v after the confirmation", time.Since(confirmedAt).Round(time.Millisecond))
	}
	after(stopAt)
	stopLoad()
	results := loads["house"].Wait()
	r.Log("%d requests with the key of house, by status: %v; with that of garden: %v", len(results), statuses(results), statuses(loads["garden"].Wait()))
	for _, run := range rep.Runs() {
		result, revoked := results[run.ID]
		if !revoked || result.SentAt.Sub(confirmedAt) <= revokeTime {
			continue
		}
		broken = append(broken, fmt.Sprintf("CONFIG: request %s, sent %v after the confirmation that its key was taken away, ran for the tenant %s; status %d", run.ID,
			result.SentAt.Sub(confirmedAt).Round(time.Millisecond), run.Tenant, result.Status))
	}
	if statuses(results)[200] == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}
