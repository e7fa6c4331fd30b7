package session

import (
	"context"
	"slices"
	"sync"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// replicaCount is the number of instances that hold the pins of a session.
	replicaCount = 2
	// replicaTimeout bounds one call to a replica.
	replicaTimeout clock.Millis = 200
	// handoverBatchSize is the number of sessions in one handover call.
	handoverBatchSize = 500
)

// Peers calls net/rpc methods of other entry instances, which it addresses by member name.
type Peers interface {
	Call(ctx context.Context, member, method string, args, reply any) error
}

// Affinity looks up and creates the pins of sessions; it is safe for concurrent use.
type Affinity struct {
	Common settings.Common
	// Keys are the HMAC keys that tokens are verified with; the first one also signs new tokens.
	Keys [][]byte
	// Keeper holds the pins for which this instance is a replica.
	Keeper  *Keeper
	Peers   Peers
	Members func() []catalogue.Member
}

// Pinned returns the version that the session of the call is pinned to, if any, which must be checked with
// Snapshot.PermitVersion because a withdrawal takes precedence over a pin.
func (a *Affinity) Pinned(ctx context.Context, c *request.Call) (catalogue.VersionID, bool) {
	if c.Request.Session == "" {
		return "", false
	}
	pins, _ := a.pins(ctx, c.Request)
	for _, p := range pins {
		if p.Profile == c.Request.Profile {
			return p.Version, true
		}
	}
	for _, p := range pins {
		if slices.Contains(candidates(c), p.Version) {
			return p.Version, true
		}
	}
	return "", false
}

// candidates returns the versions that the profile of the call may use.
func candidates(c *request.Call) []catalogue.VersionID {
	switch {
	case c.Profile != nil && len(c.Profile.Versions) > 0:
		return c.Profile.Versions
	case c.Workspace != nil:
		return c.Workspace.Versions
	}
	return nil
}

// PinnedModel returns the version of the model that the session of the call is pinned to, if any.
func (a *Affinity) PinnedModel(ctx context.Context, c *request.Call, model string) (catalogue.VersionID, bool) {
	if c.Request.Session == "" {
		return "", false
	}
	pins, _ := a.pins(ctx, c.Request)
	if p := pinForModel(pins, model); p != nil {
		return p.Version, true
	}
	return "", false
}

// Pin pins the session of the call to the version and returns the value of request.PinHeader, or "" without a session.
func (a *Affinity) Pin(ctx context.Context, c *request.Call, id catalogue.VersionID) string {
	_, header := a.EnsurePin(ctx, c, id)
	return header
}

// EnsurePin pins the session of the call to the version, before the request is sent, and returns the effective version, which
// differs if another instance pinned the session concurrently and first, and the value of request.PinHeader.
func (a *Affinity) EnsurePin(ctx context.Context, c *request.Call, id catalogue.VersionID) (catalogue.VersionID, string) {
	r := c.Request
	if r.Session == "" {
		return id, ""
	}
	session := sessionID(r.Workspace, r.Session)
	pins, signed := a.pins(ctx, r)
	current := pinForModel(pins, id.Model())
	if current != nil && current.Version == id && signed {
		return id, r.Pin
	}
	if current == nil || current.Version != id {
		p := Pin{Version: id, Profile: r.Profile, At: a.Common.Clock.Wall()}
		if current != nil {
			p.Turn = current.Turn + 1
		}
		pins = merge(pins, []Pin{p})
	}
	pins = merge(pins, a.putAll(ctx, SessionPins{Session: session, Pins: pins}))
	if p := pinForModel(pins, id.Model()); p != nil {
		id = p.Version
	}
	return id, issueToken(a.Keys[0], session, pins)
}

// pins returns the pins in the token of the request, or else those of the replicas; signed is true for the former.
func (a *Affinity) pins(ctx context.Context, r *request.Request) (pins []Pin, signed bool) {
	session := sessionID(r.Workspace, r.Session)
	if r.Pin != "" {
		pins, err := parseToken(a.Keys, session, r.Pin)
		if err == nil {
			return pins, true
		}
		a.Common.Log.WithName("session").Info("ignoring invalid session pin", "workspace", r.Workspace, "request", r.ID, "error", err.Error())
	}
	return a.putAll(ctx, SessionPins{Session: session}), false
}

// putAll merges the pins into those of all replicas of the session and returns the result. A replica that lacks some of
// them, for example after a restart, is updated.
func (a *Affinity) putAll(ctx context.Context, s SessionPins) []Pin {
	replicas := replicasFor(s.Session, a.Members())
	replies := make([][]Pin, len(replicas))
	answered := make([]bool, len(replicas))
	var wg sync.WaitGroup
	for i, m := range replicas {
		wg.Go(func() { replies[i], answered[i] = a.putReplica(ctx, m, s) })
	}
	wg.Wait()
	merged := s.Pins
	for _, pins := range replies {
		merged = merge(merged, pins)
	}
	for i, m := range replicas {
		if answered[i] && !slices.Equal(replies[i], merged) {
			_, _ = a.putReplica(ctx, m, SessionPins{Session: s.Session, Pins: merged})
		}
	}
	return merged
}

func (a *Affinity) putReplica(ctx context.Context, m catalogue.Member, s SessionPins) ([]Pin, bool) {
	var reply PutReply
	if err := a.call(ctx, m, &PutArgs{Sessions: []SessionPins{s}}, &reply); err != nil || len(reply.Sessions) != 1 {
		return nil, false
	}
	return reply.Sessions[0].Pins, true
}

func (a *Affinity) call(ctx context.Context, m catalogue.Member, args *PutArgs, reply *PutReply) error {
	if m.Name == a.Common.Settings.Name {
		return a.Keeper.Put(args, reply)
	}
	ctx, cancel := clock.WithTimeout(ctx, a.Common.Clock, replicaTimeout)
	defer cancel()
	return a.Peers.Call(ctx, m.Name, "Keeper.Put", args, reply)
}

// replicasFor returns the instances that hold the pins of the session: the first in rendezvous order and the next one in
// another availability zone, or just the next one if there is only one zone. Leaving instances are skipped.
func replicasFor(session string, members []catalogue.Member) []catalogue.Member {
	ranked := slices.DeleteFunc(membership.Rank(session, members), func(m catalogue.Member) bool { return m.Leaving })
	if len(ranked) <= replicaCount {
		return ranked
	}
	second := 1
	for i, m := range ranked[1:] {
		if m.Zone != ranked[0].Zone {
			second = i + 1
			break
		}
	}
	return []catalogue.Member{ranked[0], ranked[second]}
}

// Handover copies the pins held by this instance to the instances that will be their replicas once it has left.
func (a *Affinity) Handover(ctx context.Context) error {
	batches := map[string][]SessionPins{}
	targets := map[string]catalogue.Member{}
	others := slices.DeleteFunc(slices.Clone(a.Members()), func(m catalogue.Member) bool {
		return m.Name == a.Common.Settings.Name
	})
	for _, s := range a.Keeper.Sessions() {
		for _, m := range replicasFor(s.Session, others) {
			batches[m.Name] = append(batches[m.Name], s)
			targets[m.Name] = m
		}
	}
	for name, sessions := range batches {
		for batch := range slices.Chunk(sessions, handoverBatchSize) {
			if err := a.call(ctx, targets[name], &PutArgs{Sessions: batch}, &PutReply{}); err != nil {
				a.Common.Log.WithName("session").Info("handover of pins failed", "replica", name, "sessions", len(batch), "error", err.Error())
			}
		}
	}
	return ctx.Err()
}
