package storage

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// WriteError means that the disk refused a write. Data that was durable before still is, and the
// same write may be retried.
type WriteError struct {
	Step string // one of the steps of a write
	Err  error  // the error that the operating system reported
}

// The steps of a write, in their order.
const (
	stepMakeFolder = "make folder"
	stepWrite      = "write"
	stepSync       = "sync"
	stepRename     = "rename"
	stepSyncFolder = "folder" // the sync of the folder
)

// Error returns the step and the error that the operating system reported.
func (e *WriteError) Error() string {
	return fmt.Sprintf("write to disk failed (step: %s): %v", e.Step, e.Err)
}

// Unwrap returns the error that the operating system reported.
func (e *WriteError) Unwrap() error { return e.Err }

// newWriteError returns a WriteError with a stack trace, or nil if err is nil.
func newWriteError(step string, err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&WriteError{Step: step, Err: err})
}

// IsWriteError reports whether an error is a write that the disk refused, which may be retried, as
// opposed to damage.
func IsWriteError(err error) bool {
	var writeError *WriteError
	return errors.As(err, &writeError)
}

// IsDiskFull reports whether an error says that the disk is full, or its quota used up.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
