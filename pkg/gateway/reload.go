package gateway

import (
	"context"
	"reflect"
)

// reload applies the confidence threshold of reloaded settings; all other changes need a restart.
func (h *Instance) reload(ctx context.Context) error {
	for {
		select {
		case e := <-h.Reloads:
			old := h.minConfidence.Swap(int32(e.Policy.LeastConfidence))
			merged := *e
			merged.Policy.LeastConfidence = h.Settings.Policy.LeastConfidence
			h.Log.Info("settings reloaded", "leastConfidence", e.Policy.LeastConfidence, "previous", old,
				"restartNeeded", !reflect.DeepEqual(&merged, h.Settings))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
