package app

import (
	"context"

	"carawayknot.example/carawayknot/pkg/house"
	"carawayknot.example/carawayknot/pkg/settings"
)

// ServeCallers runs an entry instance until ctx ends, then drains it.
func ServeCallers(ctx context.Context, common settings.Common) error {
	h := &house.House{Common: common}
	return h.Run(ctx)
}
