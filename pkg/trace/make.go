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

// Names are the traces that Make knows.
var Names = []string{"chai-houses", "jemaa", "outage"}

// Make makes the trace of that name; the same seed always gives the same trace.
func Make(name string, seed uint64) (*Trace, error) {
	m := &maker{rand: rand.New(rand.NewPCG(seed, 1)), trace: &Trace{Name: name, Seed: seed}}
	switch name {
	case "chai-houses":
		m.chaiHouses()
	case "jemaa":
		m.jemaa()
	case "outage":
		m.outage()
	default:
		return nil, errors.Newf("no trace is named %q, known are %v", name, Names)
	}
	m.number()
	return m.trace, nil
}

// maker draws the requests of a trace.
type maker struct {
	rand  *rand.Rand
	trace *Trace
}

// number sorts the requests by time and names them.
func (m *maker) number() {
	slices.SortStableFunc(m.trace.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range m.trace.Requests {
		m.trace.Requests[i].ID = fmt.Sprintf("r%05d", i)
	}
}

// between draws a number from low to high.
func (m *maker) between(low, high int) int { return low + m.rand.IntN(high-low+1) }

// pick draws one of the names, the first ones more often.
func (m *maker) pick(names []string) string {
	i := min(m.rand.IntN(len(names)), m.rand.IntN(len(names)))
	return names[i]
}

// poisson calls add at random times with the mean rate a second, from start to end.
func (m *maker) poisson(start, end clock.Millis, perSecond float64, add func(at clock.Millis)) {
	at := float64(start)
	for {
		at += m.rand.ExpFloat64() / perSecond * float64(clock.Second)
		if clock.Millis(at) >= end {
			return
		}
		add(clock.Millis(at))
	}
}

func (m *maker) add(r Request) { m.trace.Requests = append(m.trace.Requests, r) }

// chat adds the turns of one session.
func (m *maker) chat(at clock.Millis, workspace, profile, session string, turns int, end clock.Millis) {
	prompt := workspace + " " + profile
	for range turns {
		if at >= end {
			return
		}
		m.add(Request{
			At:           at,
			Workspace:    workspace,
			Profile:      profile,
			Session:      session,
			Prompt:       prompt,
			InputTokens:  m.between(150, 500),
			OutputTokens: m.between(40, 140),
			Deadline:     12 * clock.Second,
		})
		at += clock.Millis(m.between(4000, 20000))
	}
}

// work adds one request without a session.
func (m *maker) work(at clock.Millis, workspace, profile string, input, output int, deadline clock.Millis) {
	m.add(Request{
		At:           at,
		Workspace:    workspace,
		Profile:      profile,
		Prompt:       workspace + " " + profile,
		InputTokens:  input,
		OutputTokens: output,
		Deadline:     deadline,
	})
}

// once adds a call of a plain service that must not be repeated.
func (m *maker) once(at clock.Millis, workspace, service string) {
	m.add(Request{At: at, Workspace: workspace, Service: service, Once: true, Deadline: 5 * clock.Second})
}

// workspaces adds workspaces that may use everything.
func (m *maker) workspaces(names []string, inFlight int, perSecond float64) {
	c := &m.trace.Configuration
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

// members adds entry instances, spread over the zones.
func (m *maker) members(n int, zones []string) {
	for i := range n {
		m.trace.Members = append(m.trace.Members, Member{Name: fmt.Sprintf("entry-%d", i+1), Zone: zones[i%len(zones)]})
	}
}

// engines adds engines, spread over the zones; versions returns those of the engine with index i.
func (m *maker) engines(n int, zones []string, versions func(i int) []catalogue.VersionID) {
	for i := range n {
		m.trace.Upstreams = append(m.trace.Upstreams, Upstream{
			Name:      fmt.Sprintf("engine-%d", i+1),
			Zone:      zones[i%len(zones)],
			Versions:  versions(i),
			Bearable:  8,
			ColdLimit: 2,
		})
	}
}

// replicas adds one replica of a plain service to each zone.
func (m *maker) replicas(service string, zones []string) {
	for i, zone := range zones {
		m.trace.Upstreams = append(m.trace.Upstreams, Upstream{
			Name:      fmt.Sprintf("%s-%d", service, i+1),
			Zone:      zone,
			Service:   service,
			Bearable:  40,
			ColdLimit: 8,
		})
	}
}

// version adds a version with its prices, speed, what operators state of it and what it really gives.
func (m *maker) version(id catalogue.VersionID, in, out catalogue.Micros, first, each float64, tasks []taskQuality) {
	v := catalogue.Version{ID: id, InputCost: in, OutputCost: out, Quality: map[string]float64{}}
	for _, q := range tasks {
		v.Quality[q.task] = q.stated
		m.trace.Truths = append(m.trace.Truths, Truth{
			Version: id, Task: q.task, Mean: q.truth, Deviation: q.deviation, History: q.history,
		})
	}
	m.trace.Configuration.Versions = append(m.trace.Configuration.Versions, v)
	m.trace.Speeds = append(m.trace.Speeds, Speed{Version: id, FirstToken: first, TokenTime: each})
}

// taskQuality is what operators state of a version for a task, and the truth.
type taskQuality struct {
	task      string
	stated    float64
	truth     float64
	deviation float64
	history   int
}
