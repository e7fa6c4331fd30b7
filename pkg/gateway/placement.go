package gateway

import (
	"math"

	"carawayknot.example/carawayknot/pkg/placement"
)

// ownFigures returns the figures by which other instances predict what upstreams would give their calls.
func (in *Instance) ownFigures() map[uint32][]float32 { return in.planner.Own(in.Clock.Now()) }

func (in *Instance) applyPeerFigures(figures map[uint32][]float32) {
	in.planner.SetPeers(figures, in.Clock.Now())
}

// placedPerLog is the number of placed attempts of which one is logged.
const placedPerLog = 256

// observePlacement records what was predicted of an answer that has begun, and logs some of them.
func (in *Instance) observePlacement(p placement.Placed) {
	in.metrics.ObserveForecast(p.Service, p.Predicted, p.Seen)
	if in.placed.Add(1)%placedPerLog != 1 {
		return
	}
	in.Log.Info("placed attempt", "service", p.Service, "upstream", p.Upstream, "model", p.Model, "predictedMs", math.Round(p.Predicted),
		"seenMs", p.Seen, "waitMs", math.Round(p.Wait), "workMs", math.Round(p.Work), "pace", p.Pace, "inFlight", p.InFlight, "tokens", p.Tokens,
		"keptTokens", math.Round(p.Kept), "atHome", p.AtHome, "newsAgeMs", p.NewsAge)
}
