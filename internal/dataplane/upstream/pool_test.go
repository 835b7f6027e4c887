package upstream

import (
	"bytes"
	"net"
	"strconv"
	"testing"

	"tuliprudder/internal/errs"
)

func TestConnectionIsReused(t *testing.T) {
	address := startServer(t, echo)
	c := New(testHeaderNames, Settings{})
	for i := range 5 {
		id := strconv.Itoa(i)
		if got := readBody(t, do(t, c, newPost(address, id))); got != "hello "+id {
			t.Fatalf("body %q", got)
		}
	}
	large := newPost(address, "large")
	large.Body = bytes.Repeat([]byte("0123456789"), 1<<18)
	if got := readBody(t, do(t, c, large)); got != string(large.Body) {
		t.Fatalf("echoed body of %d bytes differs from the request body", len(got))
	}
	checkCounters(t, c, 1, 5, 0, 0)
}

func TestIdleConnectionClosedByServerIsReplaced(t *testing.T) {
	address := startServer(t, respondAndClose(responseText("a", "", "x")), echo)
	c := New(testHeaderNames, Settings{})
	readBody(t, do(t, c, newPost(address, "a")))
	waitReadable(t, c, address)
	readBody(t, do(t, c, newPost(address, "b")))
	checkCounters(t, c, 2, 0, 0, 1)
}

func TestIdleConnectionThatCannotBeWrittenIsReplaced(t *testing.T) {
	address := startServer(t, respondOnce(responseText("a", "", "x")), echo)
	c := New(testHeaderNames, Settings{})
	readBody(t, do(t, c, newPost(address, "a")))
	if err := c.pools[address].idle[0].tcpConn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// Writing to the connection now fails before the first byte. The client has to take another
	// connection then, as it does if it notices before the write that the server closed its side.
	readBody(t, do(t, c, newPost(address, "b")))
	if c.Dialled.Load() != 2 {
		t.Fatal("the client opened no new connection")
	}
}

func TestSurplusBytesAfterResponseCloseConnection(t *testing.T) {
	address := startServer(t, respondOnce(responseText("a", "", "x")+responseText("z", "", "y")), echo)
	c := New(testHeaderNames, Settings{})
	if got := readBody(t, do(t, c, newPost(address, "a"))); got != "x" {
		t.Fatalf("body %q", got)
	}
	checkCounters(t, c, 1, 0, 0, 1)
	readBody(t, do(t, c, newPost(address, "b")))
	checkCounters(t, c, 2, 0, 0, 1)
}

func TestLateSurplusResponseIsNotAccepted(t *testing.T) {
	late := make(chan struct{})
	address := startServer(t, func(p *peer) {
		p.readRequest()
		p.send(responseText("a", "", "x"))
		<-late
		p.send(responseText("z", "", "not b's"))
		p.readRequest()
	}, echo)
	c := New(testHeaderNames, Settings{})
	readBody(t, do(t, c, newPost(address, "a")))
	close(late)
	waitReadable(t, c, address)
	if got := readBody(t, do(t, c, newPost(address, "b"))); got != "hello b" {
		t.Fatalf("body %q", got)
	}
	checkCounters(t, c, 2, 0, 0, 1)
}

func TestMaxConnections(t *testing.T) {
	address := startServer(t, echo, echo, echo)
	c := New(testHeaderNames, Settings{MaxConnections: 2})
	first, second := do(t, c, newPost(address, "a")), do(t, c, newPost(address, "b"))
	_, err := c.Do(t.Context(), newPost(address, "c"))
	if !errs.Is(requireError(t, err, NotWritten), errs.Busy) {
		t.Fatal(err)
	}
	c.SetMaxConnections(address, 3)
	third := do(t, c, newPost(address, "c"))
	c.SetMaxConnections(address, 1)
	readBody(t, first)
	readBody(t, second)
	if s := c.pools[address]; s.open != 1 || len(s.idle) != 0 {
		t.Fatalf("%d open, %d idle", s.open, len(s.idle))
	}
	readBody(t, third)
	readBody(t, do(t, c, newPost(address, "d")))
	checkCounters(t, c, 3, 1, 0, 0)
	c.SetMaxConnections(address, 0)
	_, err = c.Do(t.Context(), newPost(address, "e"))
	requireError(t, err, NotWritten)
}

func TestRemovedServerConnectionsAreClosed(t *testing.T) {
	address := startServer(t, echo, echo)
	c := New(testHeaderNames, Settings{})
	inUse := do(t, c, newPost(address, "a"))
	readBody(t, do(t, c, newPost(address, "b")))
	c.RemoveServer(address)
	if s := c.pools[address]; s.open != 1 || len(s.idle) != 0 {
		t.Fatalf("%d open, %d idle", s.open, len(s.idle))
	}
	readBody(t, inUse)
	if len(c.pools) != 0 {
		t.Fatal("the removed server still has a pool")
	}
}

func TestFailedDialReleasesSlot(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	c := New(testHeaderNames, Settings{})
	_, err = c.Do(t.Context(), newPost(address, "a"))
	requireError(t, err, NotWritten)
	if len(c.pools) != 0 {
		t.Fatal("a failed dial still counts in the pool")
	}
}
