package session

import (
	"fmt"
	"runtime"
	"testing"
)

func BenchmarkToken(b *testing.B) {
	keys := [][]byte{[]byte("0123456789abcdef0123456789abcdef")}
	for _, pins := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("pins=%d", pins), func(b *testing.B) {
			var list []Pin
			for n := range pins {
				list = append(list, Pin{Version: "swala@2", Profile: fmt.Sprintf("notes-%d", n), At: 1796243523000})
			}
			token := ""
			for b.Loop() {
				token = issueToken(keys[0], "session", list)
				if _, err := parseToken(keys, "session", token); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(token)), "header-B")
		})
	}
}

func BenchmarkKeeper(b *testing.B) {
	for _, sessions := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			c := newCluster(members...)
			k := c.at("a").Keeper
			k.MaxSessions = sessions
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			put := func(n int) {
				s := SessionPins{Session: sessionID("chai", fmt.Sprint(n)), Pins: []Pin{{Version: "swala@2", Profile: "notes", At: 1796243523000}}}
				_ = k.Put(&PutArgs{Sessions: []SessionPins{s}}, &PutReply{})
			}
			for n := range sessions {
				put(n)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			n := 0
			for b.Loop() {
				put(n % sessions)
				n++
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(sessions), "heap-B/session")
			runtime.KeepAlive(k)
		})
	}
}
