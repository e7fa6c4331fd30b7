package rating

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	oldVersion catalogue.VersionID = "model@1"
	newVersion catalogue.VersionID = "model@2"
	other      catalogue.VersionID = "other@1"
	task                           = "notes"
)

// feed is a HealthTracker with helpers that record synthetic answers and ratings.
type feed struct {
	*HealthTracker
	rand *rand.Rand
	n    int
}

func newFeed(cfg *catalogue.State) *feed {
	return &feed{HealthTracker: &HealthTracker{Config: func() *catalogue.State { return cfg }}, rand: rand.New(rand.NewPCG(1, 2))}
}

func rolloutConfig() *catalogue.State {
	cfg := catalogue.NewState()
	for _, id := range []catalogue.VersionID{oldVersion, newVersion} {
		cfg.Versions[id] = &catalogue.Version{ID: id, Quality: map[string]float64{task: 0.9}}
	}
	cfg.Rollouts["model"] = &catalogue.Rollout{Model: "model", From: oldVersion, To: newVersion, Share: 0.5}
	return cfg
}

func (f *feed) addSample(id catalogue.VersionID, r request.Result, total clock.Millis) string {
	f.n++
	name := fmt.Sprint("r", f.n)
	f.RecordSample(request.Sample{
		RequestID: name, Version: id, Task: task, Result: r, FirstToken: 100, Total: total, Tokens: 100,
	})
	return name
}

// addRated records n answers with normally distributed ratings.
func (f *feed) addRated(id catalogue.VersionID, n int, mean, stdDev float64) {
	for range n {
		name := f.addSample(id, request.ResultComplete, 1100)
		score := min(1, max(0, mean+stdDev*f.rand.NormFloat64()))
		f.RecordRatings([]backoffice.Rating{{RequestID: name, Version: id, Task: task, Score: score}})
	}
}

func suspects(h *HealthTracker) string {
	var names []string
	for _, s := range h.Suspects() {
		kind, _, _ := strings.Cut(s.Evidence, ":")
		names = append(names, string(s.Version)+" "+kind)
	}
	return strings.Join(names, ", ")
}

