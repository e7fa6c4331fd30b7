package trace

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Names lists the traces that Make can generate.
var Names = []string{"chai-houses", "jemaa", "outage"}

// Make generates the trace of that name; the same seed always gives the same trace.
func Make(name string, seed uint64) (*Trace, error) {
	g := &generator{rand: rand.New(rand.NewPCG(seed, 1)), trace: &Trace{Name: name, Seed: seed}}
	switch name {
	case "chai-houses":
		g.buildChaiHouses()
	case "jemaa":
		g.buildJemaa()
	case "outage":
		g.buildOutage()
	default:
		return nil, errors.Newf("unknown trace %q, want one of %v", name, Names)
	}
	g.numberRequests()
	return g.trace, nil
}

// generator builds a trace from a seeded random source.
type generator struct {
	rand  *rand.Rand
	trace *Trace
}

// numberRequests sorts the requests by time and assigns their ids.
func (g *generator) numberRequests() {
	slices.SortStableFunc(g.trace.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range g.trace.Requests {
		g.trace.Requests[i].ID = fmt.Sprintf("r%05d", i)
	}
}

// intBetween draws a number from low to high, inclusive.
func (g *generator) intBetween(low, high int) int { return low + g.rand.IntN(high-low+1) }

// pickSkewed draws one of the names, with a higher probability for earlier ones.
func (g *generator) pickSkewed(names []string) string {
	i := min(g.rand.IntN(len(names)), g.rand.IntN(len(names)))
	return names[i]
}

// poissonArrivals calls add at the arrival times of a Poisson process from start to end.
func (g *generator) poissonArrivals(start, end clock.Millis, perSecond float64, add func(at clock.Millis)) {
	at := float64(start)
	for {
		at += g.rand.ExpFloat64() / perSecond * float64(clock.Second)
		if clock.Millis(at) >= end {
			return
		}
		add(clock.Millis(at))
	}
}

func (g *generator) addRequest(r Request) { g.trace.Requests = append(g.trace.Requests, r) }

// addSession adds the conversation turns of one session.
func (g *generator) addSession(at clock.Millis, workspace, profile, session string, turns int, end clock.Millis) {
	prompt := workspace + " " + profile
	for range turns {
		if at >= end {
			return
		}
		g.addRequest(Request{
			At:           at,
			Workspace:    workspace,
			Profile:      profile,
			Session:      session,
			Prompt:       prompt,
			InputTokens:  g.intBetween(150, 500),
			OutputTokens: g.intBetween(40, 140),
			Deadline:     12 * clock.Second,
		})
		at += clock.Millis(g.intBetween(4000, 20000))
	}
}

// addCompletion adds one chat completion without a session.
func (g *generator) addCompletion(at clock.Millis, workspace, profile string, input, output int, deadline clock.Millis) {
	g.addRequest(Request{
		At:           at,
		Workspace:    workspace,
		Profile:      profile,
		Prompt:       workspace + " " + profile,
		InputTokens:  input,
		OutputTokens: output,
		Deadline:     deadline,
	})
}

// addServiceCall adds a non-idempotent call of a plain service.
func (g *generator) addServiceCall(at clock.Millis, workspace, service string) {
	g.addRequest(Request{At: at, Workspace: workspace, Service: service, Once: true, Deadline: 5 * clock.Second})
}

// addWorkspaces adds workspaces that may use all versions.
func (g *generator) addWorkspaces(names []string, inFlight int, perSecond float64) {
	c := &g.trace.Configuration
	var versions []catalogue.VersionID
	for i := range c.Versions {
		versions = append(versions, c.Versions[i].ID)
	}
	for _, name := range names {
		c.Workspaces = append(c.Workspaces, catalogue.Workspace{
			Name:              name,
			KeyDigest:         strings.Repeat("0", sha256.Size*2),
			Versions:          versions,
			MaxInFlight:       inFlight,
			RequestsPerSecond: perSecond,
		})
	}
}

// addMembers adds instances of the router, spread over the zones.
func (g *generator) addMembers(n int, zones []string) {
	for i := range n {
		g.trace.Members = append(g.trace.Members, Member{Name: fmt.Sprintf("entry-%d", i+1), Zone: zones[i%len(zones)]})
	}
}

// addEngines adds model engines, spread over the zones; versions returns those of the engine with index i.
func (g *generator) addEngines(n int, zones []string, versions func(i int) []catalogue.VersionID) {
	for i := range n {
		g.trace.Upstreams = append(g.trace.Upstreams, Upstream{
			Name:      fmt.Sprintf("engine-%d", i+1),
			Zone:      zones[i%len(zones)],
			Versions:  versions(i),
			Bearable:  8,
			ColdLimit: 2,
		})
	}
}

// addReplicas adds one replica of a plain service to each zone.
func (g *generator) addReplicas(service string, zones []string) {
	for i, zone := range zones {
		g.trace.Upstreams = append(g.trace.Upstreams, Upstream{
			Name:      fmt.Sprintf("%s-%d", service, i+1),
			Zone:      zone,
			Service:   service,
			Bearable:  40,
			ColdLimit: 8,
		})
	}
}

// addVersion adds a version with its prices in micros per million tokens, its speed, and its stated and true quality.
func (g *generator) addVersion(id catalogue.VersionID, inputCost, outputCost catalogue.Micros, firstToken, tokenTime float64, tasks []taskQuality) {
	v := catalogue.Version{ID: id, InputCost: inputCost, OutputCost: outputCost, Quality: map[string]float64{}}
	for _, q := range tasks {
		v.Quality[q.task] = q.estimate
		g.trace.Truths = append(g.trace.Truths, GroundTruth{
			Version: id, Task: q.task, Mean: q.trueMean, Deviation: q.deviation, History: q.history,
		})
	}
	g.trace.Configuration.Versions = append(g.trace.Configuration.Versions, v)
	g.trace.Speeds = append(g.trace.Speeds, Speed{Version: id, FirstToken: firstToken, TokenTime: tokenTime})
}

// taskQuality has the quality that operators state for a version and a task, and the true rating distribution.
type taskQuality struct {
	task      string
	estimate  float64
	trueMean  float64
	deviation float64
	history   int
}
