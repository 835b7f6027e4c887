// Package upstream is an HTTP/1.1 client for opaque requests: a bounded
// connection pool for each server (DESIGN §12.3).
//
// The Transport of net/http isn't used, for three reasons. The bound on a
// server's connections is shared by all daemons, so a request that finds no
// free one is turned away at once instead of waiting or dialling past it. Each
// answer's request id has to be checked before its connection is used again.
// And certainty whether anything was written decides if a request may go
// elsewhere, while Transport retries by its own rules and doesn't tell. The
// parsing of answers is net/http's own.
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tuliprudder/kernel/errs"
)

// Words are the names of the headers that carry meaning here; one left empty is
// neither sent nor looked for, but without RequestID no answer is accepted.
type Words struct{ RequestID, Instance, NotRun, LastEvent, Deadline string }

// Settings of the pools; what is zero has its default.
type Settings struct {
	DialWait    time.Duration   // longest wait for a connection; 1 s
	IdleFor     time.Duration   // how long one is kept where the server names no time; 10 s
	Margin      time.Duration   // taken off the time a server names; 500 ms
	MostOpen    int             // connections to each server, idle ones counted; 64
	UserTimeout time.Duration   // longest that written bytes stay unacknowledged (Linux); 2 s
	Clock       clockwork.Clock // the real one
}

// Request is passed on unchanged but for the headers of Words.
type Request struct {
	Address  string // IP and port
	Instance string
	Method   string
	Target   string // origin form, written as given
	Host     string
	ID       string      // the answer has to carry it
	Header   http.Header // end to end; the caller left hop-by-hop ones out
	Body     []byte
	// Deadline is when the request ends, body included; its header says how many
	// whole milliseconds are left when it is written. Zero: none.
	Deadline  time.Time
	LastEvent string
	// Probe marks a question to the server itself, such as its health page: it
	// goes over a new connection that isn't kept, so its answer needs no id, but
	// one that is there has to match.
	Probe bool
}

// Certainty is what is known about a request that brought no answer.
type Certainty int

// The certainties: of NotWritten nothing reached a connection that could deliver
// it, NotRun is the server's word, and of Unknown nothing is certain.
const (
	Unknown Certainty = iota
	NotWritten
	NotRun
)

var certaintyNames = map[Certainty]string{Unknown: "unknown", NotWritten: "not written", NotRun: "not run"}

// String names the certainty.
func (c Certainty) String() string { return certaintyNames[c] }

// Fault is why there is no answer, and what is certain nevertheless.
type Fault struct {
	Certainty Certainty
	Err       error
}

// Error names the certainty and the cause.
func (f *Fault) Error() string { return f.Certainty.String() + ": " + f.Err.Error() }

// Unwrap is the cause.
func (f *Fault) Unwrap() error { return f.Err }

// Faults are planted by tests, which show by them that they catch such a fault.
type Faults struct {
	UncheckedID      bool // any answer counts as the request's, whatever its id
	KeptAfterSilence bool // a connection on which no answer came in time is kept
	ResentAfterLoss  bool // a request that was written and brought no answer is written again
}

// Client has the connections to all servers.
type Client struct {
	Dialled, Reused, Mismatched, Dirty atomic.Int64
	// Faults has to be set before the first request.
	Faults Faults

	words   Words
	set     Settings
	clock   clockwork.Clock
	dialer  net.Dialer
	mu      sync.Mutex
	servers map[string]*server
}

// server is the pool of one server.
type server struct {
	address string
	open    int // dialled or being dialled, idle or in use
	most    int
	bounded bool          // most was set for this server
	era     int           // grows when the server is forgotten
	idle    []*connection // the last one was used last
}

// place is room for one connection in the pool of a server.
type place struct {
	server *server
	era    int // the server's when the room was taken
}

// New makes a client without connections.
func New(words Words, set Settings) *Client {
	standard := func(span *time.Duration, value time.Duration) {
		if *span == 0 {
			*span = value
		}
	}
	standard(&set.DialWait, time.Second)
	standard(&set.IdleFor, 10*time.Second)
	standard(&set.Margin, 500*time.Millisecond)
	standard(&set.UserTimeout, 2*time.Second)
	if set.MostOpen == 0 {
		set.MostOpen = 64
	}
	if set.Clock == nil {
		set.Clock = clockwork.NewRealClock()
	}
	return &Client{words: words, set: set, clock: set.Clock, servers: map[string]*server{},
		dialer: net.Dialer{Timeout: set.DialWait, KeepAlive: -1, Control: userTimeout(set.UserTimeout)}}
}

