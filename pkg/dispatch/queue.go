package dispatch

import (
	"container/heap"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// QueuedRequest is a request that waits for capacity; it must not be copied while it is in a Queue.
type QueuedRequest struct {
	Priority int
	// At is the monotonic time of arrival, in milliseconds.
	At clock.Millis
	// Ready is called at most once, when capacity may be available.
	Ready func()

	// seq is the arrival order, index the position in the heap, or -1 after removal.
	seq   int64
	index int
}

// Queue is a priority queue of waiting requests, first come first served within a priority; it is safe for concurrent use.
type Queue struct {
	// Limit is the maximum number of waiting requests.
	Limit int

	mu       sync.Mutex
	seq      int64
	requests requestHeap
}

// Push adds a request, or returns false if the queue is full.
func (q *Queue) Push(req *QueuedRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.requests) >= q.Limit {
		return false
	}
	q.seq++
	req.seq = q.seq
	heap.Push(&q.requests, req)
	return true
}

// Remove removes a request that no longer waits; it does nothing if Wake has removed it.
func (q *Queue) Remove(req *QueuedRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if req.index >= 0 && req.index < len(q.requests) && q.requests[req.index] == req {
		heap.Remove(&q.requests, req.index)
	}
}

// Wake removes the first request and calls its Ready; it does nothing on an empty queue.
func (q *Queue) Wake() {
	if req := q.pop(); req != nil {
		req.Ready()
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.requests)
}

func (q *Queue) pop() *QueuedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.requests) == 0 {
		return nil
	}
	return heap.Pop(&q.requests).(*QueuedRequest)
}

type requestHeap []*QueuedRequest

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].seq < h[j].seq
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *requestHeap) Push(x any) {
	req := x.(*QueuedRequest)
	req.index = len(*h)
	*h = append(*h, req)
}

func (h *requestHeap) Pop() any {
	old := *h
	req := old[len(old)-1]
	old[len(old)-1] = nil
	req.index = -1
	*h = old[:len(old)-1]
	return req
}
