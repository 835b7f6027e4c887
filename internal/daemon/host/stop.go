package host

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// go-zero takes SIGTERM and SIGINT from the moment at which the process begins, before anything here
// can: a signal that comes while a daemon starts reaches proc.Done alone. So that is what tells a
// daemon to stop, and this package keeps the signals that follow from ending the process.

// stopListener hears when the daemon is told to stop.
type stopListener struct {
	isServing atomic.Bool
}

// newStopListener listens from now on. Until wait is called the daemon has nothing to drain, and a
// signal ends the process.
func newStopListener() *stopListener {
	proc.SetTimeToForceQuit(time.Hour) // this package drains; go-zero must not end the process first
	// Nothing is read from the channel: go-zero stops listening with the first signal, and the next
	// one would end the process.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGINT)
	l := &stopListener{}
	go func() {
		<-proc.Done()
		if !l.isServing.Load() {
			os.Exit(0)
		}
	}()
	return l
}

// wait returns once the daemon is told to stop.
func (l *stopListener) wait() {
	l.isServing.Store(true)
	<-proc.Done()
}

// interrupts gives the SIGINTs that come from now on.
func interrupts() <-chan os.Signal {
	out := make(chan os.Signal, 1)
	signal.Notify(out, os.Interrupt)
	return out
}
