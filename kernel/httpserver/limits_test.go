package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// front is a Raw whose limits in force a test changes.
type front struct {
	*Raw
	t     *testing.T
	force atomic.Pointer[Limits]
}

func newFront(t *testing.T, own, inForce Limits, handler http.HandlerFunc) *front {
	t.Helper()
	f := &front{t: t}
	f.force.Store(&inForce)
	f.Raw = &Raw{Address: "127.0.0.1:0", Limits: own, Current: func() Limits { return *f.force.Load() },
		Handler: handler}
	if err := f.Open(func(err error) { t.Error(err) }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close(time.Second) })
	return f
}

func answerOK(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }

// caller is one connection to a front.
type caller struct {
	f    *front
	conn net.Conn
	in   *bufio.Reader
}

func (f *front) dial() *caller {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &caller{f, conn, bufio.NewReader(conn)}
}

// ask sends a request with a header of about so many bytes more, and gives the
// status; 0 when the connection is closed.
func (c *caller) ask(more int) int {
	c.f.t.Helper()
	fmt.Fprintf(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\n\r\n", strings.Repeat("x", more))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// rests waits until the front takes all connections for resting, and gives the time.
func (f *front) rests(count int) time.Time {
	f.t.Helper()
	expiry := time.Now().Add(20 * time.Second)
	for {
		f.resting.mu.Lock()
		now := len(f.resting.conns)
		f.resting.mu.Unlock()
		if now == count {
			return time.Now()
		}
		if time.Now().After(expiry) {
			f.t.Fatalf("%d connections rest, not %d", now, count)
		}
		time.Sleep(time.Millisecond)
	}
}

// A connection that has rested for as long as the limit in force allows is taken up
// again, and one that has rested longer, with the time of a header, is closed.
func TestConnectionsRestByTheLimitInForce(t *testing.T) {
	f := newFront(t, Limits{HeaderBytes: 1000, HeaderWait: 10 * time.Second, IdleWait: time.Minute}, Limits{HeaderWait: 3 * time.Second, IdleWait: 5 * time.Minute}, answerOK)
	kept, fresh := f.dial(), f.dial()
	if got := kept.ask(0); got != 200 {
		t.Fatal(got)
	}
	began := f.rests(2)
	f.sweep(began.Add(5 * time.Minute))
	if kept, fresh := kept.ask(0), fresh.ask(0); kept != 200 || fresh != 200 {
		t.Errorf("after its rest the front answers %d, and on a new connection %d", kept, fresh)
	}
	began = f.rests(2)
	f.sweep(began.Add(5*time.Minute + 3*time.Second + time.Millisecond))
	if kept, fresh := kept.ask(0), fresh.ask(0); kept != 0 || fresh != 0 {
		t.Errorf("connections that rested for too long answer %d and %d", kept, fresh)
	}
	f.rests(0)
}

// A shorter limit binds connections that begin to rest under it; a longer one binds
// those that rest already.
func TestLimitsChangeWhileConnectionsRest(t *testing.T) {
	const second = time.Second
	f := newFront(t, Limits{HeaderBytes: 1000, HeaderWait: second, IdleWait: 15 * second}, Limits{}, answerOK)
	c := f.dial()
	c.ask(0)
	began := f.rests(1)
	f.force.Store(&Limits{IdleWait: 5 * second})
	f.sweep(began.Add(12 * second))
	if got := c.ask(0); got != 200 {
		t.Errorf("a connection that rested by the limit before answers %d", got)
	}
	began = f.rests(1)
	f.force.Store(&Limits{IdleWait: 60 * second})
	f.sweep(began.Add(48 * second))
	if got := c.ask(0); got != 200 {
		t.Errorf("a connection that rested by the new limit answers %d", got)
	}
	began = f.rests(1)
	f.force.Store(&Limits{IdleWait: 5 * second})
	f.sweep(began)
	c.ask(0)
	began = f.rests(1)
	f.sweep(began.Add(6*second + time.Millisecond))
	if got := c.ask(0); got != 0 {
		t.Errorf("a connection that rested for too long answers %d", got)
	}
}

// A header is turned away by the limit in force, at once when that changes, and the
// front's own limit counts where none is in force.
func TestHeadersByTheLimitInForce(t *testing.T) {
	f := newFront(t, Limits{HeaderBytes: 1000, HeaderWait: time.Second, IdleWait: time.Minute}, Limits{}, answerOK)
	for _, c := range []struct{ inForce, more, want int }{
		{0, 900, 200}, {0, 1000, 431}, {200, 100, 200}, {200, 200, 431}, {100_000, 99_000, 200}, {100_000, 100_000, 431},
	} {
		f.force.Store(&Limits{HeaderBytes: c.inForce})
		f.look()
		if got := f.dial().ask(c.more); got != c.want {
			t.Errorf("with %d in force, a header of some %d bytes: %d", c.inForce, c.more, got)
		}
	}
	// A limit that was raised since the last look.
	f.force.Store(&Limits{HeaderBytes: 1000})
	f.look()
	f.force.Store(&Limits{HeaderBytes: 5000})
	if got := f.dial().ask(4000); got != 200 {
		t.Errorf("by a limit that was just raised: %d", got)
	}
}

// A front that closes waits for the requests under way, as long as it may: their
// answers are whole. What rests is closed at once, and nobody new is let in.
func TestClosingWaitsForOpenRequests(t *testing.T) {
	reached, goOn := make(chan struct{}), make(chan struct{})
	f := newFront(t, Limits{HeaderBytes: 1000, HeaderWait: time.Second, IdleWait: time.Minute}, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			close(reached)
			<-goOn
		}
		io.WriteString(w, "whole")
	})
	resting, busy := f.dial(), f.dial()
	resting.ask(0)
	f.rests(2)
	io.WriteString(busy.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	<-reached
	closed := make(chan struct{})
	go func() { defer close(closed); f.Close(20 * time.Second) }()
	if _, err := resting.in.ReadByte(); err != io.EOF {
		t.Errorf("a connection that rested ended with %v", err)
	}
	if conn, err := net.Dial("tcp", f.listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("somebody new was let in")
	}
	close(goOn)
	response, err := http.ReadResponse(busy.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "whole" {
		t.Errorf("the answer under way is %q, %v", body, err)
	}
	<-closed
}
