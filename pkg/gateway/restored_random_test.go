package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// fakeLog is a topic that can go back to an earlier length.
type fakeLog[T any] struct {
	items []T
	key   func(T) string
	era   int64
	// position and positionEra are those of the reader.
	position    int64
	positionEra int64
	loaded      bool
}

func (l *fakeLog[T]) newest() map[string]T {
	m := map[string]T{}
	for _, item := range l.items {
		m[l.key(item)] = item
	}
	return m
}

// read returns the next batch as a Follower passes it on.
func (l *fakeLog[T]) read(removed func(T) bool) archive.Batch[T] {
	b := archive.Batch[T]{Next: int64(len(l.items)), Era: l.era}
	if !l.loaded || l.positionEra != l.era {
		b.Whole = true
		for _, item := range l.newest() {
			if !removed(item) {
				b.Items = append(b.Items, item)
			}
		}
	} else {
		b.Items = l.items[l.position:]
	}
	l.position, l.positionEra, l.loaded = b.Next, l.era, true
	return b
}

func (l *fakeLog[T]) restore(r *rand.Rand) {
	l.items = l.items[:len(l.items)-r.IntN(min(6, len(l.items)+1))]
	l.items = l.items[:len(l.items):len(l.items)]
	l.era++
}

// Guards against a view that differs from the store for good after any sequence of changes and returns from older copies.
func TestViewFollowsAStoreThatGoesBack(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		ops := &fakeLog[catalogue.Operation]{key: func(o catalogue.Operation) string {
			if o.Kind == catalogue.OperationZoneOut {
				return o.Zone
			}
			return "rollout/" + o.Order.Service
		}}
		list := &fakeLog[catalogue.Listing]{key: func(l catalogue.Listing) string { return l.Name }}
		opRemoved := func(o catalogue.Operation) bool { return o.Removed }
		listRemoved := func(l catalogue.Listing) bool { return l.Removed }
		v, now := &View{}, clock.Millis(0)
		sequence := int64(0)
		for range 60 {
			now += clock.Millis(r.IntN(1500))
			v.Expire(now)
			switch r.IntN(8) {
			case 0:
				ops.restore(r)
				list.restore(r)
			case 1, 2:
				ops.items = append(ops.items, zoneOut(fmt.Sprint("z", r.IntN(2)), r.IntN(2) == 0))
			case 3:
				ops.items = append(ops.items, order(fmt.Sprint("v", r.IntN(3)), r.IntN(4) == 0))
			case 4, 5:
				sequence++
				l := entry(fmt.Sprint("u", r.IntN(4)), 1, sequence, false)
				if l.Removed = r.IntN(3) == 0; l.Removed {
					l.Upstream = nil
				}
				list.items = append(list.items, l)
			default:
				v.ApplyOperations(ops.read(opRemoved), now)
				v.ApplyListings(list.read(listRemoved), now)
			}
		}
		v.ApplyOperations(ops.read(opRemoved), now)
		v.ApplyListings(list.read(listRemoved), now)
		for at, due := v.NextExpiry(); due; at, due = v.NextExpiry() {
			v.Expire(at)
		}
		wantZones, wantTarget, wantUpstreams := map[string]bool{}, "", map[string]bool{}
		for _, o := range ops.newest() {
			switch {
			case o.Removed:
			case o.Kind == catalogue.OperationZoneOut:
				wantZones[o.Zone] = true
			default:
				wantTarget = o.Order.Target
			}
		}
		for name, l := range list.newest() {
			if !l.Removed {
				wantUpstreams[name] = true
			}
		}
		gotUpstreams := map[string]bool{}
		for name := range v.upstreams {
			gotUpstreams[name] = true
		}
		if diff := cmp.Diff(wantZones, v.zonesOut) + cmp.Diff(wantTarget, v.orders["lm"].Target) + cmp.Diff(wantUpstreams, gotUpstreams); diff != "" {
			t.Fatalf("seed %d: zones out, target and upstreams (-want +got):\n%s", seed, diff)
		}
	}
}
