package httpserver

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// A connection that has been idle for as long as the timeout in force allows can be reused; one that
// has been idle longer than the idle and header timeouts together is closed.
func TestIdleTimeoutUsesLimitInForce(t *testing.T) {
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}, Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 5 * time.Minute}, answerOK)
	kept, fresh := f.dial(), f.dial()
	if got := kept.get(0); got != 200 {
		t.Fatal(got)
	}
	idleSince := f.waitForIdle(2)
	f.closeExpiredIdle(idleSince.Add(5 * time.Minute))
	if kept, fresh := kept.get(0), fresh.get(0); kept != 200 || fresh != 200 {
		t.Errorf("got status %d on an idle connection and %d on a new one", kept, fresh)
	}
	idleSince = f.waitForIdle(2)
	f.closeExpiredIdle(idleSince.Add(5*time.Minute + 3*time.Second + time.Millisecond))
	if kept, fresh := kept.waitForClose(), fresh.waitForClose(); kept != io.EOF || fresh != io.EOF {
		t.Errorf("connections past their idle timeout ended with %v and %v", kept, fresh)
	}
	f.waitForIdle(0)
}

// A shorter idle timeout applies only to connections that become idle after the change; a longer one
// also applies to those that are idle already.
func TestIdleTimeoutChangesWhileConnectionsAreIdle(t *testing.T) {
	const second = time.Second
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: second, IdleTimeout: 15 * second}, Limits{}, answerOK)
	c := f.dial()
	c.get(0)
	idleSince := f.waitForIdle(1)
	f.limits.Store(&Limits{IdleTimeout: 5 * second})
	f.closeExpiredIdle(idleSince.Add(12 * second))
	if got := c.get(0); got != 200 {
		t.Errorf("got status %d on a connection within the previous idle timeout", got)
	}
	idleSince = f.waitForIdle(1)
	f.limits.Store(&Limits{IdleTimeout: 60 * second})
	f.closeExpiredIdle(idleSince.Add(48 * second))
	if got := c.get(0); got != 200 {
		t.Errorf("got status %d on a connection within the raised idle timeout", got)
	}
	idleSince = f.waitForIdle(1)
	f.limits.Store(&Limits{IdleTimeout: 5 * second})
	f.closeExpiredIdle(idleSince)
	c.get(0)
	idleSince = f.waitForIdle(1)
	f.closeExpiredIdle(idleSince.Add(6*second + time.Millisecond))
	if got := c.waitForClose(); got != io.EOF {
		t.Errorf("a connection past its idle timeout ended with %v", got)
	}
}

// Headers are checked against the limit in force, as soon as it changes. The server's fixed limit
// applies if none is in force.
func TestHeaderSizeUsesLimitInForce(t *testing.T) {
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, answerOK)
	for _, c := range []struct{ inForce, more, want int }{
		{0, 900, 200}, {0, 1000, 431}, {200, 100, 200}, {200, 200, 431}, {100_000, 99_000, 200}, {100_000, 100_000, 431},
	} {
		f.limits.Store(&Limits{HeaderBytes: c.inForce})
		f.refreshLimits()
		if got := f.dial().get(c.more); got != c.want {
			t.Errorf("limit in force %d, header of about %d bytes: got status %d", c.inForce, c.more, got)
		}
	}
	// The limit is raised after it was last read.
	f.limits.Store(&Limits{HeaderBytes: 1000})
	f.refreshLimits()
	f.limits.Store(&Limits{HeaderBytes: 5000})
	if got := f.dial().get(4000); got != 200 {
		t.Errorf("after the limit was raised: got status %d", got)
	}
}

// A request that was read on an idle connection is answered, even if the connection's idle timeout is
// found to have expired before net/http reports the connection as active.
func TestRequestReadBeforeIdleExpiryIsAnswered(t *testing.T) {
	handled := make(chan struct{}, 1)
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		handled <- struct{}{}
		answerOK(w, r)
	})
	c := f.dial()
	c.get(0)
	<-handled
	idleSince := f.waitForIdle(1)
	f.idle.mu.Lock() // blocks the check for expired connections first, then the connection with its request
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		f.closeExpiredIdle(idleSince.Add(time.Hour))
	}()
	waitForGoroutine(t, "(*idleConns).expired")
	status := make(chan int, 1)
	go func() { status <- c.get(0) }()
	waitForGoroutine(t, "(*idleConns).stateChanged")
	f.idle.mu.Unlock()
	<-expired
	if got := <-status; got != http.StatusOK {
		t.Errorf("got status %d for the request that had been read; it reached the handler: %v", got, len(handled) == 1)
	}
}

// waitForGoroutine waits until a function is on the stack of some goroutine.
func waitForGoroutine(t *testing.T, function string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for stacks := make([]byte, 1<<20); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if bytes.Contains(stacks[:runtime.Stack(stacks, true)], []byte(function)) {
			return
		}
	}
	t.Fatalf("no goroutine reached %s", function)
}
