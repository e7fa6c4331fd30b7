//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// bulkReplica is a stand-in of a replica that answers requests at once, with a long body.
type bulkReplica struct {
	id   string
	body []byte

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP runs a request that is meant for this replica.
func (b *bulkReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Replica"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Attempt-Id")
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal-"+b.id)
	if strings.HasSuffix(r.URL.Path, uploadPath) {
		time.Sleep(uploadTime)
		_, _ = io.WriteString(w, "stored")
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(b.body)))
	_, _ = w.Write(b.body)
}

const (
	// uploadPath ends the path of requests that get a short answer, after uploadTime.
	uploadPath = "/upload"
	uploadTime = 2 * time.Second
)

func (b *bulkReplica) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// addBulkReplicas starts replicas of a service that answer with bodies of the given length, and lists them.
func (r *run) addBulkReplicas(n int, service string, length int) ([]*bulkReplica, error) {
	var replicas []*bulkReplica
	for i := range n {
		b := &bulkReplica{id: fmt.Sprint("i-", i), body: bytes.Repeat([]byte{byte('a' + i)}, length), runs: map[string]int{}}
		address, err := r.serve(b)
		if err != nil {
			return nil, err
		}
		r.store.Put("keyed.servers", b.id, fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":"zone-%d","version":"v1","capacity":8,"state":"ready","warmupLeftMs":0,"sequence":1,"born":%d}`,
			service, address, i%2, time.Now().UnixMilli()))
		replicas = append(replicas, b)
	}
	return replicas, nil
}
