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

// feed gives a book answers of a version and their ratings.
type feed struct {
	*Book
	rand *rand.Rand
	n    int
}

func newFeed(cfg *catalogue.State) *feed {
	return &feed{Book: &Book{Config: func() *catalogue.State { return cfg }}, rand: rand.New(rand.NewPCG(1, 2))}
}

func rollOut() *catalogue.State {
	cfg := catalogue.NewState()
	for _, id := range []catalogue.VersionID{oldVersion, newVersion} {
		cfg.Versions[id] = &catalogue.Version{ID: id, Quality: map[string]float64{task: 0.9}}
	}
	cfg.Rollouts["model"] = &catalogue.Rollout{Model: "model", From: oldVersion, To: newVersion, Share: 0.5}
	return cfg
}

func (f *feed) sample(id catalogue.VersionID, r request.Result, total clock.Millis) string {
	f.n++
	name := fmt.Sprint("r", f.n)
	f.TakeSample(request.Sample{
		RequestID: name, Version: id, Task: task, Result: r, FirstToken: 100, Total: total, Tokens: 100,
	})
	return name
}

// rated gives n answers with ratings around the mean.
func (f *feed) rated(id catalogue.VersionID, n int, mean, deviation float64) {
	for range n {
		name := f.sample(id, request.ResultComplete, 1100)
		score := min(1, max(0, mean+deviation*f.rand.NormFloat64()))
		f.TakeRatings([]backoffice.Rating{{RequestID: name, Version: id, Task: task, Score: score}})
	}
}

func suspects(b *Book) string {
	var names []string
	for _, s := range b.Suspects() {
		kind, _, _ := strings.Cut(s.Evidence, ":")
		names = append(names, string(s.Version)+" "+kind)
	}
	return strings.Join(names, ", ")
}

