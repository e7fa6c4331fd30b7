package dispatch

import (
	"container/heap"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Ticket is one request that waits for room.
type Ticket struct {
	Priority int
	At       clock.Millis
	// Ready is called once when room may have come up.
	Ready func()

	seq   int64
	index int
}

// Queue holds waiting requests, the highest priority first and then the longest waiting; it is safe for concurrent use.
type Queue struct {
	// Limit bounds the requests that wait.
	Limit int

	mu      sync.Mutex
	seq     int64
	tickets ticketHeap
}

// Push adds the ticket, or returns false when the queue is full.
func (q *Queue) Push(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.tickets) >= q.Limit {
		return false
	}
	q.seq++
	t.seq = q.seq
	heap.Push(&q.tickets, t)
	return true
}

// Drop takes a ticket out that no longer waits.
func (q *Queue) Drop(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.index >= 0 && t.index < len(q.tickets) && q.tickets[t.index] == t {
		heap.Remove(&q.tickets, t.index)
	}
}

// Wake takes the first ticket out and calls its Ready.
func (q *Queue) Wake() {
	if t := q.pop(); t != nil {
		t.Ready()
	}
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.tickets)
}

func (q *Queue) pop() *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.tickets) == 0 {
		return nil
	}
	return heap.Pop(&q.tickets).(*Ticket)
}

type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].seq < h[j].seq
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	t.index = -1
	*h = old[:len(old)-1]
	return t
}
