package eventloop

import (
	"bytes"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/storage"
)

// Startup waits while the disk is full or its writes fail, logs this once, and then continues.
func TestAStartWaitsForTheDisk(t *testing.T) {
	var log bytes.Buffer
	var pauses []time.Duration
	attempts := 0
	err := WaitForDisk(zerolog.New(&log), func(delay time.Duration) { pauses = append(pauses, delay) }, func() error {
		attempts++
		switch {
		case attempts < 5:
			return &storage.WriteError{Step: "write", Err: syscall.ENOSPC}
		case attempts < 10:
			return &storage.WriteError{Step: "sync", Err: syscall.EIO}
		}
		return nil
	})
	if err != nil || attempts != 10 || len(pauses) != 9 || pauses[0] != initialRetryDelay || pauses[8] != maxRetryDelay {
		t.Fatalf("%v after %d attempts with pauses %v", err, attempts, pauses)
	}
	if logged := strings.Count(log.String(), `"event":"start_waits_for_disk"`); logged != 1 {
		t.Fatalf("logged %d times: %s", logged, log.String())
	}
}

// Startup does not wait on a damaged folder or on one without write permission.
func TestAStartDoesNotWaitForDamage(t *testing.T) {
	for _, want := range []error{errs.New(errs.Corrupt, "r", "m"), errs.New(errs.WrongFolder, "r", "m"),
		&storage.WriteError{Step: "write", Err: syscall.EACCES}, syscall.EIO, nil} {
		err := WaitForDisk(zerolog.Nop(), func(time.Duration) { t.Fatal("it waited") }, func() error { return want })
		if err != want {
			t.Fatalf("the error is %v, not %v", err, want)
		}
	}
}
