//go:build review

package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"carawayknot.example/carawayknot/platform/standin"
)

const (
	// zones is the number of zones of kchl-bookings.
	zones = 3
	// replicaSlots is what replicas write as their capacity.
	replicaSlots = 64
	// deskTimeout is timeoutMs of the routes of booking-desk in kchl-bookings, and deskWork the work of a request there.
	deskTimeout = 1500 * time.Millisecond
	deskWork    = 60 * time.Millisecond
	// deskDeadline is the time limit of its requests.
	deskDeadline = 3 * time.Second
	// replicaDownTime is how long a replica is down after a crash.
	replicaDownTime = 2 * time.Second
)

// cluster is the platform of a case: a store, replicas and entry machines.
type cluster struct {
	rec         *record
	dir         string
	store       *standin.Store
	storeServer *httptest.Server
	instances   []*instance
	closers     []func()
	// listings has the entries of the replicas, by id.
	listings map[string]string
}

func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "carawayknot-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, store: &standin.Store{}, listings: map[string]string{}}
	c.storeServer = httptest.NewServer(c.store)
	return c, nil
}

// close ends all processes and servers that the case started, and removes its files unless the variable KEEP is set.
func (c *cluster) close() {
	for _, in := range c.instances {
		in.kill()
		_ = in.logs.Close()
	}
	for _, closeServer := range c.closers {
		closeServer()
	}
	c.storeServer.CloseClientConnections()
	c.storeServer.Close()
	if os.Getenv("KEEP") != "" {
		c.rec.printf("files are in %s", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// startInstances starts n machines, whose zones take turns.
func (c *cluster) startInstances(n int) error {
	for i := range n {
		in, err := newInstance(c.rec, c.dir, i+1, fmt.Sprintf("zone-%c", 'a'+i%zones), strings.TrimPrefix(c.storeServer.URL, "http://"))
		if err != nil {
			return err
		}
		c.instances = append(c.instances, in)
	}
	return c.startAll()
}

// startAll starts the processes of all machines at the same time and returns an error of one of them.
func (c *cluster) startAll() error {
	errs := make(chan error, len(c.instances))
	for _, in := range c.instances {
		go func() { errs <- in.start() }()
	}
	var failed error
	for range c.instances {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	return failed
}

// putConfig writes a configuration as the operator does.
func (c *cluster) putConfig(text string) {
	c.store.Put("keyed.op", "config", text)
	c.rec.printf("the operator writes %s", text)
}

// setStoreDown makes the store answer all calls with 503, or serve again.
func (c *cluster) setStoreDown(down bool) { c.store.SetFaults(standin.StoreFaults{Down: down}) }

// register writes the entry of a replica to the store.
func (c *cluster) register(id, service, address string) {
	c.listings[id] = fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"1","capacity":%d,"state":"ready","warmupLeftMs":0,"sequence":1,"born":%d}`,
		service, address, replicaSlots, time.Now().UnixMilli())
	c.store.Put("keyed.servers", id, c.listings[id])
}

// registerAgain writes the entries of all replicas again, as they do when the store has lost them.
func (c *cluster) registerAgain() {
	for id, text := range c.listings {
		c.store.Put("keyed.servers", id, text)
	}
}

// startHandler serves a replica that is a handler of the case and registers it.
func (c *cluster) startHandler(id, service string, h http.Handler) {
	s := httptest.NewServer(h)
	c.closers = append(c.closers, func() {
		s.CloseClientConnections()
		s.Close()
	})
	c.register(id, service, strings.TrimPrefix(s.URL, "http://"))
}

// startReplica serves and registers a replica of the project's stand-ins, which is down for downTime after a crash.
func (c *cluster) startReplica(id, service string, downTime time.Duration) (*standin.Replica, error) {
	rep := &standin.Replica{ID: id, DownTime: downTime}
	srv, err := standin.NewServer(rep, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.closers = append(c.closers, srv.Close)
	c.register(id, service, srv.Address)
	return rep, nil
}

// routeConfig returns a configuration with the routes /book/, which may not be repeated, and /look/, which may, and with the keys of one
// tenant. Its limits are those of the example in the platform's pages.
func routeConfig(version int, timeout time.Duration, keys ...string) string {
	quoted := make([]string, len(keys))
	for i, key := range keys {
		quoted[i] = fmt.Sprintf("%q", key)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"book","host":"house.example","pathPrefix":"/book/","routeType":"non_idempotent","timeoutMs":%[2]d,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"anonymous":false},`+
		`{"name":"look","host":"house.example","pathPrefix":"/look/","routeType":"idempotent","timeoutMs":%[2]d,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"anonymous":false}],`+
		`"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110,"warmupS":0,"warmupPerS":0}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"house","apiKeys":[%s],"priority":1}]}`, version, timeout.Milliseconds(), strings.Join(quoted, ","))
}
