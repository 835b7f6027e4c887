package host

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// go-zero handles SIGTERM and SIGINT from the start of the process, before any code here can: a signal
// that arrives while a daemon starts is visible through proc.Done only. A daemon therefore stops when
// proc.Done is closed, and this package prevents later signals from ending the process.

// stopListener waits for the signal to stop the daemon.
type stopListener struct {
	isServing atomic.Bool
}

// newStopListener starts to listen. Until wait is called the daemon has nothing to drain, and a
// signal ends the process.
func newStopListener() *stopListener {
	proc.SetTimeToForceQuit(time.Hour) // go-zero must not end the process while this package drains
	// go-zero stops listening after the first signal, and the next one would end the process by
	// default. Registering a channel prevents that; nothing reads from it.
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

// wait blocks until the daemon is told to stop.
func (l *stopListener) wait() {
	l.isServing.Store(true)
	<-proc.Done()
}

// interrupts returns a channel that receives the SIGINTs from now on.
func interrupts() <-chan os.Signal {
	out := make(chan os.Signal, 1)
	signal.Notify(out, os.Interrupt)
	return out
}
