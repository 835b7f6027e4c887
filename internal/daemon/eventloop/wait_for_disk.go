package eventloop

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"tuliprudder/internal/logging"
	"tuliprudder/internal/storage"
)

// WaitForDisk runs a startup operation that needs a writable disk, and retries it with
// exponential backoff while the disk is full or its writes fail. A daemon that exited instead
// would be restarted only to exit again. Any other error (a damaged folder, an error in the
// settings) is returned at once. pause waits between two attempts.
func WaitForDisk(log zerolog.Logger, pause func(time.Duration), operation func() error) error {
	waited := false
	for delay := initialRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := operation()
		if !isTransient(err) {
			if waited && err == nil {
				logging.Write(log, StartResumed{})
			}
			return err
		}
		if !waited {
			logging.Write(log, StartWaitsForDisk{Reason: err.Error(), Remedy: "free space on the disk, or replace it; startup then continues automatically"})
		}
		waited = true
		pause(delay)
	}
}

// isTransient reports whether an error is a disk error that may resolve by itself.
func isTransient(err error) bool {
	return storage.IsWriteError(err) && (storage.IsDiskFull(err) || errors.Is(err, syscall.EIO))
}
