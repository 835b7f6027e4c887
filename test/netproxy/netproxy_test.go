package netproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// Loopback addresses of a caller and a daemon.
const (
	callerIP = "127.9.0.1"
	daemonIP = "127.9.0.2"
)

// startEchoServer starts an echo server behind a relay and returns the address of the relay.
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

// receive reads length bytes, or fails after the timeout.
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
				t.Fatalf("over an open link: received %q, %v", got, err)
			}
			n.SetBlocked(link.from, link.to, true)
			send(t, conn, "two")
			if got, err := receive(conn, 3, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("over a blocked link: received %q, %v; expected a time-out", got, err)
			}
			n.SetBlocked(link.from, link.to, false)
			if got, err := receive(conn, 3, time.Minute); err != nil || got != "two" {
				t.Fatalf("over a healed link: received %q, %v", got, err)
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
		t.Errorf("after Close: received %q, %v; expected a closed connection", got, err)
	}
}
