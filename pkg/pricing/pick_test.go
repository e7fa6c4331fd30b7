package pricing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

const task = "chat"

// newQuery returns a query over three versions, where the more expensive ones are better.
func newQuery() *Query {
	cfg := catalogue.NewState()
	var ids []catalogue.VersionID
	for i, quality := range []float64{0.6, 0.8, 0.95} {
		id := catalogue.VersionID(fmt.Sprintf("model-%d@1", i))
		ids = append(ids, id)
		price := catalogue.Micros(1_000_000 * (i*i + 1))
		cfg.Versions[id] = &catalogue.Version{ID: id, InputCost: price, OutputCost: 4 * price, Quality: map[string]float64{task: quality}}
	}
	cfg.Workspaces["desk"] = &catalogue.Workspace{Name: "desk", Versions: ids}
	return &Query{
		Snapshot: &catalogue.Snapshot{Config: cfg, Health: map[catalogue.HealthKey]catalogue.Health{}},
		Request:  &request.Request{ID: "r1", Workspace: "desk", Repeatable: true},
		Profile:  &catalogue.Profile{Name: "guest", Task: task, Quality: 0.7},
		Serves:   func(catalogue.VersionID) bool { return true },
	}
}

// addRollout adds a rollout from version 1 of the model to a copy of it as version 2.
func (q *Query) addRollout(model string, share float64, held bool) {
	from, to := catalogue.VersionID(model+"@1"), catalogue.VersionID(model+"@2")
	v := *q.Snapshot.Config.Versions[from]
	v.ID = to
	q.Snapshot.Config.Versions[to] = &v
	w := q.Snapshot.Config.Workspaces["desk"]
	w.Versions = append(w.Versions, to)
	q.Snapshot.Config.Rollouts[model] = &catalogue.Rollout{Model: model, From: from, To: to, Share: share, Held: held}
}

func (q *Query) withdraw(id catalogue.VersionID) { q.Snapshot.Config.Versions[id].Withdrawn = true }

func (q *Query) setHealth(id catalogue.VersionID, h catalogue.Health) {
	q.Snapshot.Health[catalogue.HealthKey{Version: id, Task: task}] = h
}

// pickResult returns the versions of the plan, each followed by a space, or the outcome and reason of the refusal.
func pickResult(q *Query) string {
	choice, refusal := Pick(q)
	if refusal != nil {
		return fmt.Sprintf("%s %s", refusal.Outcome, refusal.Reason)
	}
	s := ""
	for _, step := range choice.Plan.Steps {
		s += string(step.Version.ID) + " "
	}
	return s
}

type pickCase struct {
	name string
	set  func(q *Query)
	want string
}

