//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// revoke is revokeMs.
	revoke = 5 * time.Second
	// copyLead is how long before the revocation the copy of the store is taken, and restoreAfter how long after it the store goes away.
	copyLead     = 1 * time.Second
	restoreAfter = revoke + 1*time.Second
	// storeAway is how long the store is away, and writtenAgain the time after its return until the operator has written again.
	storeAway    = 1 * time.Second
	writtenAgain = 2 * time.Second
	tryInterval  = 200 * time.Millisecond
)

// revocationCheck sends requests with a key that holds, k1, and with one that is taken away, k2.
type revocationCheck struct {
	c         *cluster
	revokedAt time.Time
	sent      int
	// ran counts the requests with k2 that ran although they were sent later than revokeMs after the confirmation.
	ran int
}

// try sends a request with each key to each machine.
func (v *revocationCheck) try(when string) {
	for _, in := range v.c.instances {
		for _, key := range []string{"k1", "k2"} {
			v.sent++
			sentAt := time.Since(v.revokedAt)
			a := sendOnce(in.frontend, key, http.MethodPost, "/book/call", fmt.Sprintf("book-%d", v.sent), []byte("table 7"), deskDeadline)
			v.c.rec.printf("%s, %.3f s after the confirmation, %s, key %s: %v", when, sentAt.Seconds(), in.name, key, a)
			if key == "k2" && sentAt > revoke && a.status == http.StatusOK && a.header.Get("Response-Seal") != "" {
				v.ran++
			}
		}
	}
}

// runRevocation takes a key away. Later than revokeMs after that the store comes back from a copy that still has the key, while one machine
// restarts. No request with the key may run any more, at any machine.
func runRevocation(c *cluster, trouble bool) (broken string, err error) {
	for i := range 2 {
		if _, err := c.startReplica(fmt.Sprintf("desk-%d", i+1), "desk", replicaDownTime); err != nil {
			return "", err
		}
	}
	withKey, withoutKey := routeConfig(1, deskTimeout, "k1", "k2"), routeConfig(2, deskTimeout, "k1")
	c.putConfig(withKey)
	if err := c.startInstances(3); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	older := c.store.Copy()
	c.rec.printf("the copy of the store is as of now")
	time.Sleep(copyLead)
	c.putConfig(withoutKey)
	v := &revocationCheck{c: c, revokedAt: time.Now()}
	c.rec.printf("confirmed: the key k2 is taken away")
	time.Sleep(restoreAfter)
	v.try("before")
	restarted := c.instances[len(c.instances)-1]
	c.rec.printf("%s is killed", restarted.name)
	restarted.kill()
	if trouble {
		c.rec.printf("the store is away, and comes back from the copy")
		c.setStoreDown(true)
		time.Sleep(storeAway)
		c.store.Restore(older)
		c.setStoreDown(false)
		c.registerAgain()
	} else {
		time.Sleep(storeAway)
	}
	back := time.Now()
	if err := restarted.start(); err != nil {
		return "", err
	}
	for time.Since(back) < writtenAgain {
		v.try("after")
		time.Sleep(tryInterval)
	}
	if trouble {
		c.putConfig(withoutKey)
	}
	time.Sleep(time.Second)
	v.try("in the end")
	c.rec.printf("%d requests with the key that was taken away ran later than revokeMs after the confirmation", v.ran)
	if v.ran > 0 {
		return fmt.Sprintf("CONFIG: %d requests ran that were sent later than revokeMs after the confirmation of the configuration that took their key away", v.ran), nil
	}
	return "", nil
}
