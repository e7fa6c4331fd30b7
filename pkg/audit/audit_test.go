package audit

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// validConfiguration returns a configuration without findings; change edits its table and entries.
func validConfiguration(change func(*Configuration)) *Configuration {
	c := &Configuration{
		Table: &catalogue.RouteTable{
			Version: 7, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3000, IdleTimeout: 15_000,
			Routes: map[string][]*catalogue.Route{"a.example": {
				{Name: "plan", Host: "a.example", Prefix: "/plan/", Streaming: true, Resumable: true, TimeLimit: 15_000, Target: 2000, Priority: 1,
					MaxAttempts: 3, Sizes: []string{"small", "large"}, Split: []catalogue.Split{{Service: "lm", Weight: 90}, {Service: "plain", Weight: 10}}},
				{Name: "all", Host: "a.example", Prefix: "/", TimeLimit: 1500, Target: 800, MaxAttempts: 1, Split: []catalogue.Split{{Service: "plain", Weight: 1}}},
			}},
			Pools: map[string]*catalogue.Pool{
				"lm":    {Name: "lm", MaxConnections: 300, ModelCosts: map[string]float64{"small": 0.02, "large": 0.3}, Scaling: &catalogue.ScaleLimits{Min: 3, Max: 9}},
				"plain": {Name: "plain", MaxConnections: 300},
			},
			Keys: map[string]catalogue.KeyHolder{"k1": {Workspace: "house"}, "k2": {Workspace: "coop"}},
		},
		Workspaces: []Workspace{{Name: "house", Keys: []string{"k1"}}, {Name: "coop", Keys: []string{"k2"}}},
		Pools:      []Pool{{Name: "lm"}, {Name: "plain"}},
	}
	if change != nil {
		change(c)
	}
	return c
}

func (c *Configuration) plan() *catalogue.Route { return c.Table.Routes["a.example"][0] }

func (c *Configuration) addRoute(r catalogue.Route) {
	r.Host, r.TimeLimit, r.Split = "a.example", 1500, []catalogue.Split{{Service: "plain", Weight: 1}}
	c.Table.Routes[r.Host] = append([]*catalogue.Route{&r}, c.Table.Routes[r.Host]...)
}

// summary lists severity, rule and place of each finding.
func summary(list []Finding) string {
	var lines []string
	for _, f := range list {
		lines = append(lines, string(f.Severity)+" "+string(f.Rule)+" "+f.Place)
	}
	return strings.Join(lines, "\n")
}

