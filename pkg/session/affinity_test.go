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

// cluster is a set of instances that replicate pins among themselves.
type cluster struct {
	members   []catalogue.Member
	instances map[string]*testInstance
}

// testInstance is one instance of a cluster. It calls its peers directly, without net/rpc.
type testInstance struct {
	cluster     *cluster
	affinity    *Affinity
	unreachable atomic.Bool
}

func newCluster(members ...catalogue.Member) *cluster {
	c := &cluster{members: members, instances: map[string]*testInstance{}}
	for _, m := range members {
		c.start(m)
	}
	return c
}

// start starts an instance without pins, replacing any instance of the same name.
func (c *cluster) start(m catalogue.Member) {
	cfg := settings.Default()
	cfg.Name, cfg.Zone = m.Name, m.Zone
	common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewReal()}
	i := &testInstance{cluster: c}
	i.affinity = &Affinity{Common: common, Keys: [][]byte{[]byte("new key"), []byte("old key")}, Keeper: &Keeper{Common: common},
		Peers: i, Members: func() []catalogue.Member { return c.members }}
	c.instances[m.Name] = i
}

func (c *cluster) at(name string) *Affinity { return c.instances[name].affinity }

// callTime is the latency of a call to another instance.
const callTime = 5 * time.Millisecond

