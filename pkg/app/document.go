package app

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// document is a configuration file: lists of objects by kind.
type document struct {
	Workspaces []*catalogue.Workspace    `json:",omitempty"`
	Profiles   []*catalogue.Profile      `json:",omitempty"`
	Versions   []*catalogue.Version      `json:",omitempty"`
	Rollouts   []*catalogue.Rollout      `json:",omitempty"`
	Zones      []*catalogue.Zone         `json:",omitempty"`
	Upstreams  []*catalogue.UpstreamRule `json:",omitempty"`
	Services   []*catalogue.Service      `json:",omitempty"`
}

// object is one object of a document or of the configuration.
type object struct {
	key   catalogue.ObjectKey
	value any
}

// parseDocument reads a configuration file; the error names the file and the line.
func parseDocument(path string, b []byte) (*document, error) {
	plain, err := hujson.Standardize(slices.Clone(b))
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	var d document
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, errors.Wrapf(err, "%s:%d", path, lineAt(b, dec.InputOffset(), err))
	}
	return &d, nil
}

// lineAt returns the line of the error, or of the offset when the error has none.
func lineAt(b []byte, offset int64, err error) int {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		offset = wrongType.Offset
	}
	return 1 + bytes.Count(b[:min(offset, int64(len(b)))], []byte("\n"))
}

func key(k catalogue.Kind, name string) catalogue.ObjectKey {
	return catalogue.ObjectKey{Kind: k, Name: name}
}

// objects returns the objects in a fixed order; entries that are null are left out.
func (d *document) objects() []object {
	var out []object
	out = collect(out, catalogue.KindWorkspace, d.Workspaces, func(v *catalogue.Workspace) string { return v.Name })
	out = collect(out, catalogue.KindProfile, d.Profiles, func(v *catalogue.Profile) string { return v.Name })
	out = collect(out, catalogue.KindVersion, d.Versions, func(v *catalogue.Version) string { return string(v.ID) })
	out = collect(out, catalogue.KindRollout, d.Rollouts, func(v *catalogue.Rollout) string { return v.Model })
	out = collect(out, catalogue.KindZone, d.Zones, func(v *catalogue.Zone) string { return v.Name })
	out = collect(out, catalogue.KindUpstream, d.Upstreams, func(v *catalogue.UpstreamRule) string { return v.Name })
	return collect(out, catalogue.KindService, d.Services, func(v *catalogue.Service) string { return v.Name })
}

func collect[V any](out []object, kind catalogue.Kind, list []*V, name func(*V) string) []object {
	for _, v := range list {
		if v != nil {
			out = append(out, object{key: key(kind, name(v)), value: v})
		}
	}
	return out
}

// documentOf returns the file form of a configuration.
func documentOf(s *catalogue.State) *document {
	return &document{
		Workspaces: sorted(s.Workspaces),
		Profiles:   sorted(s.Profiles),
		Versions:   sorted(s.Versions),
		Rollouts:   sorted(s.Rollouts),
		Zones:      sorted(s.Zones),
		Upstreams:  sorted(s.Upstreams),
		Services:   sorted(s.Services),
	}
}

func sorted[K ~string, V any](m map[K]*V) []*V {
	out := make([]*V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

// edits returns what brings the configuration to the document, based on the revisions of now, and checked.
func (d *document) edits(path string, now *catalogue.State, prune bool) ([]catalogue.Edit, error) {
	have := map[catalogue.ObjectKey]json.RawMessage{}
	for _, o := range documentOf(now).objects() {
		b, err := raw(o.value)
		if err != nil {
			return nil, err
		}
		have[o.key] = b
	}
	var edits []catalogue.Edit
	seen := map[catalogue.ObjectKey]bool{}
	for _, o := range d.objects() {
		if seen[o.key] {
			return nil, &exitError{code: ExitUsage, cause: errors.Newf("%s: %s stands twice", path, o.key)}
		}
		seen[o.key] = true
		b, err := raw(o.value)
		if err != nil {
			return nil, err
		}
		if bytes.Equal(b, have[o.key]) {
			continue
		}
		edits = append(edits, catalogue.Edit{Kind: o.key.Kind, Name: o.key.Name, Base: now.ObjectRevision(o.key), Object: b})
	}
	if prune {
		edits = append(edits, removals(now, seen)...)
	}
	if len(edits) == 0 {
		return nil, nil
	}
	if err := now.Check(&catalogue.Change{ID: "check", Edits: edits}); err != nil {
		return nil, &exitError{code: ExitUsage, cause: errors.Wrapf(err, "%s", path)}
	}
	return edits, nil
}

func removals(now *catalogue.State, keep map[catalogue.ObjectKey]bool) []catalogue.Edit {
	var edits []catalogue.Edit
	for _, o := range documentOf(now).objects() {
		if !keep[o.key] {
			edits = append(edits, catalogue.Edit{Kind: o.key.Kind, Name: o.key.Name, Base: now.ObjectRevision(o.key), Remove: true})
		}
	}
	return edits
}
