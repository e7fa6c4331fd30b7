package clock

import "context"

// WithTimeout returns a context that is cancelled with the cause context.DeadlineExceeded once d has passed on c.
func WithTimeout(ctx context.Context, c Clock, d Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	done, stop := c.Timer(d)
	go func() {
		defer stop()
		select {
		case <-done:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
