// Package netproxy simulates the network between daemons with TCP relays (DESIGN §9). Other
// daemons connect to each daemon through a relay, which identifies the sender by the source
// address of the connection. A blocked link delays data until the link is healed, and closes no
// connections. The methods are safe for concurrent use. Close ends all relays.
package netproxy

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// link is one direction of the traffic between two IP addresses.
type link struct{ from, to netip.Addr }

// Network holds the relays and the blocked links of a fleet.
type Network struct {
	mu        sync.Mutex // guards the fields below
	changed   *sync.Cond // signals that a link was blocked or healed, or that the network was closed
	blocked   map[link]bool
	listeners []net.Listener
	closed    bool
}

// New creates a network without blocked links.
func New() *Network {
	n := &Network{blocked: map[link]bool{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetBlocked blocks or heals the link from one IP address to another, in that direction.
func (n *Network) SetBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{netip.MustParseAddr(from), netip.MustParseAddr(to)}] = blocked
	n.changed.Broadcast()
}

// waitWhileBlocked waits while a link is blocked. It reports false if the network is closed.
func (n *Network) waitWhileBlocked(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.blocked[l] && !n.closed {
		n.changed.Wait()
	}
	return !n.closed
}

// Relay listens on the public address of a daemon and forwards connections to target, where the
// daemon itself listens.
func (n *Network) Relay(listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "opening the listener of a relay")
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, listener)
	n.mu.Unlock()
	to := netip.MustParseAddrPort(listen).Addr()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.relayConnection(conn, to, target)
		}
	}()
	return nil
}

// relayConnection forwards a connection in both directions until one side closes it.
func (n *Network) relayConnection(in net.Conn, to netip.Addr, target string) {
	defer in.Close()
	from := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if !n.waitWhileBlocked(link{from, to}) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	go func() { n.forward(out, in, link{from, to}); done <- struct{}{} }()
	go func() { n.forward(in, out, link{to, from}); done <- struct{}{} }()
	<-done // closing both connections ends the other direction
}

// bufferSize is the maximum number of bytes that the relay buffers per direction of a connection.
const bufferSize = 32 << 10

// forward copies one direction of a connection, and pauses while its link is blocked.
func (n *Network) forward(to, from net.Conn, l link) {
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !n.waitWhileBlocked(l) {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close closes all relays. Data that waits on blocked links is dropped.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, listener := range n.listeners {
		listener.Close()
	}
	n.listeners = nil
	n.changed.Broadcast()
}
