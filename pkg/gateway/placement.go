package gateway

import (
	"carawayknot.example/carawayknot/pkg/request"
)

// ownFigures returns the figures by which other instances predict what upstreams would give their calls.
func (in *Instance) ownFigures() map[uint32][]float32 { return in.planner.Own(in.Clock.Now()) }

func (in *Instance) applyPeerFigures(figures map[uint32][]float32) {
	in.planner.SetPeers(figures, in.Clock.Now())
}

// observePlaced records what an attempt tells of its upstream's pace.
func (in *Instance) observePlaced(c *request.Call, s request.Sample) {
	in.planner.Report(c, s.Load, s.At)
	in.planner.Gap(c, s.Gap, s.At)
}
