package effects

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// itemIdleTimeout is how long a server may send nothing of an item: it counts as lost then, and
// the item is resumed at another one. It is well above the longest wait in a server's queue.
const itemIdleTimeout = 10 * time.Second

// errIdleTimeout ends an attempt whose server has sent nothing for too long.
var errIdleTimeout = errors.New("the server has sent nothing for too long")

// idleTimer ends an attempt whose server sends nothing.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// withIdleTimeout makes a context that ends with errIdleTimeout once nothing has been heard for the
// timeout. The parent has to end; it releases the context.
func withIdleTimeout(parent context.Context, timeout time.Duration) (context.Context, idleTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(timeout, func() { cancel(errIdleTimeout) })
	return ctx, idleTimer{timer, timeout}
}

// reset tells that the server has sent something.
func (t idleTimer) reset() { t.timer.Reset(t.timeout) }

// stop stops the timer.
func (t idleTimer) stop() { t.timer.Stop() }

// failureReason is why an attempt failed with an error: that its server was silent, if it was.
func failureReason(ctx context.Context, err error) string {
	if errors.Is(context.Cause(ctx), errIdleTimeout) {
		return errIdleTimeout.Error()
	}
	return err.Error()
}
