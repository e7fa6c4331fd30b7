package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

// BenchmarkCall measures one exchange over TCP on the loopback interface, both sides together.
func BenchmarkCall(b *testing.B) {
	benchSizes(b, deploymentSizes, func(b *testing.B, size int) {
		m := newMesh(b, namedMembers(size))
		m.readLists()
		m.logDown(true)
		m.exchangeRounds(10)
		a, _ := startNetwork(b, "a", "k")
		server, other := startNetwork(b, "b", "k")
		if err := server.Register(ExchangeName, &Receiver{Exchange: m.instances[1].exchange}); err != nil {
			b.Fatal(err)
		}
		a.SetMembers([]catalogue.Member{other})
		ask := m.instances[0].cluster.Ask(false)
		sent, received := a.Traffic()
		b.ResetTimer()
		for range b.N {
			var out Answer
			if err := a.Call(b.Context(), "b", ExchangeName+".Ask", &ask, &out); err != nil {
				b.Fatal(err)
			}
		}
		sentAfter, receivedAfter := a.Traffic()
		b.ReportMetric(float64(sentAfter-sent+receivedAfter-received)/float64(b.N), "B/call")
	})
}

// BenchmarkLinks reports the memory of open connections, both sides together.
func BenchmarkLinks(b *testing.B) {
	for _, links := range []int{8, 16, 32} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			for range b.N {
				a, _ := startNetwork(b, "a", "k")
				_, other := startNetwork(b, "b", "k")
				var members []catalogue.Member
				for i := range links {
					members = append(members, catalogue.Member{Name: fmt.Sprint(i), PeerAddress: other.PeerAddress})
				}
				a.SetMembers(members)
				before := heapBytes()
				for _, m := range members {
					var out string
					if err := a.Call(b.Context(), m.Name, "Echo.Say", "hello", &out); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(links), "B/link")
			}
		})
	}
}

// listOf returns an instance list with the given numbers of entry instances and upstreams.
func listOf(entries, upstreams int) backoffice.Listing {
	l := backoffice.Listing{AsOf: 1_760_000_000_000}
	for _, m := range namedMembers(entries) {
		l.Instances = append(l.Instances, backoffice.Instance{
			Name: m.Name, Role: catalogue.RoleEntry, Address: "10.20.30.40:8080", PeerAddress: "10.20.30.40:8082", Zone: m.Zone, Incarnation: 1_760_000_000_000,
		})
	}
	for i := range upstreams {
		l.Instances = append(l.Instances, backoffice.Instance{
			Name: fmt.Sprintf("engine-%03d", i), Role: catalogue.RoleEngine, Address: "10.20.30.40:9000", Zone: fmt.Sprintf("zone-%d", i%6),
			Incarnation: 1_760_000_000_000, Versions: []catalogue.VersionID{catalogue.VersionID(fmt.Sprintf("model-%d@2026-11-01", i%7))},
		})
	}
	return l
}

// BenchmarkList measures decoding and applying one list.
func BenchmarkList(b *testing.B) {
	for _, size := range [][2]int{{9, 16}, {60, 113}, {165, 310}, {330, 620}} {
		b.Run(fmt.Sprintf("instances=%d", size[0]+size[1]), func(b *testing.B) {
			data, err := json.Marshal(listOf(size[0], size[1]))
			if err != nil {
				b.Fatal(err)
			}
			m := &Membership{Self: namedMembers(1)[0]}
			for range b.N {
				var l backoffice.Listing
				if err := json.Unmarshal(data, &l); err != nil {
					b.Fatal(err)
				}
				m.ApplyList(l, l.AsOf)
			}
			b.ReportMetric(float64(len(data)), "B/list")
		})
	}
}

// BenchmarkWarmParts measures one instance's parts of all warm upstreams, which are computed once per change of the members.
func BenchmarkWarmParts(b *testing.B) {
	for _, size := range [][2]int{{9, 16}, {60, 113}, {165, 310}, {330, 620}} {
		members := namedMembers(size[0])
		b.Run(fmt.Sprintf("nodes=%d", size[0]), func(b *testing.B) {
			for range b.N {
				s := Subset{Self: members[0].Name}
				s.SetMembers(members)
				for u := range size[1] {
					s.Part(fmt.Sprintf("engine-%03d", u), 64)
				}
			}
		})
	}
}

// BenchmarkSubset reports how evenly the subsets spread load: each instance gets the same load and spreads it over the upstreams
// of a version in its subset by their parts; the load of an upstream is the sum over all instances.
func BenchmarkSubset(b *testing.B) {
	const instances, upstreams, versions, limit = 330, 620, 7, 64
	members := namedMembers(instances)
	for range b.N {
		load := make([]float64, upstreams)
		degree := make([]int, instances)
		fewest := upstreams
		for i, m := range members {
			s := Subset{Self: m.Name}
			s.SetMembers(members)
			parts := make([]int, upstreams)
			var sums [versions]int
			var reach [versions]int
			for u := range upstreams {
				parts[u] = s.Part(fmt.Sprintf("engine-%03d", u), limit)
				sums[u%versions] += parts[u]
				if parts[u] > 0 {
					degree[i]++
					reach[u%versions]++
				}
			}
			for _, r := range reach {
				fewest = min(fewest, r)
			}
			for u, part := range parts {
				if sums[u%versions] > 0 {
					load[u] += float64(part) / float64(sums[u%versions])
				}
			}
		}
		mean := float64(instances*versions) / upstreams
		b.ReportMetric(slices.Max(load)/mean, "worst/mean")
		b.ReportMetric(float64(slices.Max(degree)), "most-upstreams/node")
		b.ReportMetric(float64(slices.Min(degree)), "fewest-upstreams/node")
		b.ReportMetric(float64(fewest), "fewest-of-a-version")
	}
}
