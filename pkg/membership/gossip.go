package membership

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const (
	// maxDeltaBytes limits the data of one delta.
	maxDeltaBytes = 3 << 10
	// itemOverheadBytes is added to the size of each item.
	itemOverheadBytes = 16
)

// Item is a value that an instance, its origin, publishes to all others; each origin writes its own items only.
type Item struct {
	Origin      string
	Incarnation int64
	Topic       string
	Key         string
	Data        []byte
}

// Gossip replicates the items of all members by exchanging digests and deltas; it is not safe for concurrent use.
type Gossip struct {
	// Self is the origin of the items that are passed to Put.
	Self catalogue.Member

	origins    map[string]*origin
	members    []catalogue.Member
	viewHash   uint64
	startIndex int
	// changes has the items of other origins that changed since the last TakeChanges.
	changes map[changeKey]Item
}

// changeKey identifies an item of an origin.
type changeKey struct {
	origin string
	item   itemKey
}

// origin holds the items of one incarnation of a member; head is the highest sequence number held.
type origin struct {
	name        string
	incarnation int64
	head        uint64
	items       map[itemKey]*itemState
}

type itemKey struct{ topic, key string }

type itemState struct {
	seq  uint64
	data []byte
}

// SetMembers sets the instances whose items are kept; members must be sorted by name.
func (g *Gossip) SetMembers(members []catalogue.Member) {
	g.members = members
	g.viewHash = hashView(members)
	kept := make(map[string]*origin, len(members))
	for _, m := range members {
		if o := g.origins[m.Name]; o != nil {
			kept[m.Name] = o
		}
	}
	if o := g.origins[g.Self.Name]; o != nil {
		kept[g.Self.Name] = o
	}
	g.origins = kept
}

// hashView returns a hash of the names and incarnations, by which two instances detect that they see the same members.
func hashView(members []catalogue.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range members {
		_, _ = d.WriteString(m.Name)
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(m.Incarnation)))
	}
	return d.Sum64()
}

// Put publishes an item of this instance; nil data withdraws it.
func (g *Gossip) Put(topic, key string, data []byte) {
	o := g.selfOrigin()
	k := itemKey{topic, key}
	if s := o.items[k]; s != nil && bytes.Equal(s.data, data) {
		return
	}
	o.head++
	o.items[k] = &itemState{seq: o.head, data: slices.Clone(data)}
}

func (g *Gossip) selfOrigin() *origin {
	if g.origins == nil {
		g.origins = map[string]*origin{}
	}
	o := g.origins[g.Self.Name]
	if o == nil {
		o = &origin{name: g.Self.Name, incarnation: g.Self.Incarnation, items: map[itemKey]*itemState{}}
		g.origins[o.name] = o
	}
	return o
}

// Items returns the items of a topic, sorted by origin and key; their data must not be modified.
func (g *Gossip) Items(topic string) []Item {
	var out []Item
	for _, o := range g.origins {
		for k, s := range o.items {
			if k.topic == topic && len(s.data) > 0 {
				out = append(out, Item{Origin: o.name, Incarnation: o.incarnation, Topic: topic, Key: k.key, Data: s.data})
			}
		}
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(strings.Compare(a.Origin, b.Origin), strings.Compare(a.Key, b.Key))
	})
	return out
}

// Item returns the data of one item of the member's current incarnation, or nil when it is not held.
func (g *Gossip) Item(m catalogue.Member, topic, key string) []byte {
	o := g.origins[m.Name]
	if o == nil || o.incarnation != m.Incarnation {
		return nil
	}
	if s := o.items[itemKey{topic, key}]; s != nil {
		return s.data
	}
	return nil
}

// Merge applies a delta and reports whether it brought anything new.
func (g *Gossip) Merge(d Delta) (changed bool) {
	for i := range d.Origins {
		if g.mergeOrigin(&d.Origins[i]) {
			changed = true
		}
	}
	return changed
}

func (g *Gossip) mergeOrigin(d *OriginDelta) bool {
	if d.Name == g.Self.Name || !g.isMember(d.Name) {
		return false
	}
	if g.origins == nil {
		g.origins = map[string]*origin{}
	}
	o := g.origins[d.Name]
	if o != nil && o.incarnation > d.Incarnation {
		return false
	}
	if o == nil || o.incarnation < d.Incarnation {
		o = &origin{name: d.Name, incarnation: d.Incarnation, items: map[itemKey]*itemState{}}
	}
	if o.head < d.After || o.head >= d.Head {
		return false
	}
	g.origins[d.Name] = o
	for _, it := range d.Items {
		if it.Seq > o.head {
			k := itemKey{it.Topic, it.Key}
			o.items[k] = &itemState{seq: it.Seq, data: it.Data}
			g.recordChange(o, k, it.Data)
		}
	}
	o.head = d.Head
	return true
}

func (g *Gossip) recordChange(o *origin, k itemKey, data []byte) {
	if k.topic == RevisionTopic {
		return
	}
	if g.changes == nil {
		g.changes = map[changeKey]Item{}
	}
	g.changes[changeKey{o.name, k}] = Item{Origin: o.name, Incarnation: o.incarnation, Topic: k.topic, Key: k.key, Data: data}
}

// TakeChanges returns and forgets the items of other origins that changed, sorted, except those of RevisionTopic; an item without
// data was withdrawn.
func (g *Gossip) TakeChanges() []Item {
	out := make([]Item, 0, len(g.changes))
	for _, it := range g.changes {
		out = append(out, it)
	}
	g.changes = nil
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(strings.Compare(a.Topic, b.Topic), strings.Compare(a.Origin, b.Origin), strings.Compare(a.Key, b.Key))
	})
	return out
}

func (g *Gossip) isMember(name string) bool {
	_, found := slices.BinarySearchFunc(g.members, name, func(m catalogue.Member, n string) int { return strings.Compare(m.Name, n) })
	return found
}
