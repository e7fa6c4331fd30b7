package clock

import (
	"context"
	"errors"
	"testing"
)

func TestWithTimeout(t *testing.T) {
	m := NewManual(1000)
	ctx, cancel := WithTimeout(context.Background(), m, 50)
	defer cancel()
	m.Advance(49)
	if err := ctx.Err(); err != nil {
		t.Errorf("context ended before the timeout: %v", err)
	}
	m.Advance(1)
	<-ctx.Done()
	if cause := context.Cause(ctx); !errors.Is(cause, context.DeadlineExceeded) {
		t.Errorf("got cause %v, want %v", cause, context.DeadlineExceeded)
	}
	ctx, cancel = WithTimeout(context.Background(), m, 50)
	cancel()
	<-ctx.Done()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		t.Errorf("got cause %v, want %v", cause, context.Canceled)
	}
}
