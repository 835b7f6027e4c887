// Package netproxy stands in for the network between daemons (DESIGN §9): each daemon is
// reached through a relay, which knows the sender by the address that its connection comes
// from. A blocked link delays what is sent until it is healed, and closes nothing. Methods may
// be called from several goroutines; Close ends all of the network's own.
package netproxy

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// link is one direction between two addresses.
type link struct{ from, to netip.Addr }

// Network is all links of a fleet.
type Network struct {
	mu        sync.Mutex // guards what follows
	changed   *sync.Cond // a link was blocked or healed, or the network closed
	blocked   map[link]bool
	listeners []net.Listener
	closed    bool
}

// New makes a network without blocked links.
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

// waitWhileBlocked waits while a link is blocked; false once the network is closed.
func (n *Network) waitWhileBlocked(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.blocked[l] && !n.closed {
		n.changed.Wait()
	}
	return !n.closed
}

// Relay listens at a daemon's address and forwards connections to where the daemon itself
// listens.
func (n *Network) Relay(listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listening for a relay")
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

// relayConnection forwards one connection, both ways, until one side closes it.
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

// bufferSize is how many bytes of a direction are in the relay at the most.
const bufferSize = 32 << 10

// forward forwards one direction of a connection, for as long as its link is open.
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

// Close ends all relays; what waits at blocked links is dropped.
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
