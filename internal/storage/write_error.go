package storage

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// WriteError says that the disk refused a write. What was durable before still is, and the same
// write may be tried again.
type WriteError struct {
	Step string // one of the steps of a write
	Err  error  // what the operating system reported
}

// The steps of a write, in their order.
const (
	stepMakeFolder = "make folder"
	stepWrite      = "write"
	stepSync       = "sync"
	stepRename     = "rename"
	stepSyncFolder = "folder" // the sync of the folder
)

// Error names the step and what the operating system reported.
func (e *WriteError) Error() string {
	return fmt.Sprintf("the disk refused a write (step: %s): %v", e.Step, e.Err)
}

// Unwrap gives what the operating system reported.
func (e *WriteError) Unwrap() error { return e.Err }

// newWriteError makes a WriteError with a stack; nil where err is nil.
func newWriteError(step string, err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&WriteError{Step: step, Err: err})
}

// IsWriteError reports whether an error is the disk's refusal of a write, which may be tried
// again, and not damage.
func IsWriteError(err error) bool {
	var writeError *WriteError
	return errors.As(err, &writeError)
}

// IsDiskFull reports whether an error says that there is no room on the disk, or in its quota.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
