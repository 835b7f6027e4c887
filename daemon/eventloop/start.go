package eventloop

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"tuliprudder/kernel/storage"
)

// WaitForDisk does a part of a start that needs a disk which takes writes, again and
// again while the disk is full or fails writes, with pauses that grow. A daemon that
// ended instead would be started again just to end again. Damage and faults in the
// settings are handed back at once.
func WaitForDisk(log zerolog.Logger, pause func(time.Duration), part func() error) error {
	waited := false
	for span := firstRetry; ; span = min(2*span, mostRetry) {
		err := part()
		if !passing(err) {
			if waited && err == nil {
				log.Info().Msg("the disk takes writes; starting")
			}
			return err
		}
		if !waited {
			log.Warn().Err(err).Msg("the disk takes no writes; the start waits until it does: make room, or replace the disk")
		}
		waited = true
		pause(span)
	}
}

// passing tells whether an error is a disk's refusal that may pass by itself.
func passing(err error) bool {
	return storage.CannotWrite(err) && (storage.Full(err) || errors.Is(err, syscall.EIO))
}
