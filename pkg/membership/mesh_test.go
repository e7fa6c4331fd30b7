package membership

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net/rpc"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// mesh runs the control parts of many instances in one goroutine, with the encoding of real connections.
type mesh struct {
	t         testing.TB
	clock     *clock.Manual
	log       *fake.Log
	list      *fake.List
	cfg       settings.Settings
	instances []*meshInstance
	byName    map[string]*meshInstance
	// partitioned reports whether messages from one instance to another are lost.
	partitioned func(from, to *meshInstance) bool
}

type meshInstance struct {
	mesh     *mesh
	self     catalogue.Member
	replica  *archive.ConfigReplica
	cluster  *ClusterState
	exchange *Exchange
	rand     *rand.Rand
	view     *fake.LogView
	// frozen stops the instance like a stopped process.
	frozen bool
	// listDown makes the list unavailable to the instance.
	listDown bool
	pipes    map[string]*pipe
	// sent and received count the bytes of messages.
	sent, received int64
}

// pipe is one direction of a connection; it keeps the gob types that were already sent.
type pipe struct {
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

func (p *pipe) transfer(header, body, outHeader, outBody any) (int64, error) {
	if p.enc == nil {
		p.enc, p.dec = gob.NewEncoder(&p.buf), gob.NewDecoder(&p.buf)
	}
	if err := errors.Join(p.enc.Encode(header), p.enc.Encode(body)); err != nil {
		return 0, err
	}
	n := int64(p.buf.Len())
	return n, errors.Join(p.dec.Decode(outHeader), p.dec.Decode(outBody))
}

func newMesh(t testing.TB, members []catalogue.Member) *mesh {
	c := clock.NewManual(1_000_000)
	m := &mesh{t: t, clock: c, log: &fake.Log{Clock: c}, list: &fake.List{Clock: c}, cfg: settings.Default(), byName: map[string]*meshInstance{}}
	for _, self := range members {
		m.start(self)
	}
	return m
}

// start starts an instance in place of any other one of the same name.
func (m *mesh) start(self catalogue.Member) *meshInstance {
	n := &meshInstance{mesh: m, self: self, pipes: map[string]*pipe{}, view: &fake.LogView{Log: m.log}}
	n.replica = &archive.ConfigReplica{Clock: m.clock, Name: self.Name}
	n.cluster = &ClusterState{
		Clock: m.clock, Self: self, Tick: m.cfg.Times.PeerTick, Replica: n.replica,
		Membership: &Membership{Self: self}, Freshness: &Freshness{Self: self.Name}, Gossip: &Gossip{Self: self},
	}
	n.exchange = &Exchange{
		Common: settings.Common{Log: logr.Discard(), Settings: &m.cfg, Clock: m.clock},
		Self:   self, Client: n, Cluster: n.cluster,
		RunInControl: func(_ context.Context, f func()) error { f(); return nil },
	}
	n.rand = rand.New(rand.NewPCG(uint64(len(m.instances)), uint64(self.Incarnation)))
	if old := m.byName[self.Name]; old != nil {
		m.instances[m.indexOf(old)] = n
	} else {
		m.instances = append(m.instances, n)
	}
	m.byName[self.Name] = n
	m.list.Put(backoffice.Instance{Name: self.Name, Role: catalogue.RoleEntry, PeerAddress: self.Name, Zone: self.Zone, Incarnation: self.Incarnation})
	return n
}

// restart replaces a member by its next incarnation, with empty memory.
func (m *mesh) restart(self catalogue.Member) {
	self.Incarnation++
	m.start(self)
}

func (m *mesh) indexOf(n *meshInstance) int {
	for i, other := range m.instances {
		if other == n {
			return i
		}
	}
	return -1
}

// Call delivers a call to another instance synchronously.
func (n *meshInstance) Call(_ context.Context, member, method string, args, reply any) error {
	to := n.mesh.byName[member]
	if to == nil || to.frozen || n.mesh.isPartitioned(n, to) {
		return errors.New("member is unreachable")
	}
	receiver := &Receiver{Exchange: to.exchange}
	var err error
	switch a := args.(type) {
	case *Ask:
		err = transferCall(n, to, method, a, receiver.Ask, reply)
	case *StateAsk:
		err = transferCall(n, to, method, a, receiver.State, reply)
	}
	if err == nil && n.mesh.isPartitioned(to, n) {
		return errors.New("answer lost")
	}
	return err
}

// transferCall encodes the arguments to the other instance, has it serve them, and encodes the answer back.
func transferCall[In, Out any](n, to *meshInstance, method string, args *In, serve func(*In, *Out) error, reply any) error {
	var in In
	var out Out
	sent, err := n.pipe(to).transfer(&rpc.Request{ServiceMethod: method, Seq: 9}, args, &rpc.Request{}, &in)
	if err != nil {
		return err
	}
	n.countBytes(to, sent)
	if err := serve(&in, &out); err != nil {
		return err
	}
	sent, err = to.pipe(n).transfer(&rpc.Response{ServiceMethod: method, Seq: 9}, &out, &rpc.Response{}, reply)
	to.countBytes(n, sent)
	return err
}

func (n *meshInstance) countBytes(to *meshInstance, bytes int64) {
	n.sent += bytes
	to.received += bytes
}

func (m *mesh) isPartitioned(from, to *meshInstance) bool {
	return m.partitioned != nil && m.partitioned(from, to)
}

func (n *meshInstance) pipe(to *meshInstance) *pipe {
	p := n.pipes[to.self.Name]
	if p == nil {
		p = &pipe{}
		n.pipes[to.self.Name] = p
	}
	return p
}

// tick lets an instance read the list and the log and exchange with its peers.
func (n *meshInstance) tick() {
	if n.frozen {
		return
	}
	n.readList()
	n.readLog()
	n.exchangeRound()
}

func (n *meshInstance) readList() {
	if l, err := n.mesh.list.Instances(context.Background()); err == nil && !n.listDown {
		n.cluster.Membership.ApplyList(l, n.mesh.clock.Now())
	}
}

func (n *meshInstance) exchangeRound() {
	for _, p := range n.cluster.Peers(n.rand) {
		_ = n.exchange.exchangeWith(context.Background(), p)
	}
}

func (n *meshInstance) readLog() {
	for range 20 {
		from, sentAt := n.replica.Next(), n.mesh.clock.Now()
		b, err := n.view.Read(context.Background(), catalogue.StreamName, from, 100, 0)
		if n.replica.HandleRead(sentAt, b, err) != nil && n.replica.Next() == from {
			return
		}
		if n.replica.Next() == from {
			return
		}
	}
}

// run advances the clock; each instance ticks once a period, at times spread over the period.
func (m *mesh) run(span clock.Millis) {
	period := m.cfg.Times.PeerTick
	for end := m.clock.Now() + span; m.clock.Now() < end; {
		step := max(period/clock.Millis(len(m.instances)), 1)
		for i, n := range append([]*meshInstance(nil), m.instances...) {
			if clock.Millis(i)*step < period {
				m.clock.Advance(step)
			}
			n.tick()
		}
		if rest := period - step*clock.Millis(min(len(m.instances), int(period/step))); rest > 0 {
			m.clock.Advance(rest)
		}
	}
}

func (m *mesh) change(ch *catalogue.Change) catalogue.Revision {
	m.t.Helper()
	data, err := catalogue.EncodeChange(ch)
	if err != nil {
		m.t.Fatal(err)
	}
	first, err := m.log.Append(context.Background(), catalogue.StreamName, [][]byte{data})
	if err != nil {
		m.t.Fatal(err)
	}
	return catalogue.Revision(first) + 1
}

func zoneOut(zone string, out bool, id string) *catalogue.Change {
	object := `{"Name":"` + zone + `","Out":false}`
	if out {
		object = `{"Name":"` + zone + `","Out":true}`
	}
	return &catalogue.Change{ID: id, Edits: []catalogue.Edit{{Kind: catalogue.KindZone, Name: zone, AnyBase: true, Object: []byte(object)}}}
}