func TestSuspects(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(f *feed)
		want string
	}{
		{"always good", func(f *feed) { f.addRated(oldVersion, 3000, 0.9, 0.1) }, ""},
		{"good with occasional bad answers", func(f *feed) {
			for range 30 {
				f.addRated(oldVersion, 60, 0.9, 0.05)
				f.addRated(oldVersion, 1, 0, 0)
			}
		}, ""},
		{"slow slight decline", func(f *feed) {
			for i := range 20 {
				f.addRated(oldVersion, 100, 0.9-0.0015*float64(i), 0.1)
			}
		}, ""},
		{"turns bad while serving", func(f *feed) { f.addRated(oldVersion, 100, 0.9, 0.1); f.addRated(oldVersion, 12, 0.6, 0.1) }, "model@1 ratings"},
		{"bad from the start of its rollout", func(f *feed) { f.addRated(oldVersion, 100, 0.9, 0.1); f.addRated(newVersion, 12, 0.6, 0.1) }, "model@2 ratings"},
		{"worse than the operator's estimate, old version unknown", func(f *feed) { f.addRated(newVersion, 12, 0.6, 0.1) }, "model@2 ratings"},
		{"as good as the old version, below the operator's estimate", func(f *feed) { f.addRated(oldVersion, 100, 0.8, 0.1); f.addRated(newVersion, 500, 0.8, 0.1) }, ""},
		{"answers cut off", func(f *feed) {
			f.addRated(other, 100, 0.9, 0.1)
			f.addRated(oldVersion, 100, 0.9, 0.1)
			for range 10 {
				f.addSample(oldVersion, request.ResultCut, 0)
			}
		}, "model@1 failures"},
		{"answers of all versions cut off", func(f *feed) {
			f.addRated(other, 100, 0.9, 0.1)
			f.addRated(oldVersion, 100, 0.9, 0.1)
			for range 40 {
				f.addSample(other, request.ResultCut, 0)
				f.addSample(oldVersion, request.ResultCut, 0)
			}
		}, ""},
		{"three times as slow", func(f *feed) {
			f.addRated(oldVersion, 100, 0.9, 0.1)
			for range 12 {
				f.addSample(oldVersion, request.ResultComplete, 3100)
			}
		}, "model@1 latency"},
		{"refusals do not count", func(f *feed) {
			f.addRated(oldVersion, 100, 0.9, 0.1)
			for range 50 {
				f.addSample(oldVersion, request.ResultRefused, 0)
			}
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFeed(rolloutConfig())
			tc.run(f)
			if diff := cmp.Diff(tc.want, suspects(f.HealthTracker)); diff != "" {
				t.Errorf("suspects (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSuspicionEndsWhenVersionIsUpdated(t *testing.T) {
	cfg := rolloutConfig()
	f := newFeed(cfg)
	f.addRated(oldVersion, 100, 0.9, 0.1)
	f.addRated(newVersion, 12, 0.5, 0.1)
	if diff := cmp.Diff("model@2 ratings", suspects(f.HealthTracker)); diff != "" {
		t.Fatalf("suspects (-want +got):\n%s", diff)
	}
	cfg.Objects["Version/"+string(newVersion)] = 7
	if diff := cmp.Diff("", suspects(f.HealthTracker)); diff != "" {
		t.Errorf("suspects after the version was updated (-want +got):\n%s", diff)
	}
}

func TestRatingsCountOnce(t *testing.T) {
	f := newFeed(rolloutConfig())
	name := f.addSample(oldVersion, request.ResultComplete, 1100)
	mine := backoffice.Rating{RequestID: name, Version: oldVersion, Task: task, Score: 0.8}
	others := backoffice.Rating{RequestID: "of another instance", Version: oldVersion, Task: task, Score: 0.1}
	f.RecordRatings([]backoffice.Rating{mine, others})
	f.RecordRatings([]backoffice.Rating{mine, others})
	got := f.Health()[catalogue.HealthKey{Version: oldVersion, Task: task}]
	if diff := cmp.Diff([]float64{1, 0.8}, []float64{float64(got.Rated), got.Mean}); diff != "" {
		t.Errorf("ratings and mean (-want +got):\n%s", diff)
	}
}

// The platform does not know the task of a request, so its ratings lack it; they must count for the task of the answer.
func TestRatingsCountForTheTaskOfTheAnswer(t *testing.T) {
	f := newFeed(rolloutConfig())
	name := f.addSample(oldVersion, request.ResultComplete, 1100)
	f.RecordRatings([]backoffice.Rating{{RequestID: name, Version: oldVersion, Score: 0.8}})
	got := f.Health()[catalogue.HealthKey{Version: oldVersion, Task: task}]
	if diff := cmp.Diff([]float64{1, 0.8}, []float64{float64(got.Rated), got.Mean}); diff != "" {
		t.Errorf("ratings and mean (-want +got):\n%s", diff)
	}
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	f := newFeed(rolloutConfig())
	f.addRated(oldVersion, 20, 0.9, 0.1)
	early := f.LocalCounters()
	f.addRated(oldVersion, 20, 0.7, 0.1)
	late := f.LocalCounters()
	merge := func(order ...[]Counter) map[catalogue.HealthKey]catalogue.Health {
		var h HealthTracker
		for _, counters := range order {
			h.Merge("entry-1 1", counters)
		}
		return h.Health()
	}
	want := merge(late)
	for name, got := range map[string]map[catalogue.HealthKey]catalogue.Health{
		"in order":     merge(early, late),
		"out of order": merge(late, early),
		"each twice":   merge(early, early, late, late),
	} {
		k := catalogue.HealthKey{Version: oldVersion, Task: task}
		if diff := cmp.Diff(want[k].Rated, got[k].Rated); diff != "" {
			t.Errorf("%s: ratings (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(want[k].Scores, got[k].Scores); diff != "" {
			t.Errorf("%s: scores (-want +got):\n%s", name, diff)
		}
	}
}

func TestMergedCountersDetectBadVersion(t *testing.T) {
	const instances = 8
	var feeds []*feed
	for i := range instances {
		f := newFeed(rolloutConfig())
		f.rand = rand.New(rand.NewPCG(uint64(i), 3))
		feeds = append(feeds, f)
	}
	feedAll := func(id catalogue.VersionID, n int, mean float64) {
		for i, f := range feeds {
			f.n = 1_000_000 * i
			f.addRated(id, n, mean, 0.1)
		}
		for _, f := range feeds {
			for i, from := range feeds {
				if f != from {
					f.Merge(fmt.Sprint("entry-", i), from.LocalCounters())
				}
			}
		}
	}
	feedAll(oldVersion, 20, 0.9)
	feedAll(newVersion, 1, 0.55)
	for i, f := range feeds {
		if diff := cmp.Diff("model@2 ratings", suspects(f.HealthTracker)); diff != "" {
			t.Errorf("suspects of instance %d after one bad rating at each instance (-want +got):\n%s", i, diff)
		}
	}
}