// Do sends a request and gives its answer when the head has come; the caller
// closes the answer. An error is a *Fault. Only a request of which nothing was
// written over a kept connection is tried again, over another one.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	if err := c.check(r); err != nil {
		return nil, &Fault{NotWritten, err}
	}
	cancel := func() {}
	if !r.Deadline.IsZero() {
		ctx, cancel = context.WithTimeout(ctx, r.Deadline.Sub(c.clock.Now()))
	}
	for {
		answer, again, fault := c.attempt(ctx, r)
		if again {
			continue
		}
		if fault != nil {
			if err := ctx.Err(); err != nil {
				fault.Err = errors.WithStack(err)
			}
			cancel()
			return nil, fault
		}
		answer.cancel = cancel
		return answer, nil
	}
}

// attempt tries one connection.
func (c *Client) attempt(ctx context.Context, r Request) (*Answer, bool, *Fault) {
	if ctx.Err() != nil {
		return nil, false, &Fault{NotWritten, ctx.Err()}
	}
	k, reused, err := c.take(ctx, r.Address, r.Probe)
	if err != nil {
		return nil, false, &Fault{NotWritten, err}
	}
	stop := context.AfterFunc(ctx, func() { c.interrupt(k) })
	fail := func(certainty Certainty, err error) (*Answer, bool, *Fault) {
		stop()
		c.abandon(ctx, k, certainty)
		return nil, false, &Fault{certainty, err}
	}
	left := int64(0)
	if !r.Deadline.IsZero() {
		if left = r.Deadline.Sub(c.clock.Now()).Milliseconds(); left < 1 {
			return fail(NotWritten, context.DeadlineExceeded)
		}
	}
	if n, err := k.write(c.appendHead(k.head[:0], r, left), r.Body); err != nil {
		if n > 0 {
			return fail(Unknown, errors.Wrap(err, "the request was written in part"))
		}
		_, _, fault := fail(NotWritten, errors.Wrap(err, "nothing of the request was written"))
		return nil, reused && ctx.Err() == nil, fault
	}
	response, err := k.readHead(r.Method)
	if err != nil {
		_, _, fault := fail(Unknown, errors.Wrap(err, "the server gave no whole answer"))
		return nil, c.Faults.ResentAfterLoss && ctx.Err() == nil, fault
	}
	if ids := response.Header.Values(c.words.RequestID); !c.belongs(ids, r) {
		c.Mismatched.Add(1)
		return fail(Unknown, errors.Errorf("the answer carries the request ids %q, not %q", ids, r.ID))
	}
	return c.answer(ctx, k, stop, r, response), false, nil
}

// belongs tells whether an answer with these request ids is the request's.
func (c *Client) belongs(ids []string, r Request) bool {
	if c.Faults.UncheckedID || r.Probe && len(ids) == 0 {
		return true
	}
	return len(ids) == 1 && ids[0] == r.ID
}

