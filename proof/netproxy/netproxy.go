// Package netproxy stands in for the network between daemons (DESIGN §9): each
// daemon is reached through one, and it sees who speaks by the address the
// connection comes from. A cut link swallows what is sent; nothing is closed.
package netproxy

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// Net is all links of a fleet.
type Net struct {
	mu    sync.Mutex
	wake  *sync.Cond
	cut   map[[2]netip.Addr]bool
	ends  []func()
	ended bool
}

// New makes a net without cuts.
func New() *Net {
	n := &Net{cut: map[[2]netip.Addr]bool{}}
	n.wake = sync.NewCond(&n.mu)
	return n
}

// Cut cuts or heals the link from one address to another, in that direction.
func (n *Net) Cut(from, to string, cut bool) {
	n.mu.Lock()
	n.cut[[2]netip.Addr{netip.MustParseAddr(from), netip.MustParseAddr(to)}] = cut
	n.wake.Broadcast()
	n.mu.Unlock()
}

// pass waits while a link is cut; false once the net has ended.
func (n *Net) pass(link [2]netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cut[link] && !n.ended {
		n.wake.Wait()
	}
	return !n.ended
}

// Relay listens for a daemon and passes on to where it really listens.
func (n *Net) Relay(listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listening for a relay")
	}
	n.mu.Lock()
	n.ends = append(n.ends, func() { listener.Close() })
	n.mu.Unlock()
	to := netip.MustParseAddrPort(listen).Addr()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.splice(conn, to, target)
		}
	}()
	return nil
}

func (n *Net) splice(in net.Conn, to netip.Addr, target string) {
	defer in.Close()
	from := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if !n.pass([2]netip.Addr{from, to}) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn, link [2]netip.Addr) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			count, err := src.Read(buffer)
			if count > 0 {
				if !n.pass(link) {
					return
				}
				if _, err := dst.Write(buffer[:count]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(out, in, [2]netip.Addr{from, to})
	go pump(in, out, [2]netip.Addr{to, from})
	<-done
}

// Close closes all.
func (n *Net) Close() {
	n.mu.Lock()
	n.ended = true
	ends := n.ends
	n.ends = nil
	n.wake.Broadcast()
	n.mu.Unlock()
	for _, end := range ends {
		end()
	}
}
