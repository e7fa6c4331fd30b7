package app

import (
	"context"

	"carawayknot.example/carawayknot/pkg/entry"
	"carawayknot.example/carawayknot/pkg/settings"
)

// ServeNativeAPI is the ServeFunc of the native HTTP API.
func ServeNativeAPI(ctx context.Context, common settings.Common) error {
	d := &entry.Daemon{Common: common}
	return d.Run(ctx)
}
