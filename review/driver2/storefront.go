//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time of an answer, and storeEgressPerS the bytes a second of all reads, as in the settings of the small sites.
	storeLatency    = 4 * time.Millisecond
	storeEgressPerS = 80e6
	// readHeaderBytes is the length of the end and the first offset in front of the records of log-read.
	readHeaderBytes = 16
	lengthBytes     = 4
)

// StoreFront is the way of one instance to the store: it can be cut, takes the time that the store takes, holds to maxFetch, and names the replicas
// at the addresses by which that instance reaches them.
type StoreFront struct {
	Store http.Handler
	// Addresses maps the addresses of replicas to those of the instance's links to them.
	Addresses map[string]string
	// OnRead receives the number of records of each log-read of the operators' topic and of those that the topic has beyond them; it is optional.
	OnRead func(records, more int)

	mu     sync.Mutex
	healed chan struct{}
}

// Cut cuts the instance off: calls get no answer until Heal.
func (f *StoreFront) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healed = make(chan struct{})
}

// Heal lets later calls through; those before it are never answered.
func (f *StoreFront) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.healed)
	f.healed = nil
}

func (f *StoreFront) isCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.healed != nil
}

// ServeHTTP passes a call to the store.
func (f *StoreFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.isCut() {
		<-r.Context().Done()
		return
	}
	inner := r.Clone(r.Context())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	f.Store.ServeHTTP(answer, inner)
	if f.isCut() {
		<-r.Context().Done()
		return
	}
	b := answer.Body.Bytes()
	if r.Context().Err() != nil {
		return
	}
	if answer.Code == http.StatusOK {
		switch r.URL.Path {
		case "/-/log-read":
			b = f.rewriteRead(b, r)
		case "/-/log-newest":
			b = f.rewriteNewest(b)
		}
	}
	time.Sleep(storeLatency + time.Duration(float64(len(b))/storeEgressPerS*float64(time.Second)))
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(b)
}

func (f *StoreFront) rewrite(value []byte) []byte {
	for address, link := range f.Addresses {
		value = bytes.ReplaceAll(value, []byte(`"`+address+`"`), []byte(`"`+link+`"`))
	}
	return value
}

// rewriteRead rewrites the records of log-read, of which there are at most maxFetch KB, but one at least.
func (f *StoreFront) rewriteRead(b []byte, r *http.Request) []byte {
	maxFetch, err := strconv.Atoi(r.URL.Query().Get("maxFetch"))
	if err != nil {
		maxFetch = 1024
	}
	out := bytes.Clone(b[:readHeaderBytes])
	records, more := 0, 0
	for b = b[readHeaderBytes:]; len(b) >= lengthBytes; {
		n := lengthBytes + int(binary.BigEndian.Uint32(b))
		if records > 0 && len(out)+n > maxFetch<<10 {
			more++
		} else {
			content := f.rewrite(b[lengthBytes:n])
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(content))), content...)
			records++
		}
		b = b[n:]
	}
	if f.OnRead != nil && strings.HasPrefix(r.URL.Query().Get("topic"), "keyed.op") {
		f.OnRead(records, more)
	}
	return out
}

func (f *StoreFront) rewriteNewest(b []byte) []byte {
	var page map[string]json.RawMessage
	var entries []struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	if json.Unmarshal(b, &page) != nil || json.Unmarshal(page["entries"], &entries) != nil {
		return b
	}
	for i := range entries {
		value, err := base64.StdEncoding.DecodeString(entries[i].Value)
		if err != nil {
			return b
		}
		entries[i].Value = base64.StdEncoding.EncodeToString(f.rewrite(value))
	}
	page["entries"], _ = json.Marshal(entries)
	b, _ = json.Marshal(page)
	return b
}
