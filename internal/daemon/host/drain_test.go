package host

import (
	"os"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"tuliprudder/internal/clock"
)

// startDraining has a daemon drain; finish ends the one function that drains it.
func startDraining(signals chan os.Signal) (finish func(), drained chan struct{}) {
	d := &Daemon{Log: zerolog.Nop(), DrainTimeout: 60 * clock.Second}
	finished := make(chan struct{})
	d.OnDrain(func() { <-finished })
	drained = make(chan struct{})
	go func() {
		d.drain(signals)
		close(drained)
	}()
	return func() { close(finished) }, drained
}

// A daemon that is told to stop twice, as by two rollouts that overlap, still serves what it has:
// a second SIGTERM must not cut requests. (Issue 29: found by the soak, seed 6.)
func TestARepeatedSIGTERMDoesNotEndTheDraining(t *testing.T) {
	signals := make(chan os.Signal)
	finish, drained := startDraining(signals)
	for range 3 {
		select {
		case signals <- syscall.SIGTERM:
		case <-drained:
			t.Fatal("it ended with requests open")
		}
	}
	finish()
	<-drained
}

// Who interrupts a daemon that drains doesn't want to wait.
func TestAnInterruptEndsTheDraining(_ *testing.T) {
	signals := make(chan os.Signal)
	finish, drained := startDraining(signals)
	defer finish()
	signals <- syscall.SIGTERM
	signals <- os.Interrupt
	<-drained
}
