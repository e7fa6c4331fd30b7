package session

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// pinLimit bounds the pins of one session, one for each model.
const pinLimit = 8

// Pin keeps a session on a version of a model.
type Pin struct {
	Version catalogue.VersionID
	// Profile is the profile whose request made the pin.
	Profile string `json:",omitempty"`
	// Turn grows each time the session moves to another version of the model, as when one was withdrawn.
	Turn int
	// At is the wall time of the pin, in milliseconds.
	At clock.Millis
}

// precedes tells whether p is in force where both are known: the later turn, and within a turn the pin made first.
func (p Pin) precedes(q Pin) bool {
	return cmp.Or(cmp.Compare(q.Turn, p.Turn), cmp.Compare(p.At, q.At), cmp.Compare(p.Version, q.Version)) < 0
}

// merge returns the pins in force of both lists, one a model, the latest first.
func merge(a, b []Pin) []Pin {
	byModel := map[string]Pin{}
	for _, p := range slices.Concat(a, b) {
		model := p.Version.Model()
		if old, known := byModel[model]; !known || p.precedes(old) {
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
	return pins[:min(len(pins), pinLimit)]
}

// ofModel returns the pin for the model, or nil.
func ofModel(pins []Pin, model string) *Pin {
	for i := range pins {
		if pins[i].Version.Model() == model {
			return &pins[i]
		}
	}
	return nil
}
