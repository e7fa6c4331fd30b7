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

// document is the content of a configuration file: a list of objects for each kind.
type document struct {
	Workspaces []*catalogue.Workspace    `json:",omitempty"`
	Profiles   []*catalogue.Profile      `json:",omitempty"`
	Versions   []*catalogue.Version      `json:",omitempty"`
	Rollouts   []*catalogue.Rollout      `json:",omitempty"`
	Zones      []*catalogue.Zone         `json:",omitempty"`
	Upstreams  []*catalogue.UpstreamRule `json:",omitempty"`
	Services   []*catalogue.Service      `json:",omitempty"`
}

// object is one configuration object with its kind and name.
type object struct {
	key   catalogue.ObjectKey
	value any
}

// parseDocument decodes a configuration file; errors name the file and the line.
func parseDocument(path string, b []byte) (*document, error) {
	standardJSON, err := hujson.Standardize(slices.Clone(b))
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	var d document
	dec := json.NewDecoder(bytes.NewReader(standardJSON))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, errors.Wrapf(err, "%s:%d", path, lineAt(b, dec.InputOffset(), err))
	}
	return &d, nil
}

// lineAt returns the 1-based line of a type error in b, or for other errors the line of the offset.
func lineAt(b []byte, offset int64, err error) int {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		offset = typeErr.Offset
	}
	return 1 + bytes.Count(b[:min(offset, int64(len(b)))], []byte("\n"))
}

func objectKey(k catalogue.Kind, name string) catalogue.ObjectKey {
	return catalogue.ObjectKey{Kind: k, Name: name}
}

// objects returns the objects ordered by kind, then as in the file; null entries are skipped.
func (d *document) objects() []object {
	var out []object
	out = appendObjects(out, catalogue.KindWorkspace, d.Workspaces, func(v *catalogue.Workspace) string { return v.Name })
	out = appendObjects(out, catalogue.KindProfile, d.Profiles, func(v *catalogue.Profile) string { return v.Name })
	out = appendObjects(out, catalogue.KindVersion, d.Versions, func(v *catalogue.Version) string { return string(v.ID) })
	out = appendObjects(out, catalogue.KindRollout, d.Rollouts, func(v *catalogue.Rollout) string { return v.Model })
	out = appendObjects(out, catalogue.KindZone, d.Zones, func(v *catalogue.Zone) string { return v.Name })
	out = appendObjects(out, catalogue.KindUpstream, d.Upstreams, func(v *catalogue.UpstreamRule) string { return v.Name })
	return appendObjects(out, catalogue.KindService, d.Services, func(v *catalogue.Service) string { return v.Name })
}

func appendObjects[V any](out []object, kind catalogue.Kind, list []*V, name func(*V) string) []object {
	for _, v := range list {
		if v != nil {
			out = append(out, object{key: objectKey(kind, name(v)), value: v})
		}
	}
	return out
}

// documentOf converts a configuration to the file format, with the objects of each kind sorted by name.
func documentOf(s *catalogue.State) *document {
	return &document{
		Workspaces: sortedValues(s.Workspaces),
		Profiles:   sortedValues(s.Profiles),
		Versions:   sortedValues(s.Versions),
		Rollouts:   sortedValues(s.Rollouts),
		Zones:      sortedValues(s.Zones),
		Upstreams:  sortedValues(s.Upstreams),
		Services:   sortedValues(s.Services),
	}
}

func sortedValues[K ~string, V any](m map[K]*V) []*V {
	out := make([]*V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

// edits returns the validated edits that turn the current configuration into the document, each with the current revision of
// its object as the base. Objects that the document lacks are removed only with prune.
func (d *document) edits(path string, current *catalogue.State, prune bool) ([]catalogue.Edit, error) {
	currentJSON := map[catalogue.ObjectKey]json.RawMessage{}
	for _, o := range documentOf(current).objects() {
		b, err := marshalObject(o.value)
		if err != nil {
			return nil, err
		}
		currentJSON[o.key] = b
	}
	var edits []catalogue.Edit
	seen := map[catalogue.ObjectKey]bool{}
	for _, o := range d.objects() {
		if seen[o.key] {
			return nil, &exitError{code: ExitUsage, cause: errors.Newf("%s: duplicate object %s", path, o.key)}
		}
		seen[o.key] = true
		b, err := marshalObject(o.value)
		if err != nil {
			return nil, err
		}
		if bytes.Equal(b, currentJSON[o.key]) {
			continue
		}
		edits = append(edits, catalogue.Edit{Kind: o.key.Kind, Name: o.key.Name, Base: current.ObjectRevision(o.key), Object: b})
	}
	if prune {
		edits = append(edits, removals(current, seen)...)
	}
	if len(edits) == 0 {
		return nil, nil
	}
	if err := current.Check(&catalogue.Change{ID: "check", Edits: edits}); err != nil {
		return nil, &exitError{code: ExitUsage, cause: errors.Wrapf(err, "%s", path)}
	}
	return edits, nil
}

// removals returns the edits that remove all objects but those to keep.
func removals(current *catalogue.State, keep map[catalogue.ObjectKey]bool) []catalogue.Edit {
	var edits []catalogue.Edit
	for _, o := range documentOf(current).objects() {
		if !keep[o.key] {
			edits = append(edits, catalogue.Edit{Kind: o.key.Kind, Name: o.key.Name, Base: current.ObjectRevision(o.key), Remove: true})
		}
	}
	return edits
}
