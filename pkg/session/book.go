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
	// keeperCount is how many instances hold the pins of a session.
	keeperCount = 2
	// keeperWait bounds one call to a keeper, in milliseconds.
	keeperWait clock.Millis = 200
	// handoverBatch is how many sessions one call to a keeper carries.
	handoverBatch = 500
)

// Peers calls other entry instances by net/rpc.
type Peers interface {
	Call(ctx context.Context, member, method string, args, reply any) error
}

// Book finds and makes the pins of sessions; it is safe for concurrent use.
type Book struct {
	Common settings.Common
	// Keys verify pins, and the first one signs them.
	Keys [][]byte
	// Keeper holds the pins that this instance is chosen for.
	Keeper  *Keeper
	Peers   Peers
	Members func() []catalogue.Member
}

// Pinned returns the version that the session of the call is pinned to, if any. The caller must check it with
// Snapshot.PermitVersion, since a withdrawal goes before a pin.
func (b *Book) Pinned(ctx context.Context, c *request.Call) (catalogue.VersionID, bool) {
	if c.Request.Session == "" {
		return "", false
	}
	pins, _ := b.pins(ctx, c.Request)
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

// candidates are the versions that the call's profile may use.
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
func (b *Book) PinnedModel(ctx context.Context, c *request.Call, model string) (catalogue.VersionID, bool) {
	if c.Request.Session == "" {
		return "", false
	}
	pins, _ := b.pins(ctx, c.Request)
	if p := ofModel(pins, model); p != nil {
		return p.Version, true
	}
	return "", false
}

// Pin pins the session of the call to the version and returns the value of request.PinHeader for the caller, or "".
func (b *Book) Pin(ctx context.Context, c *request.Call, id catalogue.VersionID) string {
	_, header := b.Settle(ctx, c, id)
	return header
}

// Settle pins the session of the call to the version, before the request is sent, and returns the pin in force with the
// value of request.PinHeader: another instance may have pinned the session at the same time, and then the first pin stands.
func (b *Book) Settle(ctx context.Context, c *request.Call, id catalogue.VersionID) (catalogue.VersionID, string) {
	r := c.Request
	if r.Session == "" {
		return id, ""
	}
	session := sessionID(r.Workspace, r.Session)
	pins, signed := b.pins(ctx, r)
	old := ofModel(pins, id.Model())
	if old != nil && old.Version == id && signed {
		return id, r.Pin
	}
	if old == nil || old.Version != id {
		p := Pin{Version: id, Profile: r.Profile, At: b.Common.Clock.Wall()}
		if old != nil {
			p.Turn = old.Turn + 1
		}
		pins = merge(pins, []Pin{p})
	}
	pins = merge(pins, b.put(ctx, SessionPins{Session: session, Pins: pins}))
	if p := ofModel(pins, id.Model()); p != nil {
		id = p.Version
	}
	return id, seal(b.Keys[0], session, pins)
}

// pins returns the pins that the request carries, or those that the keepers hold; signed is true for the former.
func (b *Book) pins(ctx context.Context, r *request.Request) (pins []Pin, signed bool) {
	session := sessionID(r.Workspace, r.Session)
	if r.Pin != "" {
		pins, err := open(b.Keys, session, r.Pin)
		if err == nil {
			return pins, true
		}
		b.Common.Log.WithName("guestbook").Info("forged or foreign pin", "workspace", r.Workspace, "request", r.ID, "err", err.Error())
	}
	return b.put(ctx, SessionPins{Session: session}), false
}

// put merges the pins into those of all keepers of the session and returns the ones in force. A keeper that was
// replaced and so lacks some is given them.
func (b *Book) put(ctx context.Context, s SessionPins) []Pin {
	keepers := keepers(s.Session, b.Members())
	replies := make([][]Pin, len(keepers))
	reached := make([]bool, len(keepers))
	var wg sync.WaitGroup
	for i, m := range keepers {
		wg.Go(func() { replies[i], reached[i] = b.putAt(ctx, m, s) })
	}
	wg.Wait()
	all := s.Pins
	for _, pins := range replies {
		all = merge(all, pins)
	}
	for i, m := range keepers {
		if reached[i] && !slices.Equal(replies[i], all) {
			_, _ = b.putAt(ctx, m, SessionPins{Session: s.Session, Pins: all})
		}
	}
	return all
}

func (b *Book) putAt(ctx context.Context, m catalogue.Member, s SessionPins) ([]Pin, bool) {
	var reply PutReply
	if err := b.call(ctx, m, &PutArgs{Sessions: []SessionPins{s}}, &reply); err != nil || len(reply.Sessions) != 1 {
		return nil, false
	}
	return reply.Sessions[0].Pins, true
}

func (b *Book) call(ctx context.Context, m catalogue.Member, args *PutArgs, reply *PutReply) error {
	if m.Name == b.Common.Settings.Name {
		return b.Keeper.Put(args, reply)
	}
	ctx, cancel := clock.WithTimeout(ctx, b.Common.Clock, keeperWait)
	defer cancel()
	return b.Peers.Call(ctx, m.Name, "Keeper.Put", args, reply)
}

// keepers returns the instances that hold the pins of the session: the first in rendezvous order, and the next one of
// another availability zone, or just the next one where there is a single zone.
func keepers(session string, members []catalogue.Member) []catalogue.Member {
	ranked := slices.DeleteFunc(membership.Rank(session, members), func(m catalogue.Member) bool { return m.Leaving })
	if len(ranked) <= keeperCount {
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

// Handover gives the pins held here to the instances that are chosen for them when this one has left.
func (b *Book) Handover(ctx context.Context) error {
	batches := map[string][]SessionPins{}
	targets := map[string]catalogue.Member{}
	others := slices.DeleteFunc(slices.Clone(b.Members()), func(m catalogue.Member) bool {
		return m.Name == b.Common.Settings.Name
	})
	for _, s := range b.Keeper.Sessions() {
		for _, m := range keepers(s.Session, others) {
			batches[m.Name] = append(batches[m.Name], s)
			targets[m.Name] = m
		}
	}
	for name, sessions := range batches {
		for batch := range slices.Chunk(sessions, handoverBatch) {
			if err := b.call(ctx, targets[name], &PutArgs{Sessions: batch}, &PutReply{}); err != nil {
				b.Common.Log.WithName("guestbook").Info("pins not handed over", "keeper", name, "sessions", len(batch), "err", err.Error())
			}
		}
	}
	return ctx.Err()
}
