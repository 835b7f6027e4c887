package upstream

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/internal/errs"
)

// serverPool is the connection pool of one server. It is guarded by Client.mu.
type serverPool struct {
	address     string
	open        int // connections that are idle, in use, or being dialled
	maxOpen     int
	hasOwnLimit bool          // maxOpen was set by SetMaxConnections
	generation  int           // incremented when the server is removed: earlier connections are not reused
	idle        []*connection // most recently used last
}

// poolSlot is the reservation of one connection in a pool.
type poolSlot struct {
	pool       *serverPool
	generation int // of the pool when the slot was taken
}

// acquire takes a reusable idle connection, or dials a new one within the pool's limit, and reports
// whether it is a reused one. If fresh is set, it always dials.
func (c *Client) acquire(ctx context.Context, address string, fresh bool) (pc *connection, reused bool, err error) {
	for {
		pc, slot, err := c.reserve(address, fresh)
		if err != nil {
			return nil, false, err
		}
		if pc == nil {
			pc, err = c.dial(ctx, slot)
			return pc, false, err
		}
		if !fresh && c.clock.Now().Before(pc.idleDeadline) {
			if pc.isReusable() {
				c.Reused.Add(1)
				return pc, true, nil
			}
			c.UnexpectedInput.Add(1)
		}
		c.closeConnection(pc)
	}
}

// reserve takes the most recently used idle connection, or else reserves a slot for a new one. If
// fresh is set, it takes an idle connection only if no slot is free; the caller closes that
// connection and tries again. The error is of kind errs.Busy if there is neither.
func (c *Client) reserve(address string, fresh bool) (*connection, poolSlot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.pool(address)
	isFull := s.open >= s.maxOpen
	if len(s.idle) > 0 && (!fresh || isFull) {
		return s.takeIdle(), poolSlot{}, nil
	}
	if isFull {
		err := errs.New(errs.Busy, "use another server, or retry later", "all %d connections to the server %s are in use", s.maxOpen, address)
		c.removeIfUnused(s)
		return nil, poolSlot{}, err
	}
	s.open++
	return nil, poolSlot{pool: s, generation: s.generation}, nil
}

// takeIdle removes and returns the most recently used idle connection. The caller holds Client.mu.
func (s *serverPool) takeIdle() *connection {
	last := len(s.idle) - 1
	pc := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	return pc
}

func (c *Client) dial(ctx context.Context, slot poolSlot) (*connection, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", slot.pool.address)
	if err != nil {
		c.releaseSlot(slot.pool)
		return nil, errors.Wrap(err, "cannot connect to the server")
	}
	c.Dialled.Add(1)
	return newConnection(conn.(*net.TCPConn), slot), nil
}

// putIdle returns a connection to its pool. It closes the connection instead if the server was
// removed, has more connections than its limit, or the idle deadline has passed.
func (c *Client) putIdle(pc *connection, idleDeadline time.Time) {
	c.mu.Lock()
	s := pc.pool
	kept := pc.generation == s.generation && s.open <= s.maxOpen && c.clock.Now().Before(idleDeadline)
	if kept {
		pc.idleDeadline = idleDeadline
		s.idle = append(s.idle, pc)
	}
	c.mu.Unlock()
	if !kept {
		c.closeConnection(pc)
	}
}

// closeConnection closes a connection and only then releases its slot.
func (c *Client) closeConnection(pc *connection) {
	pc.tcpConn.Close()
	c.releaseSlot(pc.pool)
}

func (c *Client) closeAll(closing []*connection) {
	for _, pc := range closing {
		c.closeConnection(pc)
	}
}

func (c *Client) releaseSlot(s *serverPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.open--
	c.removeIfUnused(s)
}

// pool returns a server's pool and creates it if necessary. The caller holds Client.mu.
func (c *Client) pool(address string) *serverPool {
	s := c.pools[address]
	if s == nil {
		s = &serverPool{address: address, maxOpen: c.settings.MaxConnections}
		c.pools[address] = s
	}
	return s
}

// removeIfUnused removes a pool that has neither connections nor a limit of its own. The caller
// holds Client.mu.
func (c *Client) removeIfUnused(s *serverPool) {
	if s.open == 0 && !s.hasOwnLimit {
		delete(c.pools, s.address)
	}
}

// SetMaxConnections limits the connections to one server; 0 allows none. Idle connections above the
// limit are closed immediately, connections in use after their responses.
func (c *Client) SetMaxConnections(address string, limit int) {
	c.mu.Lock()
	s := c.pool(address)
	s.maxOpen = limit
	s.hasOwnLimit = true
	surplus := min(max(s.open-limit, 0), len(s.idle))
	closing := append([]*connection(nil), s.idle[:surplus]...)
	s.idle = append([]*connection(nil), s.idle[surplus:]...)
	c.mu.Unlock()
	c.closeAll(closing)
}

// RemoveServer closes the idle connections to a server that was removed and resets its limit to the
// default. Connections in use are closed after their responses.
func (c *Client) RemoveServer(address string) {
	c.mu.Lock()
	s := c.pools[address]
	if s == nil {
		c.mu.Unlock()
		return
	}
	closing := s.idle
	s.idle = nil
	s.maxOpen = c.settings.MaxConnections
	s.hasOwnLimit = false
	s.generation++
	c.removeIfUnused(s)
	c.mu.Unlock()
	c.closeAll(closing)
}

// CloseExpired closes the idle connections past their keep-alive time. The owner of the client calls
// it regularly; between calls such connections stay open but are no longer used.
func (c *Client) CloseExpired() {
	now := c.clock.Now()
	var closing []*connection
	c.mu.Lock()
	for _, s := range c.pools {
		closing = append(closing, s.takeExpired(now)...)
	}
	c.mu.Unlock()
	c.closeAll(closing)
}

// takeExpired removes and returns the idle connections past their keep-alive time. The caller holds
// Client.mu.
func (s *serverPool) takeExpired(now time.Time) (expired []*connection) {
	var kept []*connection
	for _, pc := range s.idle {
		if now.Before(pc.idleDeadline) {
			kept = append(kept, pc)
		} else {
			expired = append(expired, pc)
		}
	}
	s.idle = kept
	return expired
}
