package gate

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

// lastEvent is the id of the last event of each scripted stream.
const lastEvent = 3

// script has TCP servers that answer well, but for one fault: at one moment of the
// first exchange that carries the tested id, in one way.
type script struct {
	t   *testing.T
	at  moment
	how way

	over chan struct{} // closed at the end of the test

	mu        sync.Mutex
	failed    bool // the fault has happened
	arrivals  []*arrival
	idle      *scriptedConn   // the one that the first request came on
	strangers map[string]bool // servers in whose place there is another one now
}

// arrival is one request as a server got it.
type arrival struct {
	id   string
	conn *scriptedConn
	body int  // bytes of it that were read
	ran  bool // the server began to work on it
	done bool // the server reads no more of it
}

// scriptedConn is a server's side of one connection.
type scriptedConn struct {
	*net.TCPConn
	in      *bufio.Reader
	server  string
	pending string // of an answer, kept back until the client sends once more
}

func newScript(t *testing.T, at moment, how way) *script {
	s := &script{t: t, at: at, how: how, over: make(chan struct{}), strangers: map[string]bool{}}
	t.Cleanup(func() { close(s.over) })
	return s
}

// listen starts a server and gives its address. Its receive buffer is small, so that
// a client is still writing when a server fails partway through a large request.
func (s *script) listen(name string) string {
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
			c := &scriptedConn{TCPConn: conn.(*net.TCPConn), in: bufio.NewReader(conn), server: name}
			go s.serve(c)
		}
	}()
	return listener.Addr().String()
}

// serve answers the requests of one connection.
func (s *script) serve(c *scriptedConn) {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-s.over:
		case <-ended:
		}
		c.Close()
	}()
	for {
		request, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		one, fails := s.arrive(c, request)
		switch {
		case s.isStranger(c.server):
			s.skip(one, request)
			c.say(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", one.id))
		case fails:
			if !s.fail(c, one, request) {
				return
			}
		default:
			s.work(one, request)
			c.say(c.pending + s.answer(c, one.id, request, false).text())
			c.pending = ""
		}
	}
}

func (s *script) arrive(c *scriptedConn, request *http.Request) (*arrival, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := &arrival{id: request.Header.Get(words.RequestID), conn: c}
	s.arrivals = append(s.arrivals, one)
	if one.id == firstID {
		s.idle = c
	}
	fails := one.id == testedID && s.at != beforeFirstByte && !s.failed
	s.failed = s.failed || fails
	return one, fails
}

func (s *script) isStranger(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.strangers[server]
}

func (s *script) replace(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strangers[server] = true
}

// skip reads what is left of a request on which no work is done.
func (s *script) skip(one *arrival, request *http.Request) {
	io.Copy(io.Discard, request.Body)
	s.leave(one)
}

// leave reads no more of a request.
func (s *script) leave(one *arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one.done = true
}

// work begins work on a request, once all of it has come.
func (s *script) work(one *arrival, request *http.Request) {
	n, err := io.Copy(io.Discard, request.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	one.body, one.ran, one.done = int(n), err == nil, true
}

// seen counts the tested request's arrivals and runs, and tells whether the
// connection of the first request carried the last one as well, and whether a
// server worked on another body than the one that was sent.
func (s *script) seen(size int) (sent, ran int, reused, tampered bool) {
	waitFor(s.t, "the servers to be done with what they got", s.allDone)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.arrivals {
		if one.id == nextID {
			reused = reused || one.conn == s.idle
		}
		if one.id != testedID {
			continue
		}
		sent++
		if one.ran {
			ran++
			tampered = tampered || one.body != size
		}
	}
	return sent, ran, reused, tampered
}

func (s *script) allDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.arrivals, func(one *arrival) bool { return !one.done })
}

// parts are an answer's, to be cut between any two of them.
type parts struct{ status, head, first, rest, end string }

func (p parts) text() string { return p.status + p.head + p.first + p.rest + p.end }

func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// answer is a server's whole answer to a request, under an id.
func (s *script) answer(c *scriptedConn, id string, request *http.Request, chunked bool) parts {
	p := parts{status: "HTTP/1.1 200 OK\r\nX-Be"}
	framing := "Transfer-Encoding: chunked\r\nContent-Type: text/plain"
	text := c.server + " ran " + id
	if strings.HasPrefix(request.URL.Path, "/"+kindStream+"/") || strings.HasPrefix(request.URL.Path, "/"+kindResumable+"/") {
		framing = "Transfer-Encoding: chunked\r\nContent-Type: " + eventStream
		from, _ := strconv.Atoi(request.Header.Get(words.LastEvent))
		if from < lastEvent {
			p.first = chunk(event(from + 1))
		}
		p.rest, p.end = chunk(run(from+2, lastEvent)), "0\r\n\r\n"
	} else if chunked {
		p.first, p.rest, p.end = chunk(text[:3]), chunk(text[3:]), "0\r\n\r\n"
	} else {
		framing = fmt.Sprintf("Content-Length: %d\r\nContent-Type: text/plain", len(text))
		p.first, p.rest = text[:3], text[3:]
	}
	p.head = fmt.Sprintf("gun: 1\r\nX-Request-Id: %s\r\nX-Stamp: %s\r\n%s\r\n\r\n", id, c.server, framing)
	return p
}