// interrupt ends what waits on a connection whose request is over.
func (c *Client) interrupt(k *connection) {
	if c.Faults.KeptAfterSilence {
		k.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	k.conn.Close()
}

// abandon closes a connection that brought no answer: what comes on it still could
// be taken for the answer of a later request.
func (c *Client) abandon(ctx context.Context, k *connection, certainty Certainty) {
	if c.Faults.KeptAfterSilence && ctx.Err() != nil && certainty == Unknown {
		k.conn.SetReadDeadline(time.Time{})
		c.keep(k, c.clock.Now().Add(c.set.IdleFor))
		return
	}
	c.drop(k)
}

// take finds a clean idle connection, or dials one within the bound.
func (c *Client) take(ctx context.Context, address string, fresh bool) (*connection, bool, error) {
	for {
		k, room, err := c.claim(address, fresh)
		if err != nil {
			return nil, false, err
		}
		if k == nil {
			k, err = c.dial(ctx, room)
			return k, false, err
		}
		if !fresh && c.clock.Now().Before(k.expiry) {
			if k.clean() {
				c.Reused.Add(1)
				return k, true, nil
			}
			c.Dirty.Add(1)
		}
		c.drop(k)
	}
}

// claim takes the idle connection used last, or else room for a new one. A fresh
// connection is wanted for a probe: an idle one is claimed only to make room.
func (c *Client) claim(address string, fresh bool) (*connection, place, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(address)
	last := len(s.idle) - 1
	if last >= 0 && (!fresh || s.open >= s.most) {
		k := s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		return k, place{}, nil
	}
	if s.open >= s.most {
		err := errs.New(errs.Busy, "try another server, or come back later", "all %d connections to the server %s are in use", s.most, address)
		c.tidy(s)
		return nil, place{}, err
	}
	s.open++
	return nil, place{s, s.era}, nil
}

func (c *Client) dial(ctx context.Context, room place) (*connection, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", room.server.address)
	if err != nil {
		c.released(room.server)
		return nil, errors.Wrap(err, "dialling the server")
	}
	c.Dialled.Add(1)
	return newConnection(conn.(*net.TCPConn), room), nil
}

// keep puts a connection back for the next request, unless its server is gone
// or has too many.
func (c *Client) keep(k *connection, expiry time.Time) {
	c.mu.Lock()
	s := k.server
	kept := k.era == s.era && s.open <= s.most && c.clock.Now().Before(expiry)
	if kept {
		k.expiry = expiry
		s.idle = append(s.idle, k)
	}
	c.mu.Unlock()
	if !kept {
		c.drop(k)
	}
}

// drop closes a connection; only then is there room for another.
func (c *Client) drop(k *connection) {
	k.conn.Close()
	c.released(k.server)
}

func (c *Client) released(s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.open--
	c.tidy(s)
}

// server finds or makes a server's pool; the lock is held.
func (c *Client) server(address string) *server {
	s := c.servers[address]
	if s == nil {
		s = &server{address: address, most: c.set.MostOpen}
		c.servers[address] = s
	}
	return s
}

// tidy forgets a pool that has nothing to remember; the lock is held.
func (c *Client) tidy(s *server) {
	if s.open == 0 && !s.bounded {
		delete(c.servers, s.address)
	}
}

// SetMost bounds the connections to one server; with 0 there are none. Idle
// ones beyond the bound are closed now, those in use after their answers.
func (c *Client) SetMost(address string, most int) {
	c.mu.Lock()
	s := c.server(address)
	s.most, s.bounded = most, true
	surplus := min(max(s.open-most, 0), len(s.idle))
	closing := append([]*connection(nil), s.idle[:surplus]...)
	s.idle = append([]*connection(nil), s.idle[surplus:]...)
	c.mu.Unlock()
	c.dropAll(closing)
}

// Forget closes the idle connections to a server that is gone, and unsets its
// bound; connections in use are closed after their answers.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	s := c.servers[address]
	if s == nil {
		c.mu.Unlock()
		return
	}
	closing := s.idle
	s.idle, s.most, s.bounded = nil, c.set.MostOpen, false
	s.era++
	c.tidy(s)
	c.mu.Unlock()
	c.dropAll(closing)
}

// Sweep closes idle connections past their time; the owner calls it now and then.
func (c *Client) Sweep() {
	now := c.clock.Now()
	var closing []*connection
	c.mu.Lock()
	for _, s := range c.servers {
		var kept []*connection
		for _, k := range s.idle {
			if now.Before(k.expiry) {
				kept = append(kept, k)
			} else {
				closing = append(closing, k)
			}
		}
		s.idle = kept
	}
	c.mu.Unlock()
	c.dropAll(closing)
}

func (c *Client) dropAll(closing []*connection) {
	for _, k := range closing {
		c.drop(k)
	}
}

// check refuses what can't be written as one whole request.
func (c *Client) check(r Request) error {
	refuse := func(format string, args ...any) error {
		return errs.New(errs.BadInput, "send a request that HTTP/1.1 can carry", format, args...)
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return refuse("the server's address %q is no IP and port", r.Address)
	}
	if !token(r.Method) || !visible(r.Target) || !visible(r.Host) {
		return refuse("the method %q, target %q or host %q is malformed", r.Method, r.Target, r.Host)
	}
	if r.ID == "" && !r.Probe {
		return refuse("the request has no id")
	}
	for _, value := range []string{r.ID, r.Instance, r.LastEvent} {
		if !fieldValue(value) {
			return refuse("the header value %q has control characters", value)
		}
	}
	for name, values := range r.Header {
		if !token(name) {
			return refuse("the header name %q is malformed", name)
		}
		for _, value := range values {
			if !fieldValue(value) {
				return refuse("the value of header %s has control characters", name)
			}
		}
	}
	return nil
}

// CertaintyOf is what an error of Do makes certain.
func CertaintyOf(err error) Certainty {
	var fault *Fault
	if errors.As(err, &fault) {
		return fault.Certainty
	}
	return Unknown
}
