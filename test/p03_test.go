//go:build process

package test

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/proctest"
)

// rollout returns a change that gives a share of new sessions the second version.
func rollout(share float64) *catalogue.Change {
	return proctest.Put(catalogue.KindRollout, "leaf", &catalogue.Rollout{
		Model: "leaf", From: proctest.VersionOne, To: proctest.VersionTwo, Share: share,
	})
}

// served returns the version that served the chat.
func served(r proctest.Reply) string { return r.Header.Get("Carawayknot-Version") }

func TestP01OnlyAllowedVersions(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3, Config: func(c *proctest.Config) {
		c.Workspaces[0].Versions = []catalogue.VersionID{proctest.VersionOne}
	}})
	check := func() {
		t.Helper()
		for name, all := range starts(s) {
			for _, st := range all {
				if st.Version != proctest.VersionOne {
					t.Errorf("%s got a request of version %s, which the workspace may not use", name, st.Version)
				}
			}
		}
	}
	for i := range 30 {
		content := fmt.Sprint(i)
		wantChat(t, s.Daemons[i%3].Chat(t.Context(), proctest.Chat{Content: content}), content, 8)
		s.Daemons[i%3].Chat(t.Context(), proctest.Chat{Content: content, Profile: "dossier", Deadline: 2000})
	}
	check()
	// All engines that serve the allowed version are down: nothing else may stand in.
	for _, e := range engines(s) {
		e.SetFaults(map[string]any{"Versions": []string{string(proctest.VersionTwo), string(proctest.VersionLarge)}})
	}
	for i := range 10 {
		r := s.Daemons[i%3].Chat(t.Context(), proctest.Chat{Content: "hello", Deadline: 2000})
		if r.Whole {
			t.Errorf("answered by %s", served(r))
		}
	}
	check()
}

func TestP03SessionKeepsItsVersion(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3, Config: func(c *proctest.Config) {
		c.Workspaces[0].Versions = []catalogue.VersionID{proctest.VersionOne, proctest.VersionTwo}
	}})
	s.Daemons[0].MustApply(t, rollout(0.5))
	versions, pins := map[string]string{}, map[string]string{}
	ask := func(i int, session string) {
		t.Helper()
		d := s.Daemons[i%len(s.Daemons)]
		r := d.Chat(t.Context(), proctest.Chat{Content: session, Session: session, Pin: pins[session]})
		wantChat(t, r, session, 8)
		if old := versions[session]; old != "" && served(r) != old {
			t.Errorf("session %s had %s and got %s at %s", session, old, served(r), d.Settings.Name)
		}
		versions[session] = served(r)
		if pin := r.Header.Get("Carawayknot-Pin"); pin != "" {
			pins[session] = pin
		}
	}
	all := func(round int) {
		t.Helper()
		for i := range 20 {
			ask(i+round, fmt.Sprintf("session-%d", i))
		}
	}
	all(0)
	all(1)
	for step, share := range []float64{0.9, 1} {
		awaitRevision(s, s.Daemons[step].MustApply(t, rollout(share)).Revision)
		all(step + 2)
	}
	for i, d := range s.Daemons {
		d.Kill()
		d.Start()
		awaitKnown(s, d)
		all(i + 4)
	}
	t.Logf("versions by session: %v", versions)
}