// garbage is nothing of HTTP, wherever it comes.
const garbage = "zz\x00 spoilt\r\n\r\n"

// fail has the fault happen; false: the connection is no more.
func (s *script) fail(c *scriptedConn, one *arrival, request *http.Request) bool {
	if s.at != partway {
		s.work(one, request)
	}
	own := s.answer(c, one.id, request, s.at == inBody)
	before, after := s.split(own)
	c.say(before)
	switch s.how {
	case surplusAnswer, wrongID, spoiltBytes:
		c.say(s.intruder(c, request))
		if s.at == partway && s.how != spoiltBytes {
			s.work(one, request)
		}
		s.skip(one, request)
		if s.how == surplusAnswer {
			c.say(after)
		}
		return true
	case silence:
		if s.at == partway {
			s.leave(one)
			<-s.over
			return false
		}
		c.pending = after
		return true
	}
	return s.end(c, one, request)
}

// split parts an answer at the moment of the fault.
func (s *script) split(own parts) (before, after string) {
	switch s.at {
	case partway, allSent:
		return "", own.text()
	case inHead:
		return own.status, own.head + own.first + own.rest + own.end
	case inBody:
		return own.status + own.head + own.first, own.rest + own.end
	}
	return own.text(), ""
}

// intruder is what comes in the place where the fault is: another answer, one with
// another id, or bytes that are none.
func (s *script) intruder(c *scriptedConn, request *http.Request) string {
	if s.how == spoiltBytes {
		return garbage
	}
	id := map[bool]string{true: foreignID, false: firstID}[s.how == wrongID]
	other := s.answer(c, id, request, false)
	own := s.answer(c, testedID, request, s.at == inBody)
	switch {
	case s.how == wrongID && s.at == inHead:
		// The head has two ids.
		return "gun: 1\r\nX-Request-Id: " + foreignID + "\r\nX-Be" + own.head + own.first + own.rest + own.end
	case s.how == wrongID && s.at == inBody:
		// The trailer has another id than the head.
		return own.rest + "0\r\nX-Request-Id: " + foreignID + "\r\n\r\n"
	case s.how == surplusAnswer && s.at == afterEnd:
		return own.text()
	}
	return other.text()
}

// end ends the connection, and with it the server if another takes its address.
func (s *script) end(c *scriptedConn, one *arrival, request *http.Request) bool {
	switch s.how {
	case closed:
		c.CloseWrite()
		s.skip(one, request)
		return true
	case idleForgotten:
		c.CloseWrite()
	case addressReused:
		s.replace(c.server)
	}
	c.abort()
	s.leave(one)
	return false
}

// abort closes a connection with a reset.
func (c *scriptedConn) abort() {
	c.SetLinger(0)
	c.Close()
}

// say writes text; a client that is gone hears nothing.
func (c *scriptedConn) say(text string) {
	if text != "" {
		io.WriteString(c, text)
	}
}

// failIdle has the fault happen on the connection that the first request left idle.
func (s *script) failIdle() {
	s.mu.Lock()
	c := s.idle
	s.mu.Unlock()
	request, err := http.NewRequest("POST", "/once/x", nil)
	if err != nil {
		s.t.Error(err)
		return
	}
	switch s.how {
	case surplusAnswer:
		c.say(s.answer(c, firstID, request, false).text())
	case wrongID:
		c.say(s.answer(c, foreignID, request, false).text())
	case spoiltBytes:
		c.say(garbage)
	default:
		s.end(c, &arrival{}, &http.Request{Body: http.NoBody})
	}
	s.noticed()
}

// noticed waits until the client's end of the first connection has something to read
// or is gone.
func (s *script) noticed() {
	s.mu.Lock()
	c := s.idle
	s.mu.Unlock()
	waitFor(s.t, "the client's end to notice the fault", func() bool {
		return !quietSocket(s.t, c.RemoteAddr(), c.LocalAddr())
	})
}

// quietSocket tells whether the kernel has a socket between two addresses of this
// machine that is open with nothing to read.
func quietSocket(t *testing.T, local, remote net.Addr) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Error(err)
		return false
	}
	const (
		established = "01"
		nothing     = "00000000"
	)
	ends := []byte(socketName(local) + " " + socketName(remote) + " ")
	for _, line := range bytes.Split(table, []byte("\n")) {
		if _, state, ok := bytes.Cut(line, ends); ok {
			fields := strings.Fields(string(state))
			return len(fields) > 1 && fields[0] == established && strings.HasSuffix(fields[1], ":"+nothing)
		}
	}
	return false
}

// socketName is an address as the kernel's table writes it.
func socketName(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// blackHole is an address that neither takes nor turns away a connection: the queue
// of its listener is full.
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
