package netproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// loopback are two addresses of the loopback network: a caller's and a daemon's.
const (
	callerIP = "127.9.0.1"
	daemonIP = "127.9.0.2"
)

// startEchoServer starts a server that sends back what it receives, behind a relay.
func startEchoServer(t *testing.T, n *Network) (address string) {
	t.Helper()
	server, err := net.Listen("tcp", daemonIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	free, err := net.Listen("tcp", daemonIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	address = free.Addr().String()
	free.Close()
	if err := n.Relay(address, server.Addr().String()); err != nil {
		t.Fatal(err)
	}
	return address
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(callerIP)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// receive reads a text of some length, for a time at the most.
func receive(conn net.Conn, length int, timeout time.Duration) (string, error) {
	buffer := make([]byte, length)
	conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(conn, buffer)
	return string(buffer), err
}

func TestBlockedLinkDelaysDataUntilHealed(t *testing.T) {
	for name, link := range map[string]struct{ from, to string }{
		"to the daemon":   {callerIP, daemonIP},
		"from the daemon": {daemonIP, callerIP},
	} {
		t.Run(name, func(t *testing.T) {
			n := New()
			t.Cleanup(n.Close)
			conn := dial(t, startEchoServer(t, n))
			send(t, conn, "one")
			if got, err := receive(conn, 3, time.Minute); err != nil || got != "one" {
				t.Fatalf("an open link brings %q, %v", got, err)
			}
			n.SetBlocked(link.from, link.to, true)
			send(t, conn, "two")
			if got, err := receive(conn, 3, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("a blocked link brings %q, %v", got, err)
			}
			n.SetBlocked(link.from, link.to, false)
			if got, err := receive(conn, 3, time.Minute); err != nil || got != "two" {
				t.Fatalf("a healed link brings %q, %v", got, err)
			}
		})
	}
}

func TestCloseEndsConnectionsOnBlockedLinks(t *testing.T) {
	n := New()
	conn := dial(t, startEchoServer(t, n))
	n.SetBlocked(callerIP, daemonIP, true)
	send(t, conn, "one")
	n.Close()
	if got, err := receive(conn, 3, time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a closed network brings %q, %v", got, err)
	}
}
