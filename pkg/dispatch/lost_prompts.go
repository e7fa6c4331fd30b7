package dispatch

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// maxLostPrompts bounds lostPrompts.
const maxLostPrompts = 16

// lostPrompts are the last prompts that were lost with an upstream.
type lostPrompts []lostPrompt

type lostPrompt struct {
	at    clock.Millis
	parts []uint64
}

// add adds a prompt and drops the oldest one if there are too many.
func (l *lostPrompts) add(parts []request.PromptPart, now clock.Millis) {
	p := lostPrompt{at: now}
	for _, part := range parts {
		p.parts = append(p.parts, hashPart(part.ID))
	}
	*l = append(*l, p)
	if len(*l) > maxLostPrompts {
		*l = slices.Clone((*l)[1:])
	}
}

// anyWithout reports whether a prompt without the part was lost since the given time.
func (l lostPrompts) anyWithout(part uint64, since clock.Millis) bool {
	return slices.ContainsFunc(l, func(p lostPrompt) bool { return p.at >= since && !slices.Contains(p.parts, part) })
}
