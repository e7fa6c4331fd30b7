//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"

	"carawayknot.example/carawayknot/platform/standin"
)

// catchAllConfig has one route, whose prefix begins every path of its host.
const catchAllConfig = `{"version":1,"routes":[{"name":"all","host":"house","pathPrefix":"/","routeType":"non_idempotent","timeoutMs":3000,
"targetLatencyMs":300,"priority":0,"service":"desk","maxAttempts":1,"anonymous":true,"sessionAffinity":false,"streamResume":false}],
"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// playTarget sends requests whose path has an empty first segment, and checks that the replica gets their targets as they were sent.
func playTarget(ctx context.Context, r *Record, trouble bool) (broken []string, err error) {
	dir, err := os.MkdirTemp("", "review-target-")
	if err != nil {
		return nil, err
	}
	defer cleanUp(dir)
	store := &standin.Store{}
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	rep := &standin.Replica{ID: "i-desk1"}
	server, err := standin.NewServer(rep, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer server.Close()
	store.Put("keyed.op", "config", catchAllConfig)
	store.Put("keyed.servers", rep.ID, upstreamEntry("desk", server.Address, "ready", 1, 1700000000000))
	in, err := StartInstance(dir, "edge-arusha-a-1", "arusha-a", strings.TrimPrefix(storeServer.URL, "http://"))
	if err != nil {
		return nil, err
	}
	defer in.Kill()
	if err := in.AwaitReady(ctx); err != nil {
		return nil, err
	}
	c := &Consumer{Address: in.Caller}
	defer c.Close()
	targets := []string{"/tables/call?day=3", "/tables//call"}
	if trouble {
		targets = append(targets, "//tables/call?day=3", "//tables/cancel/call")
	}
	sent := map[string]string{}
	for i, target := range targets {
		id := fmt.Sprintf("attempt-%d", i)
		sent[id] = target
		a, err := c.Send(http.MethodPost, target, "table 7", "Host: house", "Attempt-Id: "+id, "Deadline-Ms: 3000")
		if err != nil {
			return nil, err
		}
		r.Log("sent %s %s, answered %d %q", id, target, a.Status, a.Body)
	}
	for _, run := range rep.Runs() {
		r.Log("run %s with the request target %s", run.ID, run.Target)
		if want := sent[run.ID]; run.Target != want {
			b := fmt.Sprintf("UNASKED: request %s was sent with the target %s and run with %s", run.ID, want, run.Target)
			if u, err := url.ParseRequestURI(run.Target); err == nil && u.Host != "" {
				b += fmt.Sprintf(", which is the path %s of the host %s", u.Path, u.Host)
			}
			broken = append(broken, b)
		}
	}
	if n := len(rep.Runs()); n < 2 {
		return nil, fmt.Errorf("%d requests ran", n)
	}
	return broken, nil
}
