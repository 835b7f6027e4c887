package host

import (
	"os"
	"testing"

	"github.com/rs/zerolog"

	"tuliprudder/internal/clock"
)

// startDraining has a daemon drain; finish ends the one function that drains it.
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

// Who interrupts a daemon that drains doesn't want to wait.
func TestInterruptEndsDraining(_ *testing.T) {
	interrupts := make(chan os.Signal)
	finish, drained := startDraining(interrupts)
	defer finish()
	interrupts <- os.Interrupt
	<-drained
}

// A daemon has drained once each of its functions has ended.
func TestDrainingEndsWhenAllDrainFunctionsReturn(t *testing.T) {
	finish, drained := startDraining(make(chan os.Signal))
	select {
	case <-drained:
		t.Fatal("it ended with requests open")
	default:
	}
	finish()
	<-drained
}
