package membership

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

func namedMembers(n int) []catalogue.Member {
	out := make([]catalogue.Member, n)
	for i := range out {
		out[i] = catalogue.Member{Name: fmt.Sprintf("entry-%03d", i), Zone: fmt.Sprintf("zone-%d", i%6), Incarnation: 1}
	}
	return out
}

func newGossips(members []catalogue.Member) []*Gossip {
	out := make([]*Gossip, len(members))
	for i, m := range members {
		out[i] = &Gossip{Self: m}
		out[i].SetMembers(members)
	}
	return out
}

// pull merges into a the items that b holds and a lacks, and reports whether there were any.
func pull(a, b *Gossip) bool {
	d := b.Delta(a.Digest())
	if d.Differ {
		d = b.Delta(a.SparseDigest())
	}
	return a.Merge(d)
}

func TestGossipSpreads(t *testing.T) {
	members := namedMembers(5)
	gs := newGossips(members)
	for i, g := range gs {
		g.Put("t", "k", []byte{byte(i + 1)})
		g.Put("t", "gone", []byte{9})
		g.Put("t", "gone", nil)
	}
	for range 3 {
		for i := range gs {
			pull(gs[i], gs[(i+1)%len(gs)])
			pull(gs[i], gs[(i+2)%len(gs)])
		}
	}
	for i, g := range gs {
		var want []Item
		for k, m := range members {
			want = append(want, Item{Origin: m.Name, Incarnation: 1, Topic: "t", Key: "k", Data: []byte{byte(k + 1)}})
		}
		if diff := cmp.Diff(want, g.Items("t")); diff != "" {
			t.Errorf("items of instance %d (-want +got):\n%s", i, diff)
		}
		if pull(g, gs[(i+1)%len(gs)]) {
			t.Errorf("instance %d changed by merging from one with the same items", i)
		}
	}
}

func TestGossipRestart(t *testing.T) {
	members := namedMembers(3)
	gs := newGossips(members)
	for range 500 {
		gs[0].Put("t", "n", fmt.Append(nil, gs[0].headOf(members[0])))
	}
	pull(gs[1], gs[0])
	restarted := append([]catalogue.Member(nil), members...)
	restarted[0].Incarnation = 2
	restartedGossip := &Gossip{Self: restarted[0]}
	restartedGossip.SetMembers(restarted)
	restartedGossip.Put("t", "n", []byte("new"))
	pull(gs[1], restartedGossip)
	gs[1].SetMembers(restarted)
	pull(restartedGossip, gs[1])
	// A third instance must get the new incarnation from the second and never bring back the old one.
	pull(gs[2], gs[1])
	pull(gs[1], gs[0])
	for i, g := range []*Gossip{gs[1], gs[2], restartedGossip} {
		if got := g.Items("t"); len(got) != 1 || string(got[0].Data) != "new" || got[0].Incarnation != 2 {
			t.Errorf("items of instance %d after the restart: %v, want one of incarnation 2", i, got)
		}
	}
}

func TestGossipBoundedDelta(t *testing.T) {
	members := namedMembers(2)
	gs := newGossips(members)
	data := make([]byte, 1000)
	for i := range 100 {
		gs[0].Put("t", fmt.Sprint(i), data)
	}
	rounds := 0
	for pull(gs[1], gs[0]) {
		rounds++
	}
	if got := len(gs[1].Items("t")); got != 100 || rounds < 10 {
		t.Errorf("%d items after %d rounds, want 100 after at least 10", got, rounds)
	}
}
