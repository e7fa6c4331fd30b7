//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"carawayknot.example/carawayknot/platform/standin"
)

// storeLink is the way of one instance to the store, which may turn that instance away.
type storeLink struct {
	store *standin.Store

	mu sync.Mutex
	// closed resets all calls.
	closed bool
	// cancels end the calls under way.
	cancels map[int]context.CancelFunc
	next    int
	// operationsRead counts the reads of the operator's topic that were answered.
	operationsRead int
}

// awaitOperationsRead waits until one more read of the operator's topic was answered.
func (l *storeLink) awaitOperationsRead() {
	for before := l.countOperationsRead(); l.countOperationsRead() == before; {
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *storeLink) countOperationsRead() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.operationsRead
}

// turnAway resets the calls under way and all later ones until it is called with false.
func (l *storeLink) turnAway(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = on
	if !on {
		return
	}
	for _, cancel := range l.cancels {
		cancel()
	}
}

// ServeHTTP passes a call on to the store, or resets it.
func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if l.cancels == nil {
		l.cancels = map[int]context.CancelFunc{}
	}
	id := l.next
	l.next++
	l.cancels[id] = cancel
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.cancels, id)
		if r.URL.Query().Get("topic") == "keyed.op" {
			l.operationsRead++
		}
	}()
	l.store.ServeHTTP(w, r.WithContext(ctx))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}
