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

// testServer is a RawServer whose limits in force a test can change.
type testServer struct {
	*RawServer
	t      *testing.T
	limits atomic.Pointer[Limits]
}

func newTestServer(t *testing.T, fixed, inForce Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	f := &testServer{t: t}
	f.limits.Store(&inForce)
	f.RawServer = &RawServer{Address: "127.0.0.1:0", Limits: fixed, CurrentLimits: func() Limits { return *f.limits.Load() },
		Handler: handler}
	if err := f.Start(func(err error) { t.Error(err) }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close(time.Second) })
	return f
}

func answerOK(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }

// testClient is one connection to a server.
type testClient struct {
	server *testServer
	conn   net.Conn
	reader *bufio.Reader
}

func (f *testServer) dial() *testClient {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &testClient{f, conn, bufio.NewReader(conn)}
}

// get sends a request with about extraHeaderBytes more in its header, and returns the
// status; 0 if the connection is closed.
func (c *testClient) get(extraHeaderBytes int) int {
	c.server.t.Helper()
	fmt.Fprintf(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\n\r\n", strings.Repeat("x", extraHeaderBytes))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// waitForClose waits until the server has closed the connection, on which nothing is sent, and returns
// the error of the read.
func (c *testClient) waitForClose() error {
	_, err := c.reader.ReadByte()
	return err
}

// waitForIdle waits until the server has count idle connections, and returns the time.
func (f *testServer) waitForIdle(count int) time.Time {
	f.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		f.idle.mu.Lock()
		now := len(f.idle.conns)
		f.idle.mu.Unlock()
		if now == count {
			return time.Now()
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("got %d idle connections, want %d", now, count)
		}
		time.Sleep(time.Millisecond)
	}
}

// A closing server waits for the open requests until its timeout, so their responses are complete.
// Idle connections are closed at once, and new ones are not accepted.
func TestClosingWaitsForOpenRequests(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			close(reached)
			<-release
		}
		io.WriteString(w, "complete")
	})
	idle, busy := f.dial(), f.dial()
	idle.get(0)
	f.waitForIdle(2)
	io.WriteString(busy.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	<-reached
	closed := make(chan struct{})
	go func() { defer close(closed); f.Close(20 * time.Second) }()
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection ended with %v", err)
	}
	if conn, err := net.Dial("tcp", f.listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("a new connection was accepted")
	}
	close(release)
	response, err := http.ReadResponse(busy.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "complete" {
		t.Errorf("the response to the open request is %q, %v", body, err)
	}
	<-closed
}

// A draining server accepts connections, and each response whose head it writes then says that the connection is closed,
// so that no caller keeps using a daemon that stops.
func TestDrainingServerTellsCallersToUseAnotherConnection(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			reached <- struct{}{}
			<-release
		}
		if r.Method == http.MethodPut {
			http.NewResponseController(w).Flush()
		}
		io.WriteString(w, "ok")
	})
	closes := func(c *testClient, method string) bool {
		t.Helper()
		fmt.Fprintf(c.conn, "%s / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", method)
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
		return response.Close
	}
	open, kept := f.dial(), f.dial()
	if closes(kept, "GET") {
		t.Error("a server that is not draining closes a connection")
	}
	answered := make(chan bool, 1)
	go func() { answered <- closes(open, "POST") }()
	<-reached
	f.StartDraining()
	close(release)
	if !<-answered {
		t.Error("a request that was read before the drain keeps its connection")
	}
	if !closes(kept, "GET") || !closes(f.dial(), "PUT") {
		t.Error("a request that was read while the server was draining keeps its connection")
	}
}

// A body over the limit closes its connection, so that the rest of it isn't taken for a request.
func TestTooLargeBodyClosesTheConnection(t *testing.T) {
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		LimitBody(w, r, 10)
		if _, err := ReadBody(r); err != nil {
			WriteError(w, err)
		}
	})
	c := f.dial()
	fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 1000))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge || !response.Close {
		t.Errorf("answered %+v, %v", response, err)
	}
}

// A closing server takes no further request on a connection whose response was open when it began to close: it passed
// such requests on and cut them when its time was over.
func TestClosingServerTakesNoRequestAfterAnOpenResponse(t *testing.T) {
	const clients = 8
	reached, release := make(chan struct{}, 2*clients), make(chan struct{})
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		http.NewResponseController(w).Flush() // the head is written before the server begins to close
		reached <- struct{}{}
		<-release
		io.WriteString(w, "complete")
	})
	var callers []*testClient
	for range clients {
		c := f.dial()
		callers = append(callers, c)
		io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		<-reached
	}
	closed := make(chan struct{})
	go func() { defer close(closed); f.Close(20 * time.Second) }()
	waitUntilRefused(t, f.listener.Addr())
	close(release)
	for _, c := range callers {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "complete" {
			t.Errorf("the response to the open request is %q, %v", body, err)
		}
		if status := c.get(0); status != 0 {
			t.Errorf("the next request on the connection got status %d", status)
		}
	}
	<-closed
	if taken := len(reached); taken != 0 {
		t.Errorf("the handler got %d requests after the open ones", taken)
	}
}

