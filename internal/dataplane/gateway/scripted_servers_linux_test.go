package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lastEventID is the ID of the last event of each scripted stream.
const lastEventID = 3

// scriptedServers are TCP servers that respond correctly except for one injected fault. The fault happens
// once, at one point of the first exchange with the tested ID and in one mode.
type scriptedServers struct {
	t    *testing.T
	at   failurePoint
	mode failureMode

	testDone chan struct{} // closed at the end of the test

	mu            sync.Mutex
	faultInjected bool // the fault has happened
	received      []*receivedRequest
	idleConn      *scriptedConn   // the connection that carried the first request
	replaced      map[string]bool // servers whose address has been taken over by another server
}

// receivedRequest is a request as a server received it.
type receivedRequest struct {
	id        string
	conn      *scriptedConn
	bodyBytes int  // bytes of the body that were read
	executed  bool // the server received all of it and started to execute it
	done      bool // the server reads no more of it
}

// scriptedConn is the server's end of a connection.
type scriptedConn struct {
	*net.TCPConn
	reader  *bufio.Reader
	server  string
	pending string // part of a response that is withheld until the next request on the connection
}

func newScriptedServers(t *testing.T, at failurePoint, mode failureMode) *scriptedServers {
	s := &scriptedServers{t: t, at: at, mode: mode, testDone: make(chan struct{}), replaced: map[string]bool{}}
	t.Cleanup(func() { close(s.testDone) })
	return s
}

// listen starts a server and returns its address. Its receive buffer is small, so that the client is
// still writing when the server fails partway through a large request.
func (s *scriptedServers) listen(name string) string {
	s.t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	listener, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c := &scriptedConn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), server: name}
			go s.serve(c)
		}
	}()
	return listener.Addr().String()
}

// serve responds to the requests of one connection.
func (s *scriptedServers) serve(c *scriptedConn) {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-s.testDone:
		case <-ended:
		}
		c.Close()
	}()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		received, fails := s.recordRequest(c, request)
		switch {
		case s.isReplaced(c.server):
			s.discardBody(received, request)
			c.send(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", received.id))
		case fails:
			if !s.fail(c, received, request) {
				return
			}
		default:
			s.execute(received, request)
			c.send(c.pending + s.response(c, received.id, request, false).text())
			c.pending = ""
		}
	}
}

func (s *scriptedServers) recordRequest(c *scriptedConn, request *http.Request) (*receivedRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := &receivedRequest{id: request.Header.Get(headerNames.RequestID), conn: c}
	s.received = append(s.received, received)
	if received.id == firstID {
		s.idleConn = c
	}
	fails := received.id == testedID && s.at != beforeFirstByte && !s.faultInjected
	s.faultInjected = s.faultInjected || fails
	return received, fails
}

func (s *scriptedServers) isReplaced(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced[server]
}

func (s *scriptedServers) replace(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced[server] = true
}

// discardBody reads and discards the rest of a request's body without executing the request.
func (s *scriptedServers) discardBody(received *receivedRequest, request *http.Request) {
	io.Copy(io.Discard, request.Body)
	s.markDone(received)
}

// markDone records that no more of a request is read.
func (s *scriptedServers) markDone(received *receivedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	received.done = true
}

// execute reads the body of a request and records the request as executed if the body is complete.
func (s *scriptedServers) execute(received *receivedRequest, request *http.Request) {
	n, err := io.Copy(io.Discard, request.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	received.bodyBytes, received.executed, received.done = int(n), err == nil, true
}

// tally counts how many times the tested request was received and executed. It also reports whether the
// next request reused the connection of the first one, and whether a server executed a body whose size
// differs from that of the body that was sent.
func (s *scriptedServers) tally(size int) (attempts, executions int, reused, bodyAltered bool) {
	waitFor(s.t, "the servers to finish the received requests", s.allDone)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, received := range s.received {
		if received.id == nextID {
			reused = reused || received.conn == s.idleConn
		}
		if received.id != testedID {
			continue
		}
		attempts++
		if received.executed {
			executions++
			bodyAltered = bodyAltered || received.bodyBytes != size
		}
	}
	return attempts, executions, reused, bodyAltered
}

func (s *scriptedServers) allDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.received, func(received *receivedRequest) bool { return !received.done })
}

// responseParts are the parts of a response, which can be interrupted between any two of them.
type responseParts struct{ status, head, first, rest, end string }

func (p responseParts) text() string { return p.status + p.head + p.first + p.rest + p.end }

func encodeChunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// response returns a server's complete response to a request, with the given request ID.
func (s *scriptedServers) response(c *scriptedConn, id string, request *http.Request, chunked bool) responseParts {
	p := responseParts{status: "HTTP/1.1 200 OK\r\nX-Be"}
	framing := "Transfer-Encoding: chunked\r\nContent-Type: text/plain"
	text := c.server + " ran " + id
	if strings.HasPrefix(request.URL.Path, "/"+kindStream+"/") || strings.HasPrefix(request.URL.Path, "/"+kindResumable+"/") {
		framing = "Transfer-Encoding: chunked\r\nContent-Type: " + eventStream
		from, _ := strconv.Atoi(request.Header.Get(headerNames.LastEventID))
		if from < lastEventID {
			p.first = encodeChunk(eventText(from + 1))
		}
		p.rest, p.end = encodeChunk(eventTexts(from+2, lastEventID)), "0\r\n\r\n"
	} else if chunked {
		p.first, p.rest, p.end = encodeChunk(text[:3]), encodeChunk(text[3:]), "0\r\n\r\n"
	} else {
		framing = fmt.Sprintf("Content-Length: %d\r\nContent-Type: text/plain", len(text))
		p.first, p.rest = text[:3], text[3:]
	}
	p.head = fmt.Sprintf("gun: 1\r\nX-Request-Id: %s\r\nX-Stamp: %s\r\n%s\r\n\r\n", id, c.server, framing)
	return p
}