// Call calls another instance; if that is unreachable, Call blocks until ctx ends.
func (i *testInstance) Call(ctx context.Context, member, method string, args, reply any) error {
	time.Sleep(callTime)
	target := i.cluster.instances[member]
	if target.unreachable.Load() {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	if method != "Keeper.Put" {
		return errors.Newf("unknown method %s", method)
	}
	return target.affinity.Keeper.Put(args.(*PutArgs), reply.(*PutReply))
}

var members = []catalogue.Member{
	{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: "z2"}, {Name: "d", Zone: "z2"}, {Name: "e", Zone: "z3"},
}

// call returns a call of a session with the pin token that its caller sends.
func call(session, pin string) *request.Call {
	return &request.Call{Request: &request.Request{ID: "r1", Workspace: "chai", Profile: "chat", Session: session, Pin: pin}}
}

func TestP03PinsUnderFaults(t *testing.T) {
	const v1, v2 = catalogue.VersionID("swala@1"), catalogue.VersionID("swala@2")
	scenarios := []struct {
		name string
		run  func(c *cluster) (catalogue.VersionID, bool)
		want string
	}{
		{
			name: "caller sends the pin to a restarted instance without state",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				pin := c.at("a").Pin(background, call("s", ""), v1)
				for _, m := range members {
					c.start(m)
				}
				return c.at("e").Pinned(background, call("s", pin))
			},
			want: "swala@1 true",
		},
		{
			name: "caller sends no pin",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				_ = c.at("a").Pin(background, call("s", ""), v1)
				return c.at("e").Pinned(background, call("s", ""))
			},
			want: "swala@1 true",
		},
		{
			name: "availability zone of one replica down",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				_ = c.at("a").Pin(background, call("s", ""), v1)
				zone := replicasFor(sessionID("chai", "s"), members)[0].Zone
				survivor := ""
				for _, m := range members {
					if m.Zone == zone {
						c.instances[m.Name].unreachable.Store(true)
					} else {
						survivor = m.Name
					}
				}
				return c.at(survivor).Pinned(background, call("s", ""))
			},
			want: "swala@1 true",
		},
		{
			name: "all instances replaced one after another, while the session is in use",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				_ = c.at("a").Pin(background, call("s", ""), v1)
				for _, m := range members {
					c.start(m)
					_, _ = c.at("a").Pinned(background, call("s", ""))
				}
				return c.at("b").Pinned(background, call("s", ""))
			},
			want: "swala@1 true",
		},
		{
			name: "all instances shut down and replaced one after another",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				_ = c.at("a").Pin(background, call("s", ""), v1)
				for _, m := range members {
					_ = c.at(m.Name).Handover(background)
					c.start(m)
				}
				return c.at("b").Pinned(background, call("s", ""))
			},
			want: "swala@1 true",
		},
		{
			name: "two instances pin a new session concurrently",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				var nonReplicas []string
				for _, m := range members {
					if !slices.Contains(replicasFor(sessionID("chai", "s"), members), m) {
						nonReplicas = append(nonReplicas, m.Name)
					}
				}
				var wg sync.WaitGroup
				wg.Go(func() { _, _ = c.at(nonReplicas[0]).EnsurePin(background, call("s", ""), v1) })
				time.Sleep(callTime / 5)
				id, _ := c.at(nonReplicas[1]).EnsurePin(background, call("s", ""), v2)
				wg.Wait()
				return id, true
			},
			want: "swala@1 true",
		},
		{
			name: "newer pin replaces the old one for a caller that sends no pin",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				old := c.at("a").Pin(background, call("s", ""), v1)
				_ = c.at("a").Pin(background, call("s", old), v2)
				return c.at("b").Pinned(background, call("s", ""))
			},
			want: "swala@2 true",
		},
		{
			name: "pin of another session",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				return c.at("a").Pinned(background, call("t", c.at("a").Pin(background, call("s", ""), v1)))
			},
			want: " false",
		},
		{
			name: "forged pin",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				return c.at("a").Pinned(background, call("s", issueToken([]byte("stolen"), sessionID("chai", "s"), []Pin{{Version: v1, Profile: "chat"}})))
			},
			want: " false",
		},
		{
			name: "pin signed with the old key",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				return c.at("a").Pinned(background, call("s", issueToken([]byte("old key"), sessionID("chai", "s"), []Pin{{Version: v1, Profile: "chat"}})))
			},
			want: "swala@1 true",
		},
		{
			name: "no session",
			run: func(c *cluster) (catalogue.VersionID, bool) {
				return c.at("a").Pinned(background, call("", c.at("a").Pin(background, call("", ""), v1)))
			},
			want: " false",
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				id, ok := sc.run(newCluster(members...))
				if diff := cmp.Diff(sc.want, fmt.Sprint(id, " ", ok)); diff != "" {
					t.Errorf("pinned version differs (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestP02WithdrawalOverridesPin checks pinned versions with Snapshot.PermitVersion, as every user of Pinned must.
func TestP02WithdrawalOverridesPin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCluster(members...).at("a")
		config := catalogue.NewState()
		config.Workspaces["chai"] = &catalogue.Workspace{Name: "chai", Versions: []catalogue.VersionID{"swala@1", "swala@2"}}
		config.Versions["swala@1"] = &catalogue.Version{ID: "swala@1"}
		config.Versions["swala@2"] = &catalogue.Version{ID: "swala@2"}
		snapshot := &catalogue.Snapshot{Config: config}
		choose := func(pin string) (catalogue.VersionID, string) {
			c := call("s", pin)
			for _, id := range []catalogue.VersionID{"swala@1", "swala@2"} {
				if pinned, ok := a.Pinned(background, c); ok && snapshot.PermitVersion("chai", pinned) == nil {
					id = pinned
				}
				if snapshot.PermitVersion("chai", id) == nil {
					return a.EnsurePin(background, c, id)
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
			t.Errorf("chosen versions differ (-want +got):\n%s", diff)
		}
	})
}

func TestP03ReplicasAreInTwoZones(t *testing.T) {
	for n := range 100 {
		replicas := replicasFor(sessionID("chai", fmt.Sprint(n)), members)
		if len(replicas) != replicaCount || replicas[0].Zone == replicas[1].Zone {
			t.Errorf("replicas of session %d are %v, want two in different zones", n, replicas)
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
		t.Errorf("held sessions differ (-want +got):\n%s", diff)
	}
}

func FuzzP03ForgedTokensAreRejected(f *testing.F) {
	keys := [][]byte{[]byte("key")}
	signed := []Pin{{Version: "swala@1", At: 5}}
	good := issueToken(keys[0], "session", signed)
	forged := issueToken([]byte("stolen"), "session", []Pin{{Version: "swala@2", At: 5}})
	for _, seed := range []string{good, forged, good[:len(good)-1], "v1..", "v1.e30.AAAA", "", "v2" + good[2:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		// Base64 has several encodings of the same bytes, so compare the content of the token.
		if pins, err := parseToken(keys, "session", token); err == nil && !slices.Equal(pins, signed) {
			t.Errorf("parseToken(%q) = %v, want an error or the signed pins", token, pins)
		}
	})
}
