package app

import (
	"context"

	"carawayknot.example/carawayknot/pkg/entry"
	"carawayknot.example/carawayknot/pkg/settings"
)

// ServeNativeAPI is the ServeFunc of the native HTTP API.
func ServeNativeAPI(ctx context.Context, common settings.Common) error {
	h := &entry.Daemon{Common: common}
	return h.Run(ctx)
}
