package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// The benchmarks of this file give the growth per instance that docs/CAPACITY.md reports; nodes in their names are entry instances.

// countersBytes is the size of one instance's version counters: 7 versions, 3 kinds of work, 12 bytes each.
const countersBytes = 7 * 3 * 12

// deploymentSizes are the numbers of entry instances that are measured.
var deploymentSizes = []int{9, 60, 165, 330}

// benchSizes runs a benchmark for each number of instances.
func benchSizes(b *testing.B, sizes []int, run func(b *testing.B, size int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) { run(b, size) })
	}
}

// exchange lets all instances exchange once and publish their counters in turn.
func (m *mesh) exchange(round int) {
	list, err := m.list.Instances(m.t.Context())
	if err != nil {
		m.t.Fatal(err)
	}
	for i, n := range m.instances {
		if n.frozen {
			continue
		}
		if (round+i)%max(1, int(n.cluster.PublishPeriod()/m.cfg.Times.PeerTick)) == 0 {
			data := make([]byte, countersBytes)
			for k := range data {
				data[k] = byte(n.rand.Uint32())
			}
			n.cluster.Gossip.Put("v", "", data)
		}
		n.cluster.Membership.ApplyList(list, m.clock.Now())
		n.readLog()
		n.exchangeRound()
		m.clock.Advance(m.cfg.Times.PeerTick / clock.Millis(len(m.instances)))
	}
	m.clock.Advance(m.cfg.Times.PeerTick % clock.Millis(len(m.instances)))
}

func (m *mesh) exchangeRounds(rounds int) {
	for i := range rounds {
		m.exchange(i)
	}
}

func (m *mesh) readLists() {
	for _, n := range m.instances {
		n.readList()
	}
}

func (m *mesh) totalBytes() int64 {
	var sum int64
	for _, n := range m.instances {
		sum += n.sent + n.received
	}
	return sum
}

func BenchmarkExchange(b *testing.B) {
	scenarios := []struct {
		name  string
		begin func(m *mesh)
		round func(m *mesh, i int)
	}{
		{name: "steady"},
		{name: "logDown", begin: func(m *mesh) { m.logDown(true) }},
		{name: "logDownZoneLost", begin: func(m *mesh) {
			m.logDown(true)
			for i, n := range m.instances {
				n.frozen = i%6 == 0
			}
		}},
		{name: "restarts", round: func(m *mesh, i int) {
			// One instance is replaced every ten periods.
			if i%10 == 0 {
				m.restart(m.instances[i/10%len(m.instances)].self)
			}
		}},
	}
	for _, s := range scenarios {
		for _, size := range deploymentSizes {
			b.Run(fmt.Sprintf("%s/nodes=%d", s.name, size), func(b *testing.B) {
				m := newMesh(b, namedMembers(size))
				m.change(zoneOut("z", true, "first"))
				m.readLists()
				m.exchangeRounds(20)
				if s.begin != nil {
					s.begin(m)
				}
				m.exchangeRounds(10)
				before := m.totalBytes()
				var oldest clock.Millis
				b.ResetTimer()
				for i := range b.N {
					if s.round != nil {
						s.round(m, i)
					}
					m.exchange(i)
					for _, n := range m.instances {
						if n.frozen {
							continue
						}
						oldest = max(oldest, m.clock.Now()-n.cluster.ProvedAt())
					}
				}
				instancePeriods := float64(b.N * size)
				b.ReportMetric(float64(m.totalBytes()-before)/instancePeriods, "B/node/s")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/instancePeriods, "µs/node/s")
				b.ReportMetric(float64(oldest), "ms-oldest-proof")
			})
		}
	}
}

