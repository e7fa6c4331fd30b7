package session

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

var background = context.Background()

// house is a set of instances that hold pins for one another.
type house struct {
	members []catalogue.Member
	guests  map[string]*desk
}

// desk is one instance.
type desk struct {
	house *house
	book  *Book
	dead  atomic.Bool
}

func newHouse(members ...catalogue.Member) *house {
	h := &house{members: members, guests: map[string]*desk{}}
	for _, m := range members {
		h.start(m)
	}
	return h
}

// start starts an instance with empty memory, in place of the one of the same name if there is one.
func (h *house) start(m catalogue.Member) {
	cfg := settings.Default()
	cfg.Name, cfg.Zone = m.Name, m.Zone
	common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewReal()}
	d := &desk{house: h}
	d.book = &Book{Common: common, Keys: [][]byte{[]byte("new key"), []byte("old key")}, Keeper: &Keeper{Common: common},
		Peers: d, Members: func() []catalogue.Member { return h.members }}
	h.guests[m.Name] = d
}

func (h *house) at(name string) *Book { return h.guests[name].book }

// callTime is what a call to another instance takes.
const callTime = 5 * time.Millisecond

// Call is a call to another instance; a dead one does not answer.
func (d *desk) Call(ctx context.Context, member, method string, args, reply any) error {
	time.Sleep(callTime)
	to := d.house.guests[member]
	if to.dead.Load() {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	if method != "Keeper.Put" {
		return errors.Newf("no method %s", method)
	}
	return to.book.Keeper.Put(args.(*PutArgs), reply.(*PutReply))
}

var members = []catalogue.Member{
	{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: "z2"}, {Name: "d", Zone: "z2"}, {Name: "e", Zone: "z3"},
}

// call is a request of a session, with the pin that its caller sends along.
func call(session, pin string) *request.Call {
	return &request.Call{Request: &request.Request{ID: "r1", Workspace: "chai", Profile: "chat", Session: session, Pin: pin}}
}

func TestP03PinsUnderFaults(t *testing.T) {
	const v1, v2 = catalogue.VersionID("swala@1"), catalogue.VersionID("swala@2")
	scenarios := []struct {
		name string
		play func(h *house) (catalogue.VersionID, bool)
		want string
	}{
		{
			name: "caller sends the pin to an instance that knows nothing",
			play: func(h *house) (catalogue.VersionID, bool) {
				pin := h.at("a").Pin(background, call("s", ""), v1)
				for _, m := range members {
					h.start(m)
				}
				return h.at("e").Pinned(background, call("s", pin))
			},
			want: "swala@1 true",
		},
		{
			name: "caller sends no pin",
			play: func(h *house) (catalogue.VersionID, bool) {
				_ = h.at("a").Pin(background, call("s", ""), v1)
				return h.at("e").Pinned(background, call("s", ""))
			},
			want: "swala@1 true",
		},
		{
			name: "availability zone of either keeper gone",
			play: func(h *house) (catalogue.VersionID, bool) {
				_ = h.at("a").Pin(background, call("s", ""), v1)
				zone := keepers(sessionID("chai", "s"), members)[0].Zone
				asker := ""
				for _, m := range members {
					if m.Zone == zone {
						h.guests[m.Name].dead.Store(true)
					} else {
						asker = m.Name
					}
				}
				return h.at(asker).Pinned(background, call("s", ""))
			},
			want: "swala@1 true",
		},
		{
			name: "all instances replaced one after another, while the session is in use",
			play: func(h *house) (catalogue.VersionID, bool) {
				_ = h.at("a").Pin(background, call("s", ""), v1)
				for _, m := range members {
					h.start(m)
					_, _ = h.at("a").Pinned(background, call("s", ""))
				}
				return h.at("b").Pinned(background, call("s", ""))
			},
			want: "swala@1 true",
		},
		{
			name: "all instances shut down and replaced one after another",
			play: func(h *house) (catalogue.VersionID, bool) {
				_ = h.at("a").Pin(background, call("s", ""), v1)
				for _, m := range members {
					_ = h.at(m.Name).Handover(background)
					h.start(m)
				}
				return h.at("b").Pinned(background, call("s", ""))
			},
			want: "swala@1 true",
		},
		{
			name: "two instances pin a new session at once",
			play: func(h *house) (catalogue.VersionID, bool) {
				var askers []string
				for _, m := range members {
					if !slices.Contains(keepers(sessionID("chai", "s"), members), m) {
						askers = append(askers, m.Name)
					}
				}
				var wg sync.WaitGroup
				wg.Go(func() { _, _ = h.at(askers[0]).Settle(background, call("s", ""), v1) })
				time.Sleep(callTime / 5)
				id, _ := h.at(askers[1]).Settle(background, call("s", ""), v2)
				wg.Wait()
				return id, true
			},
			want: "swala@1 true",
		},
		{
			name: "withdrawn version is replaced, also for a device that still has the old pin",
			play: func(h *house) (catalogue.VersionID, bool) {
				old := h.at("a").Pin(background, call("s", ""), v1)
				_ = h.at("a").Pin(background, call("s", old), v2)
				return h.at("b").Pinned(background, call("s", ""))
			},
			want: "swala@2 true",
		},
		{
			name: "pin of another session",
			play: func(h *house) (catalogue.VersionID, bool) {
				return h.at("a").Pinned(background, call("t", h.at("a").Pin(background, call("s", ""), v1)))
			},
			want: " false",
		},
		{
			name: "forged pin",
			play: func(h *house) (catalogue.VersionID, bool) {
				return h.at("a").Pinned(background, call("s", seal([]byte("stolen"), sessionID("chai", "s"), []Pin{{Version: v1, Profile: "chat"}})))
			},
			want: " false",
		},
		{
			name: "pin signed with the old key",
			play: func(h *house) (catalogue.VersionID, bool) {
				return h.at("a").Pinned(background, call("s", seal([]byte("old key"), sessionID("chai", "s"), []Pin{{Version: v1, Profile: "chat"}})))
			},
			want: "swala@1 true",
		},
		{
			name: "no session",
			play: func(h *house) (catalogue.VersionID, bool) {
				return h.at("a").Pinned(background, call("", h.at("a").Pin(background, call("", ""), v1)))
			},
			want: " false",
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				id, ok := sc.play(newHouse(members...))
				if diff := cmp.Diff(sc.want, fmt.Sprint(id, " ", ok)); diff != "" {
					t.Errorf("pinned (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestP02WithdrawalGoesBeforeThePin does what a caller of Pinned must do.
func TestP02WithdrawalGoesBeforeThePin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHouse(members...).at("a")
		config := catalogue.NewState()
		config.Workspaces["chai"] = &catalogue.Workspace{Name: "chai", Versions: []catalogue.VersionID{"swala@1", "swala@2"}}
		config.Versions["swala@1"] = &catalogue.Version{ID: "swala@1"}
		config.Versions["swala@2"] = &catalogue.Version{ID: "swala@2"}
		snapshot := &catalogue.Snapshot{Config: config}
		choose := func(pin string) (catalogue.VersionID, string) {
			c := call("s", pin)
			for _, id := range []catalogue.VersionID{"swala@1", "swala@2"} {
				if pinned, ok := b.Pinned(background, c); ok && snapshot.PermitVersion("chai", pinned) == nil {
					id = pinned
				}
				if snapshot.PermitVersion("chai", id) == nil {
					return b.Settle(background, c, id)
				}
			}
			return "", ""
		}
		first, pin := choose("")
		config.Versions["swala@1"].Withdrawn = true
		second, moved := choose(pin)
		config.Versions["swala@1"].Withdrawn = false
		third, _ := choose(moved)
		want := []catalogue.VersionID{"swala@1", "swala@2", "swala@2"}
		if diff := cmp.Diff(want, []catalogue.VersionID{first, second, third}); diff != "" {
			t.Errorf("versions (-want +got):\n%s", diff)
		}
	})
}

func TestP03KeepersAreInTwoZones(t *testing.T) {
	for n := range 100 {
		k := keepers(sessionID("chai", fmt.Sprint(n)), members)
		if len(k) != keeperCount || k[0].Zone == k[1].Zone {
			t.Errorf("session %d is held by %v", n, k)
		}
	}
}

func TestP03KeeperIsBoundedAndExpires(t *testing.T) {
	manual := clock.NewManual(1000)
	cfg := settings.Default()
	k := &Keeper{Common: settings.Common{Settings: &cfg, Clock: manual}, MaxSessions: 2, Expiry: 100}
	put := func(sessions ...string) {
		for _, s := range sessions {
			_ = k.Put(&PutArgs{Sessions: []SessionPins{{Session: s, Pins: []Pin{{Version: "swala@1"}}}}}, &PutReply{})
		}
	}
	held := func() []string {
		names := []string{}
		for _, s := range k.Sessions() {
			names = append(names, s.Session)
		}
		return names
	}
	var got [][]string
	put("s", "t", "s", "u")
	got = append(got, held())
	manual.Advance(60)
	put("s")
	manual.Advance(60)
	got = append(got, held())
	if diff := cmp.Diff([][]string{{"u", "s"}, {"s"}}, got); diff != "" {
		t.Errorf("sessions held (-want +got):\n%s", diff)
	}
}

func FuzzP03TokensOfStrangersAreIgnored(f *testing.F) {
	keys := [][]byte{[]byte("key")}
	signed := []Pin{{Version: "swala@1", At: 5}}
	good := seal(keys[0], "session", signed)
	forged := seal([]byte("stolen"), "session", []Pin{{Version: "swala@2", At: 5}})
	for _, seed := range []string{good, forged, good[:len(good)-1], "v1..", "v1.e30.AAAA", "", "v2" + good[2:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		// Base64 has several spellings of the same bytes, so that what counts is what a token says.
		if pins, err := open(keys, "session", token); err == nil && !slices.Equal(pins, signed) {
			t.Errorf("token %q is taken, with %v", token, pins)
		}
	})
}
