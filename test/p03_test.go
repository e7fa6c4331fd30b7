//go:build process

package test

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/proctest"
)

// rolloutChange returns a change that assigns a share of new sessions to the second version.
func rolloutChange(share float64) *catalogue.Change {
	return proctest.Put(catalogue.KindRollout, "leaf", &catalogue.Rollout{
		Model: "leaf", From: proctest.VersionOne, To: proctest.VersionTwo, Share: share,
	})
}

// servingVersion returns the model version that answered the chat.
func servingVersion(r proctest.Reply) string { return r.Header.Get("Carawayknot-Version") }

func TestP01OnlyAllowedVersions(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3, Config: func(c *proctest.Config) {
		c.Workspaces[0].Versions = []catalogue.VersionID{proctest.VersionOne}
	}})
	checkVersions := func() {
		t.Helper()
		for name, all := range engineRequests(s) {
			for _, rec := range all {
				if rec.Version != proctest.VersionOne {
					t.Errorf("%s received a request for version %s, which the workspace may not use", name, rec.Version)
				}
			}
		}
	}
	for i := range 30 {
		content := fmt.Sprint(i)
		requireChat(t, s.Daemons[i%3].Chat(t.Context(), proctest.Chat{Content: content}), content, 8)
		s.Daemons[i%3].Chat(t.Context(), proctest.Chat{Content: content, Profile: "dossier", Deadline: 2000})
	}
	checkVersions()
	// No engine serves the allowed version any more: no other version may answer instead.
	for _, e := range engines(s) {
		e.SetFaults(map[string]any{"Versions": []string{string(proctest.VersionTwo), string(proctest.VersionLarge)}})
	}
	for i := range 10 {
		r := s.Daemons[i%3].Chat(t.Context(), proctest.Chat{Content: "hello", Deadline: 2000})
		if r.Whole {
			t.Errorf("chat was answered by version %s, want a refusal", servingVersion(r))
		}
	}
	checkVersions()
}

func TestP03SessionKeepsItsVersion(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 3, Config: func(c *proctest.Config) {
		c.Workspaces[0].Versions = []catalogue.VersionID{proctest.VersionOne, proctest.VersionTwo}
	}})
	s.Daemons[0].MustApply(t, rolloutChange(0.5))
	versions, pins := map[string]string{}, map[string]string{}
	chat := func(i int, session string) {
		t.Helper()
		d := s.Daemons[i%len(s.Daemons)]
		r := d.Chat(t.Context(), proctest.Chat{Content: session, Session: session, Pin: pins[session]})
		requireChat(t, r, session, 8)
		if old := versions[session]; old != "" && servingVersion(r) != old {
			t.Errorf("session %s changed from version %s to %s at %s", session, old, servingVersion(r), d.Settings.Name)
		}
		versions[session] = servingVersion(r)
		if pin := r.Header.Get("Carawayknot-Pin"); pin != "" {
			pins[session] = pin
		}
	}
	chatAllSessions := func(round int) {
		t.Helper()
		for i := range 20 {
			chat(i+round, fmt.Sprintf("session-%d", i))
		}
	}
	chatAllSessions(0)
	chatAllSessions(1)
	for step, share := range []float64{0.9, 1} {
		awaitRevision(s, s.Daemons[step].MustApply(t, rolloutChange(share)).Revision)
		chatAllSessions(step + 2)
	}
	for i, d := range s.Daemons {
		d.Kill()
		d.Start()
		awaitReadyWithUpstreams(s, d)
		chatAllSessions(i + 4)
	}
	t.Logf("version of each session: %v", versions)
}
