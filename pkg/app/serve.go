package app

import (
	"context"

	"carawayknot.example/carawayknot/pkg/entry"
	"carawayknot.example/carawayknot/pkg/settings"
)

// ServeCallers runs an entry instance until ctx ends, then drains it.
func ServeCallers(ctx context.Context, common settings.Common) error {
	h := &entry.House{Common: common}
	return h.Run(ctx)
}
