//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"carawayknot.example/carawayknot/platform/standin"
)

// readyTimeout bounds the time until all instances serve.
const readyTimeout = 15 * time.Second

// run is one run of a case: its processes, its stand-ins and its record.
type run struct {
	// trouble is false if the disruption is to be left out.
	trouble bool
	store   *standin.Store

	folder    string
	startedAt time.Time
	upstreams []*upstream
	instances []*instance
	links     []*storeLink
	servers   []*http.Server

	mu     sync.Mutex
	record *os.File
}

func newRun(recordPath string, trouble bool) (*run, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	return &run{trouble: trouble, store: &standin.Store{}, folder: folder, startedAt: time.Now(), record: record}, nil
}

// log writes a line with the time since the start to the record.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.record.WriteString(line)
}

// close ends all processes and servers of the run.
func (r *run) close() {
	for _, in := range r.instances {
		in.kill()
	}
	for _, u := range r.upstreams {
		u.server.Close()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.folder)
}

// serve serves h on a free loopback port until the end of the run.
func (r *run) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// upstream is a stand-in of a replica with its entry in the store.
type upstream struct {
	replica *standin.Replica
	server  *standin.Server
	entry   string
}

// addUpstream starts a replica of a service and lists it.
func (r *run) addUpstream(id, service, zone string) error {
	rep := &standin.Replica{ID: id, Events: 6, EventInterval: 20 * time.Millisecond}
	s, err := standin.NewServer(rep, "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &upstream{replica: rep, server: s}
	u.entry = fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":8,"state":"ready","warmupLeftMs":0,"sequence":1,"born":%d}`,
		service, s.Address, zone, time.Now().UnixMilli())
	r.upstreams = append(r.upstreams, u)
	r.store.Put("keyed.servers", id, u.entry)
	return nil
}

// addInstance starts an instance in a zone, with a link of its own to the store.
func (r *run) addInstance(name, zone string) error {
	link := &storeLink{store: r.store}
	address, err := r.serve(link)
	if err != nil {
		return err
	}
	in, err := startInstance(r, name, zone, address)
	if err != nil {
		return err
	}
	r.links, r.instances = append(r.links, link), append(r.instances, in)
	return nil
}

// awaitReady waits until all instances report that they are ready.
func (r *run) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, in := range r.instances {
		for !in.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready after %v", in.name, readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// runsOf returns the runs of an attempt at all upstreams, in order of time.
func (r *run) runsOf(id string) []standin.Run {
	var runs []standin.Run
	for _, u := range r.upstreams {
		for _, run := range u.replica.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	return runs
}

func (r *run) path(name string) string { return filepath.Join(r.folder, name) }
