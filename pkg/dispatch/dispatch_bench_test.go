package dispatch

import (
	"context"
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

func BenchmarkDispatchPrompt(b *testing.B) {
	var upstreams []*catalogue.Upstream
	for i := range 12 {
		upstreams = append(upstreams, newUpstream(fmt.Sprint("u", i)))
	}
	r := newDispatchHarness(upstreams...)
	r.Suspects = &CrashSuspects{Clock: r.clock}
	route := &catalogue.Route{
		Streaming: true, Resumable: true, MaxAttempts: 3, Target: 2000, Affinity: true, Split: []catalogue.Split{{Service: "lm", Weight: 1}},
	}
	prompt := &request.Prompt{Tokens: 600, Parts: []request.PromptPart{{ID: "5c0a11f2", Tokens: 300}, {ID: "91bb02de", Tokens: 200}, {ID: "e4cc", Tokens: 100}}}
	answer := request.HandlerFunc(func(_ context.Context, c *request.Call) error {
		c.Attempts++
		c.OnFirstEvent()
		return nil
	})
	body := make([]byte, 2000)
	b.ReportAllocs()
	for b.Loop() {
		c := &request.Call{Request: &request.Request{ID: "r1", Deadline: r.clock.Now() + 10_000, Prompt: prompt, Body: body}, Route: route}
		if err := r.Filter(context.Background(), c, answer); err != nil {
			b.Fatal(err)
		}
	}
}
