package eventloop

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"tuliprudder/internal/logging"
	"tuliprudder/internal/storage"
)

// WaitForDisk runs a part of a daemon's start that needs a disk which takes writes, and
// retries it with exponential backoff while the disk is full or fails writes. A daemon that
// ended instead would be started again just to end again. Any other error (damage, a fault
// in the settings) is returned at once. pause waits between two attempts.
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
			logging.Write(log, StartWaitsForDisk{Reason: err.Error(), Remedy: "free space on the disk, or replace it; the start goes on by itself"})
		}
		waited = true
		pause(delay)
	}
}

// isTransient tells whether an error is one of a disk that may pass by itself.
func isTransient(err error) bool {
	return storage.IsWriteError(err) && (storage.IsDiskFull(err) || errors.Is(err, syscall.EIO))
}
