package effects

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// itemIdleTimeout is how long a server may send nothing for an item. After that the attempt counts
// as lost and the item is resumed on another server. It is well above the longest wait in a
// server's queue.
const itemIdleTimeout = 10 * time.Second

// errIdleTimeout ends an attempt whose server has sent nothing for too long.
var errIdleTimeout = errors.New("the server has sent nothing for too long")

// idleTimer ends an attempt whose server sends nothing.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// withIdleTimeout makes a context that ends with errIdleTimeout once the timer has not been reset
// for the timeout. The context is released when its parent ends, so the parent must end.
func withIdleTimeout(parent context.Context, timeout time.Duration) (context.Context, idleTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(timeout, func() { cancel(errIdleTimeout) })
	return ctx, idleTimer{timer, timeout}
}

// reset restarts the timeout; it is called whenever the server has sent something.
func (t idleTimer) reset() { t.timer.Reset(t.timeout) }

func (t idleTimer) stop() { t.timer.Stop() }

// failureReason returns why an attempt failed with err: the idle timeout if it expired, else err
// itself.
func failureReason(ctx context.Context, err error) string {
	if errors.Is(context.Cause(ctx), errIdleTimeout) {
		return errIdleTimeout.Error()
	}
	return err.Error()
}