func TestCheck(t *testing.T) {
	one, two := 1, 2
	for _, s := range []struct {
		name   string
		change func(*Configuration)
		want   string
	}{
		{"no findings", nil, ""},
		{"equal host and prefix", func(c *Configuration) { c.addRoute(catalogue.Route{Name: "copy", Prefix: "/plan/"}) }, "Unreachable HiddenRoute Route/plan"},
		{"prefix without a slash", func(c *Configuration) { c.addRoute(catalogue.Route{Name: "bare", Prefix: "bare/"}) }, "Unreachable Prefix Route/bare"},
		{"weight of zero", func(c *Configuration) { c.plan().Split[1].Weight = 0 }, "Unreachable ZeroWeight Route/plan"},
		{"only weights of zero", func(c *Configuration) { c.plan().Split[0].Weight, c.plan().Split[1].Weight = 0, 0 }, "Unreachable ZeroWeight Route/plan"},
		{"service of no pool", func(c *Configuration) { c.plan().Split[1].Service = "gone" }, "Unreachable UnknownPool Route/plan"},
		{"pool of no route", func(c *Configuration) { c.Pools = append(c.Pools, Pool{Name: "spare"}) }, "Unreachable UnusedPool Pool/spare"},
		{"pool listed twice", func(c *Configuration) { c.Pools = append(c.Pools, Pool{Name: "lm"}) }, "Unreachable DuplicatePool Pool/lm"},
		{"scaling bounds", func(c *Configuration) { c.Pools[0].ScalingIgnored = true }, "Contradiction Scaling Pool/lm"},
		{"key of two workspaces", func(c *Configuration) { c.Workspaces[1].Keys = []string{"k2", "k1"} }, "Contradiction SharedKey Workspace/coop"},
		{"workspace without keys", func(c *Configuration) { c.Workspaces[0].Keys = nil }, "Unreachable WorkspaceWithoutKeys Workspace/house"},
		{"two priorities of a workspace", func(c *Configuration) {
			c.Workspaces = append(c.Workspaces, Workspace{Name: "flat", Keys: []string{"k4"}, Priority: &one}, Workspace{Name: "flat", Keys: []string{"k5"}, Priority: &two})
		}, "Contradiction WorkspacePriority Workspace/flat"},
		{"model without a cost", func(c *Configuration) { c.plan().Sizes = []string{"small", "huge"} }, "Contradiction ModelWithoutCost Route/plan"},
		{"time limit below the target", func(c *Configuration) { c.plan().TimeLimit = 1999 }, "Contradiction TimeLimit Route/plan"},
		{"no time limit", func(c *Configuration) { c.plan().TimeLimit = 0 }, "Contradiction TimeLimit Route/plan"},
		{"attempts of a route without repetition", func(c *Configuration) { c.plan().Resumable = false }, "Contradiction UnusedAttempts Route/plan"},
		{"resumption of a route without streams", func(c *Configuration) { c.plan().Streaming, c.plan().Repeatable = false, true }, "Contradiction UnusedResumption Route/plan"},
		{"last attempt at the time limit", func(c *Configuration) { c.plan().TimeLimit = 4000 }, "Contradiction AttemptsExceedLimit Route/plan"},
		{"last attempt within the time limit", func(c *Configuration) { c.plan().TimeLimit = 4001 }, ""},
		{"no header limit", func(c *Configuration) { c.Table.MaxHeaderBytes = 0 }, "Contradiction Unbounded Limits"},
		{"body limit above the memory", func(c *Configuration) { c.Table.MaxBodyBytes = 1<<30 + 1 }, "Contradiction Memory Limits"},
		{"unreachable entries come first", func(c *Configuration) { c.plan().TimeLimit, c.Workspaces[0].Keys = 0, nil },
			"Unreachable WorkspaceWithoutKeys Workspace/house\nContradiction TimeLimit Route/plan"},
	} {
		t.Run(s.name, func(t *testing.T) {
			if diff := cmp.Diff(s.want, summary(Check(validConfiguration(s.change), 1<<30))); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCompare(t *testing.T) {
	for _, s := range []struct {
		name   string
		change func(*Configuration)
		want   string
	}{
		{"equal", func(c *Configuration) { c.Table.Version = 7 }, ""},
		{"only the version", nil, ""},
		{"changed, with the same version", func(c *Configuration) { c.Table.Version, c.Table.MaxBodyBytes = 7, 8<<20 }, "Error Version Version"},
		{"wider limits", func(c *Configuration) { c.plan().TimeLimit, c.plan().MaxAttempts, c.Table.MaxBodyBytes = 16_000, 4, 0 }, ""},
		{"all routes of a host removed", func(c *Configuration) { delete(c.Table.Routes, "a.example") },
			"Difference RouteRemoved Route/plan\nDifference RouteRemoved Route/all"},
		{"route removed that a shorter prefix replaces", func(c *Configuration) { c.Table.Routes["a.example"] = c.Table.Routes["a.example"][1:] },
			"Difference RequestsMoved Route/all\nDifference LimitTightened Route/all\nDifference RetriesForbidden Route/all"},
		{"longer prefix added, same service", func(c *Configuration) { c.addRoute(catalogue.Route{Name: "book", Prefix: "/book/", MaxAttempts: 1}) }, ""},
		{"longer prefix added, other service", func(c *Configuration) {
			c.addRoute(catalogue.Route{Name: "book", Prefix: "/book/", MaxAttempts: 1})
			c.Table.Routes["a.example"][0].Split[0].Service = "lm"
		}, "Difference RequestsMoved Route/book"},
		{"split shifted", func(c *Configuration) { c.plan().Split[0].Weight = 80 }, "Difference RequestsMoved Route/plan"},
		{"weights scaled", func(c *Configuration) { c.plan().Split[0].Weight, c.plan().Split[1].Weight = 9, 1 }, ""},
		{"key removed, limit tightened", func(c *Configuration) { delete(c.Table.Keys, "k1"); c.Table.MaxBodyBytes = 1 << 20 },
			"Difference KeyRemoved Workspace/house\nDifference LimitTightened Limits"},
		{"key moved", func(c *Configuration) { c.Table.Keys["k1"] = catalogue.KeyHolder{Workspace: "coop"} }, "Difference KeyMoved Workspace/house"},
		{"keys not required any more", func(c *Configuration) { c.Table.Keys = nil }, ""},
		{"priority, attempts and model", func(c *Configuration) {
			c.plan().Priority, c.plan().MaxAttempts, c.plan().Sizes = 2, 2, []string{"large"}
		}, "Difference LimitTightened Route/plan\nDifference PriorityLowered Route/plan\nDifference ModelRemoved Route/plan"},
		{"fewer upstreams and connections", func(c *Configuration) {
			c.Table.Pools["lm"].Scaling.Max, c.Table.Pools["plain"].MaxConnections = 8, 200
		},
			"Difference LimitTightened Pool/lm\nDifference LimitTightened Pool/plain"},
	} {
		t.Run(s.name, func(t *testing.T) {
			to := validConfiguration(func(c *Configuration) { c.Table.Version = 8 })
			if s.change != nil {
				s.change(to)
			}
			if diff := cmp.Diff(s.want, summary(Compare(validConfiguration(nil).Table, to.Table))); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCompareAccess(t *testing.T) {
	from := validConfiguration(func(c *Configuration) { c.plan().Anonymous, c.Table.Keys = true, nil })
	to := validConfiguration(func(c *Configuration) { c.Table.Version = 8 })
	want := "Difference KeyRequired Workspaces\nDifference KeyRequired Route/plan"
	if diff := cmp.Diff(want, summary(Compare(from.Table, to.Table))); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}

func TestPlace(t *testing.T) {
	for _, s := range []struct{ name, text, want string }{
		{"invalid byte", "{\n \"N\": x}", "f:2:7"}, {"wrong type", "{\"A\":1,\n\"N\":\"x\"}", "f:2:8"}, {"truncated", "{\n\"N\"", "f:2:3"},
	} {
		var v struct{ N int }
		err := errors.Wrap(json.Unmarshal([]byte(s.text), &v), "config")
		if got := Place("f", []byte(s.text), err); got != s.want {
			t.Errorf("%s: place %s, want %s (%v)", s.name, got, s.want, err)
		}
	}
	if got := Place("f", nil, errors.New("no version")); got != "f" {
		t.Errorf("place %s of an error without an offset, want f", got)
	}
}
