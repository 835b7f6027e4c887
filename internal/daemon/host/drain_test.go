package host

import (
	"os"
	"testing"

	"github.com/rs/zerolog"

	"tuliprudder/internal/clock"
)

// startDraining starts to drain a daemon with one drain function, which returns when finish is
// called. drained is closed when the daemon has drained.
func startDraining(interrupts chan os.Signal) (finish func(), drained chan struct{}) {
	d := &Daemon{Log: zerolog.Nop(), DrainTimeout: 60 * clock.Second}
	finished := make(chan struct{})
	d.OnDrain(func() { <-finished })
	drained = make(chan struct{})
	go func() {
		d.drain(interrupts)
		close(drained)
	}()
	return func() { close(finished) }, drained
}

// An interrupt ends the draining although a drain function still runs.
func TestInterruptEndsDraining(_ *testing.T) {
	interrupts := make(chan os.Signal)
	finish, drained := startDraining(interrupts)
	defer finish()
	interrupts <- os.Interrupt
	<-drained
}

// Draining ends when every drain function has returned, and not before.
func TestDrainingEndsWhenAllDrainFunctionsReturn(t *testing.T) {
	finish, drained := startDraining(make(chan os.Signal))
	select {
	case <-drained:
		t.Fatal("draining ended while a drain function was still running")
	default:
	}
	finish()
	<-drained
}
