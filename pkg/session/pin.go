package session

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// maxPins bounds the pins of one session; each is for a different model.
const maxPins = 8

// Pin binds a session to a version of a model.
type Pin struct {
	Version catalogue.VersionID
	// Profile is the profile of the request that created the pin.
	Profile string `json:",omitempty"`
	// Turn increases each time the session moves to another version of the model, for example after a withdrawal.
	Turn int
	// At is the wall time at which the pin was created.
	At clock.Millis
}

// precedes reports whether p takes precedence over q: the higher turn wins, and within a turn the pin created first.
func (p Pin) precedes(q Pin) bool {
	return cmp.Or(cmp.Compare(q.Turn, p.Turn), cmp.Compare(p.At, q.At), cmp.Compare(p.Version, q.Version)) < 0
}

// merge returns the pins of both lists that take precedence, one per model, most recent first.
func merge(a, b []Pin) []Pin {
	byModel := map[string]Pin{}
	for _, p := range slices.Concat(a, b) {
		model := p.Version.Model()
		if current, found := byModel[model]; !found || p.precedes(current) {
			byModel[model] = p
		}
	}
	pins := make([]Pin, 0, len(byModel))
	for _, p := range byModel {
		pins = append(pins, p)
	}
	slices.SortFunc(pins, func(p, q Pin) int {
		return cmp.Or(cmp.Compare(q.At, p.At), cmp.Compare(p.Version, q.Version))
	})
	return pins[:min(len(pins), maxPins)]
}

func pinForModel(pins []Pin, model string) *Pin {
	for i := range pins {
		if pins[i].Version.Model() == model {
			return &pins[i]
		}
	}
	return nil
}
