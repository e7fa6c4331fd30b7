package gateway

import (
	"context"
	"reflect"
)

// reload puts the policy of settings that were read anew in force; what else differs holds from the next start on.
func (h *House) reload(ctx context.Context) error {
	for {
		select {
		case e := <-h.Reloads:
			old := h.least.Swap(int32(e.Policy.LeastConfidence))
			later := *e
			later.Policy.LeastConfidence = h.Settings.Policy.LeastConfidence
			h.Log.Info("reloaded", "leastConfidence", e.Policy.LeastConfidence, "before", old,
				"restartNeeded", !reflect.DeepEqual(&later, h.Settings))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
