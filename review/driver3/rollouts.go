//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"carawayknot.example/carawayknot/platform/standin"
)

const (
	// sessions is the number of sessions, each with a request after each sessionPause, at changing instances.
	sessions     = 60
	sessionPause = 300 * time.Millisecond
	// rolloutSpan is durationS of both rollouts, and badAfter the time from the second order until its version fails half of its requests.
	rolloutSpan = 14 * time.Second
	badAfter    = 7 * time.Second
	// exposureShare and exposureSlack are those of the settings.
	exposureShare = 0.15
	exposureSlack = 30
	// sessionConfig has the route of the site for chats, without streamResume.
	sessionConfig = `{"version":10,"routes":[{"name":"volunteer-ask","host":"shop.example","pathPrefix":"/ask/","routeType":"streaming","timeoutMs":12000,
 "targetLatencyMs":2000,"targetGapMs":1000,"service":"loom-llm","maxAttempts":3,"priority":1,"sessionAffinity":true}],
 "services":[{"name":"loom-llm","healthPath":"/healthz","maxConnections":360,"runtime":{"capacity":64,"kvCapacity":444000,"models":[{"name":"small","cost":0.02}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"desk","apiKeys":["kept"]}]}`
)

// release is the replicas of one version.
type release struct {
	version  string
	replicas []*standin.Replica
}

// addRelease starts replicas of a version and lists them.
func (r *run) addRelease(version string) (*release, error) {
	rel := &release{version: version}
	for i := range 4 {
		id := fmt.Sprintf("%s-%d", version, i)
		rep := &standin.Replica{ID: id, Events: 4, EventInterval: 5 * time.Millisecond}
		s, err := standin.NewServer(rep, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		r.upstreams = append(r.upstreams, &upstream{replica: rep, server: s})
		r.store.Put("keyed.servers", id, fmt.Sprintf(
			`{"service":"loom-llm","address":%q,"zone":"zone-%d","version":%q,"capacity":64,"state":"ready","warmupLeftMs":0,"sequence":1,"born":%d}`,
			s.Address, i%2, version, time.Now().UnixMilli()))
		rel.replicas = append(rel.replicas, rep)
	}
	return rel, nil
}

// remove takes the replicas off the list, as after the end of a rollout.
func (r *run) remove(rel *release) {
	for _, rep := range rel.replicas {
		r.store.Put("keyed.servers", rep.ID, "")
	}
}

// failHalf makes the replicas fail every other request.
func (rel *release) failHalf() {
	for _, rep := range rel.replicas {
		var mu sync.Mutex
		n := 0
		rep.SetFaultsFor(func(*http.Request) standin.ReplicaFaults {
			mu.Lock()
			defer mu.Unlock()
			n++
			return standin.ReplicaFaults{Fail: n%2 == 0}
		})
	}
}

// runsBetween returns the number of runs of the replicas between two times.
func (rel *release) runsBetween(from, to time.Time) int {
	n := 0
	for _, rep := range rel.replicas {
		for _, run := range rep.Runs() {
			if run.At.After(from) && run.At.Before(to) {
				n++
			}
		}
	}
	return n
}

// order writes the order of a rollout and waits for its end, at most for its span and two seconds.
func (r *run) order(version string) (state string) {
	r.store.Put("keyed.op", "rollout/loom-llm", fmt.Sprintf(`{"service":"loom-llm","target":%q,"durationS":%g}`, version, rolloutSpan.Seconds()))
	r.log("rollout of %s ordered", version)
	for end := time.Now().Add(rolloutSpan + 2*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status := r.store.Newest("keyed.status", "rollout/loom-llm")
		if !strings.Contains(status, `"`+version+`"`) {
			continue
		}
		for _, end := range []string{"completed", "reverted"} {
			if strings.Contains(status, `"`+end+`"`) {
				r.log("status of %s: %s", version, end)
				return end
			}
		}
	}
	r.log("rollout of %s has not ended", version)
	return ""
}

// askInSessions sends requests of sessions until stop is closed, and returns their answers by status.
func (r *run) askInSessions(stop <-chan struct{}) map[int]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	for session := range sessions {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(sessionPause):
				}
				req, err := http.NewRequest(http.MethodPost, "http://"+r.instances[(session+n)%len(r.instances)].caller+"/ask/x", strings.NewReader("abc"))
				if err != nil {
					return
				}
				req.Host = "shop.example"
				for name, value := range map[string]string{
					"Attempt-Id": fmt.Sprintf("ask-%d-%d", session, n), "Deadline-Ms": "5000", "Key": "kept", "Model": "small", "Token-Count": "100,20",
					"Prefix-Hash": fmt.Sprintf("aa:50,c%d:30", session), "Session": fmt.Sprint("session-", session),
				} {
					req.Header.Set(name, value)
				}
				resp, err := http.DefaultClient.Do(req)
				status := 0
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = resp.StatusCode
				}
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return answers
}

// runRollouts orders a rollout right after another one was completed; its version turns bad in the middle.
func runRollouts(r *run) (broken bool, err error) {
	r.store.Put("keyed.op", "config", sessionConfig)
	first, err := r.addRelease("v1")
	if err != nil {
		return false, err
	}
	for i := range 3 {
		if err := r.addInstance(fmt.Sprint("edge-", i), fmt.Sprint("zone-", i%2)); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	stop, done := make(chan struct{}), make(chan map[int]int)
	go func() { done <- r.askInSessions(stop) }()
	time.Sleep(3 * time.Second)
	current := first
	if r.trouble {
		second, err := r.addRelease("v2")
		if err != nil {
			return false, err
		}
		if state := r.order("v2"); state != "completed" {
			return false, fmt.Errorf("the good version v2 ended as %q", state)
		}
		r.remove(first)
		current = second
	}
	time.Sleep(2 * time.Second)
	bad, err := r.addRelease("v3")
	if err != nil {
		return false, err
	}
	time.AfterFunc(badAfter, bad.failHalf)
	orderedAt := time.Now()
	r.order("v3")
	time.Sleep(time.Until(orderedAt.Add(rolloutSpan)))
	close(stop)
	answers := <-done
	end := orderedAt.Add(rolloutSpan)
	exposed, old := bad.runsBetween(orderedAt, end), current.runsBetween(orderedAt, end)
	allowed := exposureShare*float64(exposed+old) + exposureSlack
	r.log("first half of the rollout: %d requests of sessions at v3, %d at %s", bad.runsBetween(orderedAt, orderedAt.Add(rolloutSpan/2)),
		current.runsBetween(orderedAt, orderedAt.Add(rolloutSpan/2)), current.version)
	r.log("the bad version v3 got %d of %d requests until its time limit, %.0f allowed", exposed, exposed+old, allowed)
	r.log("answers by status: %v", answers)
	return float64(exposed) > allowed, nil
}
