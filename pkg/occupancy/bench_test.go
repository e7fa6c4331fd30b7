package occupancy

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// BenchmarkOpen chooses among the upstreams of a service, as each attempt does.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{9, 60, 620} {
		for name, room := range map[string]request.Room{"sound": soundRoom, "fragile": fragileRoom} {
			b.Run(fmt.Sprint(n, " ", name), func(b *testing.B) {
				s := newSlots("instance-0", 67)
				var upstreams []*catalogue.Upstream
				for i := range n {
					upstreams = append(upstreams, newUpstream(fmt.Sprint("u", i), 64))
					s.Observe(upstreams[i], room, 1, 2)
				}
				for b.Loop() {
					s.Open(upstreams, 5000)
				}
			})
		}
	}
}
