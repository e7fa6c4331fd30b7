package reservation

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// Era tells over how many streams the claims are spread for keys from a time on, in wall milliseconds. The time of a
// key never changes, so that all instances look for it in the same stream as long as they learn of an era before it
// begins.
type Era struct {
	From  clock.Millis
	Count int
}

// stream returns the stream of one partition.
func (e Era) stream(n int) string {
	if e.Count <= 1 {
		return StreamName
	}
	return fmt.Sprintf("%s-%d-%02d", StreamName, e.Count, n)
}

// StreamOf returns the stream that carries the claims of a key. Eras are in order of time, and the first one also holds
// for keys before it; with none there is a single stream.
func StreamOf(eras []Era, key string, keyAt clock.Millis) string {
	var in Era
	for i, e := range eras {
		if i == 0 || e.From <= keyAt {
			in = e
		}
	}
	if in.Count <= 1 {
		return StreamName
	}
	return in.stream(int(xxhash.Sum64String(key) % uint64(in.Count)))
}

// Streams returns the names of all streams of the eras.
func Streams(eras []Era) []string {
	if len(eras) == 0 {
		return []string{StreamName}
	}
	var names []string
	known := map[string]bool{}
	for _, e := range eras {
		for n := range max(e.Count, 1) {
			if name := e.stream(n); !known[name] {
				known[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// Partitions is the filter that hands a request to the book of its key's stream.
type Partitions struct {
	Eras []Era
	// Books has a book for each of Streams(Eras).
	Books map[string]*Book
}

// Run runs all books until ctx ends.
func (p *Partitions) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, b := range p.Books {
		g.Go(func() error { return b.Run(ctx) })
	}
	return g.Wait()
}

// Filter is that of the book of the request's key.
func (p *Partitions) Filter(ctx context.Context, c *request.Call, next request.Handler) error {
	if c.Request.Repeatable {
		return next.Handle(ctx, c)
	}
	t, err := newTicket(c.Request)
	if err != nil {
		return err
	}
	return p.Books[StreamOf(p.Eras, t.key, t.keyAt)].Filter(ctx, c, next)
}

// Ready tells whether all books are ready.
func (p *Partitions) Ready() bool {
	for _, b := range p.Books {
		if !b.Ready() {
			return false
		}
	}
	return true
}

// Flush returns once all outcomes and releases are in the log, or the cause for which ctx ended.
func (p *Partitions) Flush(ctx context.Context) error {
	for _, b := range p.Books {
		if err := b.Flush(ctx); err != nil {
			return err
		}
	}
	return nil
}
