package rating

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// The answers of a slow release counted only when they ended, which was after its rollout.
func TestAwaited(t *testing.T) {
	type counts struct{ Answers, Failed, Slow, SlowStreams float32 }
	const lateAt clock.Millis = 1000
	for _, c := range []struct {
		name string
		do   func(k *Comparison, a *Awaited)
		want counts
	}{
		{"no answer yet", func(k *Comparison, _ *Awaited) { k.Advance(lateAt - 1) }, counts{}},
		{"late before its end", func(k *Comparison, _ *Awaited) { k.Advance(lateAt) }, counts{Answers: 1, Slow: 1}},
		{"a late answer counts once", func(k *Comparison, a *Awaited) {
			k.Advance(lateAt)
			k.Advance(2 * lateAt)
			k.Ended(a, request.ResultComplete, true)
		}, counts{Answers: 1, Slow: 1}},
		{"late, and then failed", func(k *Comparison, a *Awaited) {
			k.Advance(lateAt)
			k.Ended(a, request.ResultFailed, false)
		}, counts{Answers: 1, Slow: 1, Failed: 1}},
		{"begun in time", func(k *Comparison, a *Awaited) {
			k.Begun(a)
			k.Advance(2 * lateAt)
			k.Ended(a, request.ResultComplete, false)
		}, counts{Answers: 1}},
		{"dropped", func(k *Comparison, a *Awaited) {
			k.Drop(a)
			k.Advance(2 * lateAt)
		}, counts{}},
		{"a slow stream counts before its end", func(k *Comparison, a *Awaited) { k.Paced(a, true) }, counts{SlowStreams: 1}},
		{"and once", func(k *Comparison, a *Awaited) {
			k.Paced(a, true)
			k.EndedStream(a, true)
		}, counts{SlowStreams: 1}},
		{"a short stream counts at its end", func(k *Comparison, a *Awaited) { k.EndedStream(a, true) }, counts{SlowStreams: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &Comparison{}
			c.do(k, k.Await("a", "u", true, lateAt))
			k.RecordAttempt("a", "u", true, request.ResultRefused, false)
			v := k.Verdict()
			got := counts{v.Answers, v.Failed, v.Slow, v.SlowStreams}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("counts (-want +got):\n%s", diff)
			}
		})
	}
}

// Late answers were known at once and sound ones only at the end of their streams, so that a good release was doubted while its share rose.
func TestAnswersInTimeCountWhenTheyBegin(t *testing.T) {
	k := &Comparison{}
	for range 300 {
		k.RecordAttempt("a", "old", false, request.ResultComplete, false)
	}
	k.Advance(100)
	for i := range 44 {
		a := k.Await("a", "u", true, 1000)
		if i >= 4 {
			k.Begun(a)
		}
	}
	k.Advance(1000)
	if v := k.Verdict(); v.Doubt || v.Bad || v.Slow != 4 {
		t.Errorf("verdict %+v with 40 of 44 answers begun in time, want neither doubt nor a bad release, and 4 late answers", v)
	}
}