// BenchmarkHealing partitions the instances into two halves for an hour of changes, and reports the most bytes that an instance
// sends and receives in one period after that, and the periods until all hold the same items.
func BenchmarkHealing(b *testing.B) {
	benchSizes(b, []int{8, 60, 330}, func(b *testing.B, size int) {
		m := newMesh(b, namedMembers(size))
		m.change(zoneOut("z", true, "first"))
		m.exchangeRounds(10)
		worst, periods := int64(0), 0
		for i := range b.N {
			m.partitioned = func(from, to *meshInstance) bool { return m.indexOf(from)%2 != m.indexOf(to)%2 }
			for _, n := range m.instances {
				for range 3600 * clock.Second / n.cluster.PublishPeriod() {
					n.cluster.Gossip.Put("v", "", fmt.Appendf(make([]byte, countersBytes), "%d", n.rand.Uint64()))
				}
			}
			m.exchange(i)
			m.partitioned = nil
			for period := 1; !m.sameItems(); period++ {
				before := make([]int64, size)
				for k, n := range m.instances {
					before[k] = n.sent + n.received
				}
				for _, n := range m.instances {
					n.exchangeRound()
				}
				for k, n := range m.instances {
					worst = max(worst, n.sent+n.received-before[k])
				}
				periods = max(periods, period)
			}
		}
		b.ReportMetric(float64(worst), "most-B/node/s")
		b.ReportMetric(float64(periods), "periods")
	})
}

// BenchmarkInForce appends a change while nine in ten instances can't read the log, and reports the time until all of them
// hold it, with at most one exchange period between two steps of an instance.
func BenchmarkInForce(b *testing.B) {
	benchSizes(b, deploymentSizes, func(b *testing.B, size int) {
		m := newMesh(b, namedMembers(size))
		m.change(zoneOut("z", true, "first"))
		m.exchangeRounds(10)
		for i, n := range m.instances {
			n.view.SetPartition(i%10 != 0, i%10 != 0)
		}
		m.exchangeRounds(10)
		var worst clock.Millis
		for i := range b.N {
			start := m.clock.Now()
			r := m.change(zoneOut("z", i%2 == 0, fmt.Sprint(i)))
			for !m.holds(r) {
				m.exchange(i)
			}
			worst = max(worst, m.clock.Now()-start)
		}
		b.ReportMetric(float64(worst), "ms-worst")
	})
}

func (m *mesh) holds(r catalogue.Revision) bool {
	for _, n := range m.instances {
		if n.replica.State().Revision < r {
			return false
		}
	}
	return true
}

// sameItems reports whether all instances hold the same items.
func (m *mesh) sameItems() bool {
	want := m.instances[0].cluster.Gossip.Digest()
	for _, n := range m.instances {
		if d := n.cluster.Gossip.Digest(); !slices.Equal(d.Dense, want.Dense) {
			return false
		}
	}
	return true
}

// BenchmarkClusterStateMemory reports the heap bytes that ClusterState takes in each instance.
func BenchmarkClusterStateMemory(b *testing.B) {
	benchSizes(b, deploymentSizes, func(b *testing.B, size int) {
		for range b.N {
			before := heapBytes()
			m := newMesh(b, namedMembers(size))
			m.readLists()
			m.exchangeRounds(30)
			for _, n := range m.instances {
				n.pipes = nil
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(size), "heap-B/node")
			runtime.KeepAlive(m)
		}
	})
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

// BenchmarkSpread reports how many exchange periods pass until all instances hold a new item.
func BenchmarkSpread(b *testing.B) {
	benchSizes(b, deploymentSizes, func(b *testing.B, size int) {
		worst := 0
		for i := range b.N {
			m := newMesh(b, namedMembers(size))
			for _, n := range m.instances {
				n.readList()
				n.rand = rand.New(rand.NewPCG(uint64(i), uint64(m.indexOf(n))))
			}
			m.instances[0].cluster.Gossip.Put("t", "k", []byte("x"))
			for round := 1; ; round++ {
				for _, n := range m.instances {
					n.exchangeRound()
				}
				held := 0
				for _, n := range m.instances {
					held += len(n.cluster.Gossip.Items("t"))
				}
				if held == size {
					worst = max(worst, round)
					break
				}
			}
		}
		b.ReportMetric(float64(worst), "periods-to-all")
	})
}

// BenchmarkAsk measures one exchange without encoding.
func BenchmarkAsk(b *testing.B) {
	benchSizes(b, deploymentSizes, func(b *testing.B, size int) {
		m := newMesh(b, namedMembers(size))
		m.readLists()
		m.exchangeRounds(15)
		start := time.Now()
		for range b.N {
			ask := m.instances[0].cluster.Ask(false)
			answer := m.instances[1].cluster.Answer(ask)
			m.instances[0].cluster.MergeAnswer(m.instances[1].self.Name, m.clock.Now(), answer)
		}
		b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(b.N), "ns/exchange")
	})
}
