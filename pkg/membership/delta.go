package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Digest summarizes which items an instance holds, so that another one can work out the items it lacks.
type Digest struct {
	// View is the hash of the members that the sender sees.
	View uint64
	// Dense has the low 16 bits of the highest sequence number held of each member, in the order of their names, for a receiver
	// with the same View.
	Dense []byte
	// Sparse has the hash and the highest sequence number of each origin, for a receiver whose View differs.
	Sparse   []byte
	IsSparse bool
}

// Delta has the items that the sender of a digest lacks.
type Delta struct {
	Origins []OriginDelta
	// Differ is true when the digest was dense and the views differ, so that a sparse digest is needed.
	Differ bool
}

// OriginDelta has the items of one origin with sequence numbers above After and up to Head.
type OriginDelta struct {
	Name        string
	Incarnation int64
	After       uint64
	Head        uint64
	Items       []ItemDelta
}

// ItemDelta is an item with the sequence number of its latest version.
type ItemDelta struct {
	Topic string
	Key   string
	Seq   uint64
	Data  []byte
}

// Digest returns the dense digest, for a receiver that sees the same members.
func (g *Gossip) Digest() Digest {
	d := Digest{View: g.viewHash, Dense: make([]byte, 0, 2*len(g.members))}
	for _, m := range g.members {
		d.Dense = binary.LittleEndian.AppendUint16(d.Dense, uint16(g.headOf(m)))
	}
	return d
}

// SparseDigest returns the digest for a receiver that sees different members.
func (g *Gossip) SparseDigest() Digest {
	d := Digest{View: g.viewHash, IsSparse: true}
	for _, m := range g.members {
		o := g.origins[m.Name]
		if o == nil {
			continue
		}
		d.Sparse = binary.LittleEndian.AppendUint32(d.Sparse, originHash(o.name, o.incarnation))
		d.Sparse = binary.AppendUvarint(d.Sparse, o.head)
	}
	return d
}

// headOf returns the highest sequence number held of the member's current incarnation; 0 when none is held.
func (g *Gossip) headOf(m catalogue.Member) uint64 {
	o := g.origins[m.Name]
	if o == nil || o.incarnation != m.Incarnation {
		return 0
	}
	return o.head
}

func originHash(name string, incarnation int64) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(incarnation)))
	return uint32(d.Sum64())
}

// Delta returns the items that the sender of the digest lacks, up to about maxDeltaBytes of data.
func (g *Gossip) Delta(d Digest) Delta {
	switch {
	case d.IsSparse:
		return g.deltaAbove(sparseHeads(d.Sparse))
	case d.View != g.viewHash || len(d.Dense) != 2*len(g.members):
		return Delta{Differ: true}
	}
	return g.deltaAbove(g.denseHeads(d.Dense))
}

// headFunc returns the highest sequence number that the sender of a digest holds of o, the origin of the i-th member.
type headFunc func(i int, o *origin) uint64

func (g *Gossip) denseHeads(dense []byte) headFunc {
	return func(i int, o *origin) uint64 {
		if o.incarnation != g.members[i].Incarnation {
			// Both instances see the same incarnation of the member, but the items held here are of another one: send none.
			return o.head
		}
		// The digest has 16 bits of each sequence number; the signed difference allows for their wraparound.
		ahead := int16(uint16(o.head) - binary.LittleEndian.Uint16(dense[2*i:]))
		if ahead <= 0 {
			return o.head
		}
		return o.head - min(uint64(ahead), o.head)
	}
}

func sparseHeads(sparse []byte) headFunc {
	heads := map[uint32]uint64{}
	for len(sparse) > 4 {
		h := binary.LittleEndian.Uint32(sparse)
		head, n := binary.Uvarint(sparse[4:])
		if n <= 0 {
			break
		}
		heads[h] = head
		sparse = sparse[4+n:]
	}
	return func(_ int, o *origin) uint64 { return heads[originHash(o.name, o.incarnation)] }
}

// deltaAbove starts at a different member on each call, so that deltas of limited size cover all members over time.
func (g *Gossip) deltaAbove(heldHead headFunc) Delta {
	var d Delta
	budget := maxDeltaBytes
	g.startIndex++
	for n := range g.members {
		index := (n + g.startIndex) % len(g.members)
		o := g.origins[g.members[index].Name]
		if o == nil {
			continue
		}
		after := heldHead(index, o)
		if after >= o.head {
			continue
		}
		if budget <= 0 {
			break
		}
		od := o.deltaSince(after, &budget)
		d.Origins = append(d.Origins, od)
	}
	return d
}

// deltaSince returns the items above a sequence number in order, until the budget is used up; the first item is always included.
func (o *origin) deltaSince(after uint64, budget *int) OriginDelta {
	d := OriginDelta{Name: o.name, Incarnation: o.incarnation, After: after, Head: o.head}
	for k, state := range o.items {
		if state.seq > after {
			d.Items = append(d.Items, ItemDelta{Topic: k.topic, Key: k.key, Seq: state.seq, Data: state.data})
		}
	}
	slices.SortFunc(d.Items, func(a, b ItemDelta) int { return int(a.Seq) - int(b.Seq) })
	for i, it := range d.Items {
		*budget -= itemOverheadBytes + len(it.Topic) + len(it.Key) + len(it.Data)
		if *budget < 0 && i > 0 {
			d.Items = d.Items[:i]
			d.Head = d.Items[i-1].Seq
			break
		}
	}
	return d
}