func TestSuspects(t *testing.T) {
	for _, tc := range []struct {
		name string
		live func(f *feed)
		want string
	}{
		{"good all along", func(f *feed) { f.rated(oldVersion, 3000, 0.9, 0.1) }, ""},
		{"good with a bad answer now and then", func(f *feed) {
			for range 30 {
				f.rated(oldVersion, 60, 0.9, 0.05)
				f.rated(oldVersion, 1, 0, 0)
			}
		}, ""},
		{"slowly a little worse", func(f *feed) {
			for i := range 20 {
				f.rated(oldVersion, 100, 0.9-0.0015*float64(i), 0.1)
			}
		}, ""},
		{"turns bad while serving", func(f *feed) { f.rated(oldVersion, 100, 0.9, 0.1); f.rated(oldVersion, 12, 0.6, 0.1) }, "model@1 ratings"},
		{"bad from the start of its roll-out", func(f *feed) { f.rated(oldVersion, 100, 0.9, 0.1); f.rated(newVersion, 12, 0.6, 0.1) }, "model@2 ratings"},
		{"bad by the operator's estimate alone", func(f *feed) { f.rated(newVersion, 12, 0.6, 0.1) }, "model@2 ratings"},
		{"no better than before", func(f *feed) { f.rated(oldVersion, 100, 0.8, 0.1); f.rated(newVersion, 500, 0.8, 0.1) }, ""},
		{"answers cut", func(f *feed) {
			f.rated(other, 100, 0.9, 0.1)
			f.rated(oldVersion, 100, 0.9, 0.1)
			for range 10 {
				f.sample(oldVersion, request.ResultCut, 0)
			}
		}, "model@1 failures"},
		{"answers of all versions cut", func(f *feed) {
			f.rated(other, 100, 0.9, 0.1)
			f.rated(oldVersion, 100, 0.9, 0.1)
			for range 40 {
				f.sample(other, request.ResultCut, 0)
				f.sample(oldVersion, request.ResultCut, 0)
			}
		}, ""},
		{"three times as slow", func(f *feed) {
			f.rated(oldVersion, 100, 0.9, 0.1)
			for range 12 {
				f.sample(oldVersion, request.ResultComplete, 3100)
			}
		}, "model@1 latency"},
		{"refusals are not the version's fault", func(f *feed) {
			f.rated(oldVersion, 100, 0.9, 0.1)
			for range 50 {
				f.sample(oldVersion, request.ResultRefused, 0)
			}
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFeed(rollOut())
			tc.live(f)
			if diff := cmp.Diff(tc.want, suspects(f.Book)); diff != "" {
				t.Errorf("suspects (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSuspicionEndsWhenOperatorsPutTheVersionAgain(t *testing.T) {
	cfg := rollOut()
	f := newFeed(cfg)
	f.rated(oldVersion, 100, 0.9, 0.1)
	f.rated(newVersion, 12, 0.5, 0.1)
	if diff := cmp.Diff("model@2 ratings", suspects(f.Book)); diff != "" {
		t.Fatalf("suspects (-want +got):\n%s", diff)
	}
	cfg.Objects["Version/"+string(newVersion)] = 7
	if diff := cmp.Diff("", suspects(f.Book)); diff != "" {
		t.Errorf("suspects after the version was put again (-want +got):\n%s", diff)
	}
}

func TestRatingsCountOnce(t *testing.T) {
	f := newFeed(rollOut())
	name := f.sample(oldVersion, request.ResultComplete, 1100)
	mine := backoffice.Rating{RequestID: name, Version: oldVersion, Task: task, Score: 0.8}
	others := backoffice.Rating{RequestID: "of another instance", Version: oldVersion, Task: task, Score: 0.1}
	f.TakeRatings([]backoffice.Rating{mine, others})
	f.TakeRatings([]backoffice.Rating{mine, others})
	got := f.Health()[catalogue.HealthKey{Version: oldVersion, Task: task}]
	if diff := cmp.Diff([]float64{1, 0.8}, []float64{float64(got.Rated), got.Mean}); diff != "" {
		t.Errorf("ratings and mean (-want +got):\n%s", diff)
	}
}

// TestRatingsCountForTheTaskOfTheAnswer has ratings as the platform makes them, which is not told the task of a request.
func TestRatingsCountForTheTaskOfTheAnswer(t *testing.T) {
	f := newFeed(rollOut())
	name := f.sample(oldVersion, request.ResultComplete, 1100)
	f.TakeRatings([]backoffice.Rating{{RequestID: name, Version: oldVersion, Score: 0.8}})
	got := f.Health()[catalogue.HealthKey{Version: oldVersion, Task: task}]
	if diff := cmp.Diff([]float64{1, 0.8}, []float64{float64(got.Rated), got.Mean}); diff != "" {
		t.Errorf("ratings and mean (-want +got):\n%s", diff)
	}
}

func TestMergeIsTheSameInAnyOrderAndTwice(t *testing.T) {
	f := newFeed(rollOut())
	f.rated(oldVersion, 20, 0.9, 0.1)
	early := f.Own()
	f.rated(oldVersion, 20, 0.7, 0.1)
	late := f.Own()
	merge := func(order ...[]Counter) map[catalogue.HealthKey]catalogue.Health {
		var b Book
		for _, counters := range order {
			b.Merge("entry-1 1", counters)
		}
		return b.Health()
	}
	want := merge(late)
	for name, got := range map[string]map[catalogue.HealthKey]catalogue.Health{
		"in order":     merge(early, late),
		"out of order": merge(late, early),
		"twice":        merge(early, early, late, late),
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

func TestInstancesDetectTogether(t *testing.T) {
	const instances = 8
	var feeds []*feed
	for i := range instances {
		f := newFeed(rollOut())
		f.rand = rand.New(rand.NewPCG(uint64(i), 3))
		feeds = append(feeds, f)
	}
	each := func(id catalogue.VersionID, n int, mean float64) {
		for i, f := range feeds {
			f.n = 1_000_000 * i
			f.rated(id, n, mean, 0.1)
		}
		for _, f := range feeds {
			for i, from := range feeds {
				if f != from {
					f.Merge(fmt.Sprint("entry-", i), from.Own())
				}
			}
		}
	}
	each(oldVersion, 20, 0.9)
	each(newVersion, 1, 0.55)
	for i, f := range feeds {
		if diff := cmp.Diff("model@2 ratings", suspects(f.Book)); diff != "" {
			t.Errorf("instance %d after one bad rating each (-want +got):\n%s", i, diff)
		}
	}
}
