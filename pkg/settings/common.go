package settings

import (
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Common has the dependencies that all parts of a daemon share.
type Common struct {
	Log      logr.Logger
	Settings *Settings
	Clock    clock.Clock
}