// garbage is invalid HTTP at any point of a response.
const garbage = "zz\x00 spoilt\r\n\r\n"

// fail injects the fault. It returns false if the connection is closed.
func (s *scriptedServers) fail(c *scriptedConn, received *receivedRequest, request *http.Request) bool {
	if s.at != midRequest {
		s.execute(received, request)
	}
	ownResponse := s.response(c, received.id, request, s.at == inResponseBody)
	before, after := s.splitAtFault(ownResponse)
	c.send(before)
	switch s.mode {
	case surplusResponse, wrongID, corruptBytes:
		c.send(s.faultyBytes(c, request))
		if s.at == midRequest && s.mode != corruptBytes {
			s.execute(received, request)
		}
		s.discardBody(received, request)
		if s.mode == surplusResponse {
			c.send(after)
		}
		return true
	case noResponse:
		if s.at == midRequest {
			s.markDone(received)
			<-s.testDone
			return false
		}
		c.pending = after
		return true
	}
	return s.breakConnection(c, received, request)
}

// splitAtFault splits a response at the point of the fault.
func (s *scriptedServers) splitAtFault(ownResponse responseParts) (before, after string) {
	switch s.at {
	case midRequest, requestSent:
		return "", ownResponse.text()
	case inResponseHead:
		return ownResponse.status, ownResponse.head + ownResponse.first + ownResponse.rest + ownResponse.end
	case inResponseBody:
		return ownResponse.status + ownResponse.head + ownResponse.first, ownResponse.rest + ownResponse.end
	}
	return ownResponse.text(), ""
}

// faultyBytes returns the bytes to send at the point of the fault: a surplus response, a response with
// another request ID, or bytes that are not HTTP.
func (s *scriptedServers) faultyBytes(c *scriptedConn, request *http.Request) string {
	if s.mode == corruptBytes {
		return garbage
	}
	id := map[bool]string{true: foreignID, false: firstID}[s.mode == wrongID]
	other := s.response(c, id, request, false)
	ownResponse := s.response(c, testedID, request, s.at == inResponseBody)
	switch {
	case s.mode == wrongID && s.at == inResponseHead:
		// The head has two request IDs.
		return "gun: 1\r\nX-Request-Id: " + foreignID + "\r\nX-Be" + ownResponse.head + ownResponse.first + ownResponse.rest + ownResponse.end
	case s.mode == wrongID && s.at == inResponseBody:
		// The request ID in the trailer differs from the one in the head.
		return ownResponse.rest + "0\r\nX-Request-Id: " + foreignID + "\r\n\r\n"
	case s.mode == surplusResponse && s.at == afterResponse:
		return ownResponse.text()
	}
	return other.text()
}

// breakConnection closes or resets the connection. In the mode addressReused another server takes over
// the address. It returns false unless the client may still send on the connection.
func (s *scriptedServers) breakConnection(c *scriptedConn, received *receivedRequest, request *http.Request) bool {
	switch s.mode {
	case connectionClosed:
		c.CloseWrite()
		s.discardBody(received, request)
		return true
	case idleConnectionDropped:
		c.CloseWrite()
	case addressReused:
		s.replace(c.server)
	}
	c.abort()
	s.markDone(received)
	return false
}

// abort closes a connection with a TCP reset.
func (c *scriptedConn) abort() {
	c.SetLinger(0)
	c.Close()
}

// send writes text. A write error is ignored, because the client may have closed the connection.
func (c *scriptedConn) send(text string) {
	if text != "" {
		io.WriteString(c, text)
	}
}

// failIdleConnection injects the fault on the idle connection that the first request left, and waits
// until the client's end can detect it.
func (s *scriptedServers) failIdleConnection() {
	s.mu.Lock()
	c := s.idleConn
	s.mu.Unlock()
	request, err := http.NewRequest("POST", "/once/x", nil)
	if err != nil {
		s.t.Error(err)
		return
	}
	switch s.mode {
	case surplusResponse:
		c.send(s.response(c, firstID, request, false).text())
	case wrongID:
		c.send(s.response(c, foreignID, request, false).text())
	case corruptBytes:
		c.send(garbage)
	default:
		s.breakConnection(c, &receivedRequest{}, &http.Request{Body: http.NoBody})
	}
	s.waitFaultDetected()
}

// waitFaultDetected waits until the client's end of the first connection has something to read or is no
// longer open.
func (s *scriptedServers) waitFaultDetected() {
	s.mu.Lock()
	c := s.idleConn
	s.mu.Unlock()
	waitFor(s.t, "the client's end of the connection to detect the fault", func() bool {
		return !isSocketIdle(s.t, c.RemoteAddr(), c.LocalAddr())
	})
}

// isSocketIdle reports whether the kernel has an established socket between two addresses of this
// machine with nothing to read.
func isSocketIdle(t *testing.T, local, remote net.Addr) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Error(err)
		return false
	}
	const (
		established = "01"
		nothing     = "00000000"
	)
	ends := []byte(procNetAddress(local) + " " + procNetAddress(remote) + " ")
	for _, line := range bytes.Split(table, []byte("\n")) {
		if _, state, ok := bytes.Cut(line, ends); ok {
			fields := strings.Fields(string(state))
			return len(fields) > 1 && fields[0] == established && strings.HasSuffix(fields[1], ":"+nothing)
		}
	}
	return false
}

// procNetAddress formats an address as in /proc/net/tcp.
func procNetAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// blackHole returns an address that neither accepts nor refuses connections, because the backlog of its
// listener is full.
func blackHole(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
}
