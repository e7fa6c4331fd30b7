package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Digest tells which items an instance holds.
type Digest struct {
	// View is the hash of the members that the sender sees.
	View uint64
	// Dense has the low 16 bits of the head of each member, in the order of their names; it is used by a receiver of the same view.
	Dense []byte
	// Sparse has the hash and the head of each origin, for a receiver of another view.
	Sparse   []byte
	IsSparse bool
}

// Delta has the items that the sender of a digest lacks.
type Delta struct {
	Origins []OriginDelta
	// Differ is true when the digest was dense and the views differ, so that a sparse one is needed.
	Differ bool
}

// OriginDelta has the items of an origin with sequence numbers above After and up to Head.
type OriginDelta struct {
	Name        string
	Incarnation int64
	After       uint64
	Head        uint64
	Items       []ItemDelta
}

// ItemDelta is an item with its sequence number.
type ItemDelta struct {
	Topic string
	Key   string
	Seq   uint64
	Data  []byte
}

// Digest returns the dense digest.
func (g *Gossip) Digest() Digest {
	d := Digest{View: g.view, Dense: make([]byte, 0, 2*len(g.members))}
	for _, m := range g.members {
		d.Dense = binary.LittleEndian.AppendUint16(d.Dense, uint16(g.head(m)))
	}
	return d
}

// SparseDigest returns the digest for a receiver that sees other members.
func (g *Gossip) SparseDigest() Digest {
	d := Digest{View: g.view, IsSparse: true}
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

// head returns the head held of the present incarnation of the member.
func (g *Gossip) head(m catalogue.Member) uint64 {
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

// Delta returns what the sender of the digest lacks, up to a bound.
func (g *Gossip) Delta(d Digest) Delta {
	switch {
	case d.IsSparse:
		return g.collect(sparseHeads(d.Sparse))
	case d.View != g.view || len(d.Dense) != 2*len(g.members):
		return Delta{Differ: true}
	}
	return g.collect(g.denseHeads(d.Dense))
}

// headsOf returns the head that the other instance holds of an origin.
type headsOf func(i int, o *origin) uint64

func (g *Gossip) denseHeads(dense []byte) headsOf {
	return func(i int, o *origin) uint64 {
		if o.incarnation != g.members[i].Incarnation {
			// Both see the same incarnation, and what is held here is from another one.
			return o.head
		}
		ahead := int16(uint16(o.head) - binary.LittleEndian.Uint16(dense[2*i:]))
		if ahead <= 0 {
			return o.head
		}
		return o.head - min(uint64(ahead), o.head)
	}
}

func sparseHeads(sparse []byte) headsOf {
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

// collect starts with another member each time, so that a bounded delta reaches all of them in the end.
func (g *Gossip) collect(held headsOf) Delta {
	var d Delta
	room := deltaBytes
	g.turn++
	for k := range g.members {
		i := (k + g.turn) % len(g.members)
		o := g.origins[g.members[i].Name]
		if o == nil {
			continue
		}
		after := held(i, o)
		if after >= o.head {
			continue
		}
		if room <= 0 {
			break
		}
		od := o.since(after, &room)
		d.Origins = append(d.Origins, od)
	}
	return d
}

// since returns the items above a sequence number, in order, until the room is used up.
func (o *origin) since(after uint64, room *int) OriginDelta {
	d := OriginDelta{Name: o.name, Incarnation: o.incarnation, After: after, Head: o.head}
	for k, s := range o.items {
		if s.seq > after {
			d.Items = append(d.Items, ItemDelta{Topic: k.topic, Key: k.key, Seq: s.seq, Data: s.data})
		}
	}
	slices.SortFunc(d.Items, func(a, b ItemDelta) int { return int(a.Seq) - int(b.Seq) })
	for i, it := range d.Items {
		*room -= itemOverhead + len(it.Topic) + len(it.Key) + len(it.Data)
		if *room < 0 && i > 0 {
			d.Items = d.Items[:i]
			d.Head = d.Items[i-1].Seq
			break
		}
	}
	return d
}
