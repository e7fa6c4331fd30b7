//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// revokeBound is revokeMs of the settings.
	revokeBound = 5 * time.Second
	// revocationConfig has one route; its parameters are the version and the keys of the tenants.
	revocationConfig = `{"version":%d,"routes":[{"name":"reserve","host":"shop.example","pathPrefix":"/call/","routeType":"non_idempotent","timeoutMs":1500,
 "targetLatencyMs":100,"service":"shopfront","maxAttempts":2,"priority":0}],"services":[{"name":"shopfront","healthPath":"/healthz","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":5000,"idleTimeoutMs":20000},
 "tenants":[{"name":"weavers","apiKeys":["kept"]},{"name":"buyers","apiKeys":[%s]}]}`
)

// runRevocation takes a key away while the store turns one instance away for a moment; the store then comes back from a copy that is some
// seconds old.
func runRevocation(r *run) (broken bool, err error) {
	r.store.Put("keyed.op", "config", fmt.Sprintf(revocationConfig, 10, `"revoked","other"`))
	for i := range 4 {
		if err := r.addUpstream(fmt.Sprint("i-", i), "shopfront", fmt.Sprint("zone-", i%2)); err != nil {
			return false, err
		}
	}
	for i := range 4 {
		if err := r.addInstance(fmt.Sprint("edge-", i), fmt.Sprint("zone-", i%2)); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for _, in := range r.instances {
		if a := send(in, "before-"+in.name, "POST", "/call/a", "revoked", "x"); a.status != 200 {
			return false, fmt.Errorf("before the revocation %s answered %d %s %v", in.name, a.status, a.body, a.err)
		}
	}
	older := r.store.Copy()
	r.log("a copy of the store is made")
	time.Sleep(2 * time.Second)
	away := r.instances[0]
	r.links[0].awaitOperationsRead()
	if r.trouble {
		r.log("the store turns %s away", away.name)
		r.links[0].turnAway(true)
	}
	time.Sleep(50 * time.Millisecond)
	revoked := fmt.Sprintf(revocationConfig, 13, `"other"`)
	r.store.Put("keyed.op", "config", revoked)
	confirmedAt := time.Now()
	r.log("version 13, without the key, is confirmed")
	time.Sleep(250 * time.Millisecond)
	if r.trouble {
		r.log("the store is away")
		for _, l := range r.links {
			l.turnAway(true)
		}
	}
	time.Sleep(400 * time.Millisecond)
	if r.trouble {
		r.store.Restore(older)
		for _, l := range r.links {
			l.turnAway(false)
		}
		r.log("the store is back from the copy")
		for i, u := range r.upstreams {
			r.store.Put("keyed.servers", fmt.Sprint("i-", i), u.entry)
		}
	}
	writtenAgain := confirmedAt.Add(650*time.Millisecond + rewriteDelay)
	late := 0
	for n := 0; time.Since(confirmedAt) < 10*time.Second; n++ {
		if r.trouble && !writtenAgain.IsZero() && time.Now().After(writtenAgain) {
			r.store.Put("keyed.op", "config", revoked)
			r.log("the operator has written version 13 again")
			writtenAgain = time.Time{}
		}
		for _, in := range r.instances {
			a := send(in, fmt.Sprintf("%s-%d", in.name, n), "POST", "/call/a", "revoked", "x")
			runs := r.runsOf(a.id)
			after := a.sentAt.Sub(confirmedAt)
			r.log("%s, sent %.3f s after the confirmation: status %d %q, runs %d", a.id, after.Seconds(), a.status, strings.TrimSpace(a.body), len(runs))
			if after > revokeBound && len(runs) > 0 {
				late++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.log("%d requests with the revoked key ran that were sent more than %v after the confirmation", late, revokeBound)
	return late > 0, nil
}

// rewriteDelay is how long after the store's return the operator writes again what the store has lost.
const rewriteDelay = 6 * time.Second