func checkPicks(t *testing.T, cases []pickCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := newQuery()
			tc.set(q)
			if diff := cmp.Diff(tc.want, pickResult(q)); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPick(t *testing.T) {
	checkPicks(t, []pickCase{
		{"cheapest version that meets the quality", func(*Query) {}, "model-1@1 "},
		{"best version when none meets the quality", func(q *Query) { q.Profile.Quality = 0.99 }, "model-2@1 "},
		{"best version within the cost", func(q *Query) { q.Profile.Quality = 0.99; q.Profile.MaxCost = 2000 }, "model-1@1 "},
		{"nothing within the cost", func(q *Query) { q.Profile.MaxCost = 1 }, "NotRun NoVersion"},
		{"nothing served", func(q *Query) { q.Serves = func(catalogue.VersionID) bool { return false } }, "NotRun NoUpstream"},
		{"version within the deadline before a better one", func(q *Query) {
			q.Profile.Quality = 0.9
			q.Request.Deadline = 5000
			q.setHealth("model-2@1", catalogue.Health{FirstTokenTime: 6000, TokenTime: 50, Tokens: 200})
		}, "model-1@1 "},
		{"ratings outweigh the operator's estimate", func(q *Query) {
			q.setHealth("model-0@1", rated(400, 0.8))
		}, "model-0@1 "},
		{"suspect version only when nothing else is left", func(q *Query) {
			q.setHealth("model-1@1", catalogue.Health{Suspect: true})
		}, "model-2@1 "},
		{"cascade when it is cheaper", func(q *Query) { q.Profile.Quality = 0.82; q.Profile.Cascade = true }, "model-1@1 model-2@1 "},
		{"no cascade in a session", func(q *Query) {
			q.Profile.Quality = 0.82
			q.Profile.Cascade = true
			q.Request.Session = "s"
		}, "model-2@1 "},
		{"no cascade for a request that must not be repeated", func(q *Query) {
			q.Profile.Quality = 0.82
			q.Profile.Cascade = true
			q.Request.Repeatable = false
		}, "model-2@1 "},
		{"version with few ratings for the exploring share", func(q *Query) {
			q.Profile.Explore = 1
			q.Profile.Quality = 0.62
		}, "model-0@1 "},
	})
}

func rated(n int, mean float64) catalogue.Health {
	h := catalogue.Health{Rated: n, Mean: mean}
	h.Scores[int(mean*catalogue.ScoreSteps)] = int32(n)
	return h
}

func TestP02WithdrawnVersionGetsNoNewWork(t *testing.T) {
	checkPicks(t, []pickCase{
		{"the cheapest fitting version", func(q *Query) { q.withdraw("model-1@1") }, "model-2@1 "},
		{"the version a session is pinned to", func(q *Query) {
			q.Request.Session, q.Pinned = "s", "model-1@1"
			q.withdraw("model-1@1")
		}, "model-2@1 "},
		{"the new version of a rollout at full share", func(q *Query) {
			q.addRollout("model-1", 1, false)
			q.withdraw("model-1@2")
		}, "model-1@1 "},
		{"the old version of a rollout", func(q *Query) {
			q.addRollout("model-1", 0, false)
			q.withdraw("model-1@1")
		}, "model-1@2 "},
		{"the first step of a cascade", func(q *Query) {
			q.Profile.Quality, q.Profile.Cascade = 0.82, true
			q.withdraw("model-1@1")
		}, "model-0@1 model-2@1 "},
		{"all versions", func(q *Query) {
			q.withdraw("model-0@1")
			q.withdraw("model-1@1")
			q.withdraw("model-2@1")
		}, "NotRun NoVersion"},
	})
}

func TestP03PinHoldsThroughRollouts(t *testing.T) {
	pin := func(q *Query, id catalogue.VersionID) { q.Request.Session, q.Pinned = "s", id }
	checkPicks(t, []pickCase{
		{"on the old version at full share", func(q *Query) { q.addRollout("model-1", 1, false); pin(q, "model-1@1") }, "model-1@1 "},
		{"on the new version once it is held", func(q *Query) { q.addRollout("model-1", 0.5, true); pin(q, "model-1@2") }, "model-1@2 "},
		{"on the new version once it is suspect", func(q *Query) {
			q.addRollout("model-1", 0.5, false)
			q.setHealth("model-1@2", catalogue.Health{Suspect: true})
			pin(q, "model-1@2")
		}, "model-1@2 "},
		{"on an expensive version when a cheap one meets the quality", func(q *Query) { pin(q, "model-2@1") }, "model-2@1 "},
		{"while all others are explored", func(q *Query) { q.Profile.Explore = 1; pin(q, "model-1@1") }, "model-1@1 "},
		{"while no upstream serves its version", func(q *Query) {
			q.Serves = func(id catalogue.VersionID) bool { return id != "model-1@1" }
			pin(q, "model-1@1")
		}, "NotRun NoUpstream"},
		{"not when the profile excludes the version", func(q *Query) {
			q.Profile.Versions = []catalogue.VersionID{"model-2@1"}
			pin(q, "model-1@1")
		}, "model-2@1 "},
		{"a new session gets the new version at full share", func(q *Query) {
			q.addRollout("model-1", 1, false)
			q.Request.Session = "s"
		}, "model-1@2 "},
		{"a new session gets nothing of a held rollout", func(q *Query) {
			q.addRollout("model-1", 1, true)
			q.Request.Session = "s"
		}, "model-1@1 "},
	})
}

func TestRolloutShare(t *testing.T) {
	const sessions = 2000
	for _, share := range []float64{0, 0.1, 0.5, 1} {
		q := newQuery()
		q.addRollout("model-1", share, false)
		n := 0
		for i := range sessions {
			q.Request.Session = fmt.Sprint("s", i)
			if pickResult(q) == "model-1@2 " {
				n++
			}
		}
		if got := float64(n) / sessions; got < share-0.03 || got > share+0.03 {
			t.Errorf("with share %.2f, %.3f of the sessions got the new version, want within 0.03", share, got)
		}
	}
}

func TestP01OnlyAllowedVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawQuery(t)
		choice, refusal := Pick(q)
		if refusal != nil {
			if refusal.Outcome != request.NotRun {
				t.Fatalf("refusal has outcome %s, want NotRun", refusal.Outcome)
			}
			return
		}
		for _, step := range choice.Plan.Steps {
			id := step.Version.ID
			if !slices.Contains(q.Snapshot.Config.Workspaces["desk"].Versions, id) {
				t.Fatalf("%s is not allowed for the workspace", id)
			}
			if len(q.Profile.Versions) > 0 && !slices.Contains(q.Profile.Versions, id) {
				t.Fatalf("%s is not in the profile", id)
			}
			if step.Version.Withdrawn || !q.Serves(id) {
				t.Fatalf("%s is withdrawn or not served", id)
			}
			r := q.Snapshot.Config.Rollouts[id.Model()]
			if r != nil && r.Held && id == r.To && q.Pinned != id {
				t.Fatalf("%s got new work although its rollout is held", id)
			}
		}
	})
}

