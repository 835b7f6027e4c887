package effects

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// itemSilenceTimeout is how long a server may send nothing of an item: it counts as lost then, and
// the item is resumed at another one. It is well above the longest wait in a server's queue.
const itemSilenceTimeout = 10 * time.Second

// errSilent ends an attempt whose server has sent nothing for too long.
var errSilent = errors.New("the server has sent nothing for too long")

// silenceWatch ends an attempt whose server sends nothing.
type silenceWatch struct {
	timer   *time.Timer
	timeout time.Duration
}

// watchSilence makes a context that ends with errSilent once nothing has been heard for the
// timeout. The parent has to end; it releases the context.
func watchSilence(parent context.Context, timeout time.Duration) (context.Context, silenceWatch) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(timeout, func() { cancel(errSilent) })
	return ctx, silenceWatch{timer, timeout}
}

// heard tells that the server has sent something.
func (w silenceWatch) heard() { w.timer.Reset(w.timeout) }

// stop ends the watch.
func (w silenceWatch) stop() { w.timer.Stop() }

// reasonOf is why an attempt failed with an error: that its server was silent, if it was.
func reasonOf(ctx context.Context, err error) string {
	if errors.Is(context.Cause(ctx), errSilent) {
		return errSilent.Error()
	}
	return err.Error()
}
