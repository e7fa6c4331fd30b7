package gateway

import (
	"context"
	"reflect"
)

// reload applies the confidence threshold of reloaded settings; all other changes need a restart.
func (in *Instance) reload(ctx context.Context) error {
	for {
		select {
		case e := <-in.Reloads:
			old := in.leastSuccess.Swap(int32(e.Policy.LeastConfidence))
			merged := *e
			merged.Policy.LeastConfidence = in.Settings.Policy.LeastConfidence
			in.Log.Info("settings reloaded", "leastConfidence", e.Policy.LeastConfidence, "previous", old,
				"restartNeeded", !reflect.DeepEqual(&merged, in.Settings))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