// A closing server takes the connections that the kernel has accepted for it: they were reset, with the requests that
// their callers had sent, on a machine so busy that the server hadn't got to them.
func TestClosingServerTakesQueuedConnections(t *testing.T) {
	const clients = 5
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, answerOK)
	f.open.mu.Lock() // blocks the goroutine that accepts connections
	f.dial()
	waitForGoroutine(t, "(*openConns).add")
	statuses := make(chan int, clients)
	for range clients {
		c := f.dial()
		go func() { statuses <- c.get(0) }()
	}
	closed := make(chan struct{})
	go func() { defer close(closed); f.Close(20 * time.Second) }()
	for deadline := time.Now().Add(20 * time.Second); !f.IsClosing() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	f.open.mu.Unlock()
	for range clients {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("a request on a queued connection got status %d", status)
		}
	}
	<-closed
}

// A connection that this daemon closes after it has read part of a request and before it has written
// any response is counted and reported. One whose caller disconnected first is counted separately,
// and one whose request was answered is not counted.
func TestUnansweredConnectionsAreCounted(t *testing.T) {
	reported := make(chan Unanswered, 1)
	reached := make(chan struct{})
	release := make(chan struct{})
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPost:
			reached <- struct{}{}
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case http.MethodPut:
			<-release
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, "ok")
	})
	f.OnUnanswered = func(ended Unanswered) { reported <- ended }
	answered, disconnected, aborted := f.dial(), f.dial(), f.dial()
	answered.get(0)
	answered.conn.Close()
	io.WriteString(disconnected.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	<-reached
	disconnected.conn.Close()
	const request = "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	io.WriteString(aborted.conn, request)
	close(release)
	if ended := <-reported; ended.RequestBytes != int64(len(request)) || ended.Remote != aborted.conn.LocalAddr().String() {
		t.Errorf("reported %+v", ended)
	}
	f.waitForIdle(0)
	f.Close(20 * time.Second)
	stats := &f.Unanswered
	if closed, callerClosed := stats.ClosedByServer.Load(), stats.CallersDisconnected.Load(); closed != 1 || callerClosed != 1 || stats.LongestWait.Load() == 0 {
		t.Errorf("closed by the server: %d, callers disconnected: %d, after %d us", closed, callerClosed, stats.LongestWait.Load())
	}
}

// A request that was read is answered, even if the server begins to close before the handler gets
// the request.
func TestRequestReadBeforeCloseIsAnswered(t *testing.T) {
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, Limits{}, answerOK)
	c := f.dial()
	c.get(0)
	f.waitForIdle(1)
	f.idle.mu.Lock() // blocks the connection between reading its request and calling the handler
	status := make(chan int, 1)
	go func() { status <- c.get(0) }()
	waitForGoroutine(t, "(*idleConns).stateChanged")
	closed := make(chan struct{})
	go func() { defer close(closed); f.Close(20 * time.Second) }()
	waitUntilRefused(t, f.listener.Addr())
	f.idle.mu.Unlock()
	if got := <-status; got != http.StatusOK {
		t.Errorf("got status %d for the request that had been read", got)
	}
	<-closed
}

// A connection whose request header is not completed in time is closed; one whose header is completed
// in time is served.
func TestIncompleteHeaderDoesNotKeepConnection(t *testing.T) {
	f := newTestServer(t, Limits{HeaderBytes: 1000, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}, Limits{}, answerOK)
	slow, late := f.dial(), f.dial()
	const half = "GET / HTTP/1.1\r\nHost:"
	idleSince := f.waitForIdle(2)
	io.WriteString(slow.conn, half)
	io.WriteString(late.conn, half)
	f.waitForRequestBytes(2 * len(half))
	f.closeExpiredIdle(idleSince.Add(time.Hour))
	io.WriteString(late.conn, " h\r\n\r\n")
	if response, err := http.ReadResponse(late.reader, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("header completed in time: got response %+v, %v", response, err)
	}
	f.limits.Store(&Limits{HeaderTimeout: time.Nanosecond})
	f.closeExpiredIdle(idleSince.Add(time.Hour))
	if _, err := slow.reader.ReadByte(); err != io.EOF {
		t.Errorf("connection with an incomplete header ended with %v", err)
	}
}

// waitForRequestBytes waits until the server has read want bytes of unfinished requests.
func (f *testServer) waitForRequestBytes(want int) {
	f.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		got := int64(0)
		for _, conn := range f.open.list() {
			conn.mu.Lock()
			got += conn.exchange.requestBytes
			conn.mu.Unlock()
		}
		if got == int64(want) {
			return
		}
	}
	f.t.Fatalf("the server did not read %d bytes", want)
}
