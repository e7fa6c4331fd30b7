package rating

import (
	"math"
	"testing"

	"carawayknot.example/carawayknot/pkg/request"
)

func TestSoundness(t *testing.T) {
	for _, c := range []struct {
		name                 string
		good, failed, late   int
		oldGood, oldFailed   int
		streams, slowStreams int
		least, most          float64
	}{
		{name: "no answers", least: 0, most: 0},
		{name: "a few sound answers", good: 5, least: 1, most: MinSoundness},
		{name: "enough sound answers", good: 12, least: MinSoundness, most: 4},
		{name: "one failure among few", good: 9, failed: 1, least: 0, most: MinSoundness},
		{name: "as many failures as the old release", good: 43, failed: 7, oldGood: 86, oldFailed: 14, least: MinSoundness, most: 20},
		{name: "late answers", good: 8, late: 2, least: -20, most: 0},
		{name: "slow streams", good: 12, streams: 6, slowStreams: 4, least: -20, most: 1},
		{name: "failures", good: 10, failed: 10, least: -30, most: -5},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &Comparison{}
			record := func(n int, onTarget bool, result request.Result, late bool) {
				for range n {
					k.RecordAttempt("a", "u", onTarget, result, late)
				}
			}
			record(1, true, request.ResultRefused, false)
			record(c.good, true, request.ResultComplete, false)
			record(c.failed, true, request.ResultFailed, false)
			record(c.late, true, request.ResultComplete, true)
			record(c.oldGood, false, request.ResultComplete, false)
			record(c.oldFailed, false, request.ResultFailed, false)
			for i := range c.streams {
				k.RecordStream("a", "u", true, i < c.slowStreams)
			}
			if got := k.Verdict().Soundness; got < c.least || got > c.most {
				t.Errorf("soundness is %.2f, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

func TestSoundnessNeeded(t *testing.T) {
	b := ExposureBudget{Share: 0.15, Slack: 30}
	for _, c := range []struct {
		name string
		e    Exposure
		want float64
	}{
		{"no requests", Exposure{}, 0},
		{"a few requests", Exposure{Requests: 40}, 1.44},
		{"many requests", Exposure{Requests: 4000}, MinSoundness},
	} {
		if got := b.SoundnessNeeded(c.e); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %.3f needed, want %.3f", c.name, got, c.want)
		}
	}
}

// An instance that had just started learned of all late answers at once, took them for one silence of the upstreams, and completed the rollout.
func TestLateAnswersThatOthersCountedAreNoSilence(t *testing.T) {
	k := &Comparison{}
	k.Advance(1000)
	k.SetPeerCounts("", map[string]float32{
		countKey(countAnswers, releaseOld, "a"): 300, countKey(countAnswers, releaseTarget, "a"): 16, countKey(countSlow, releaseTarget, "a"): 5,
	})
	k.Advance(1100)
	if got := k.Verdict().Soundness; got > 0 {
		t.Errorf("soundness is %.2f with 5 of 16 answers late, want 0 or less", got)
	}
}
