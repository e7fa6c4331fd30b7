package app

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/settings"
)

// ServeCallers runs an entry instance until ctx ends.
func ServeCallers(_ context.Context, _ settings.Common) error {
	return errors.New("the parts of an instance are not joined yet")
}