// drawQuery draws an arbitrary configuration, health, pin and request.
func drawQuery(t *rapid.T) *Query {
	var ids []catalogue.VersionID
	for m := range 3 {
		for v := range 2 {
			ids = append(ids, catalogue.VersionID(fmt.Sprintf("model-%d@%d", m, v)))
		}
	}
	some := rapid.SliceOfDistinct(rapid.SampledFrom(ids), func(id catalogue.VersionID) catalogue.VersionID { return id })
	unit := rapid.Float64Range(0, 1)
	q := newQuery()
	cfg := q.Snapshot.Config
	clear(cfg.Versions)
	for _, id := range ids {
		cfg.Versions[id] = &catalogue.Version{
			ID:         id,
			InputCost:  catalogue.Micros(rapid.Int64Range(0, 1e7).Draw(t, "input cost")),
			OutputCost: catalogue.Micros(rapid.Int64Range(0, 1e7).Draw(t, "output cost")),
			Quality:    map[string]float64{task: unit.Draw(t, "quality")},
			Withdrawn:  rapid.IntRange(0, 3).Draw(t, "withdrawn") == 0,
		}
		h := rated(rapid.IntRange(0, 500).Draw(t, "rated"), unit.Draw(t, "mean")*0.99)
		h.Suspect = rapid.IntRange(0, 4).Draw(t, "suspect") == 0
		q.setHealth(id, h)
	}
	cfg.Workspaces["desk"].Versions = some.Draw(t, "allowed")
	q.Profile.Versions = some.Draw(t, "profile")
	q.Profile.Quality = unit.Draw(t, "target")
	q.Profile.Cascade = rapid.Bool().Draw(t, "cascade")
	q.Profile.Explore = unit.Draw(t, "explore")
	q.Profile.MaxCost = catalogue.Micros(rapid.Int64Range(0, 5000).Draw(t, "max cost"))
	if rapid.Bool().Draw(t, "rollout") {
		cfg.Rollouts["model-1"] = &catalogue.Rollout{
			Model: "model-1", From: "model-1@0", To: "model-1@1",
			Share: unit.Draw(t, "share"), Held: rapid.Bool().Draw(t, "held"),
		}
	}
	served := some.Draw(t, "served")
	q.Serves = func(id catalogue.VersionID) bool { return slices.Contains(served, id) }
	if rapid.Bool().Draw(t, "session") {
		q.Request.Session = "s"
		q.Pinned = rapid.SampledFrom(append(ids, "")).Draw(t, "pinned")
	}
	return q
}
