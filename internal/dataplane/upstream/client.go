// Package upstream is an HTTP/1.1 client for opaque requests, with a bounded connection pool for
// each server (DESIGN §12.3; docs/ANSWERS.md has what follows each failure).
//
// Client.Do takes a Request and returns a Response whose head has come, or an Error that says
// whether anything of the request was written. It may be called by any number of goroutines.
//
// The Transport of net/http isn't used, for three reasons. The bound on a server's connections is
// shared by all daemons, so a request that finds no free one is rejected at once instead of
// waiting or dialling past the bound. The request ID of each response has to be checked before its
// connection is used again. And whether anything was written decides if a request may be sent
// elsewhere, while Transport retries by its own rules and doesn't tell. Responses are parsed by
// net/http.
//
// Two invariants hold:
//   - A request is written again only if no byte of it was written before.
//   - A connection carries another request only after a complete response with the right request
//     ID, if nothing follows it.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// HeaderNames are the names of the headers that this package reads and writes. One left empty is
// neither sent nor looked for; but without RequestID no response is accepted.
type HeaderNames struct {
	RequestID   string // of the request; the response has to carry it
	Instance    string // name of the server that the request is meant for
	NotRun      string // in a response: the server did not run the request
	LastEventID string // after which an event stream is to be resumed
	Deadline    string // whole milliseconds left when the request is written
	Load        string // in a response: the server's load (endpoints.ParseReportedLoad)
	// WantedWeights is, in a request, the version of the weights that it has to be run with: a server of
	// another version answers 421.
	WantedWeights string
	// WeightVersion is, in a response, the version of the server's weights, a whole number; in lower case
	// it is the name of the field of an event at which the version changes.
	WeightVersion string
	// Authorization is, in a caller's request, the header that carries its API key. It is never sent where
	// callers are known by their keys (Request.IsAuthenticated).
	Authorization string
	// Tenant is, in a request, the name of the tenant that it belongs to.
	Tenant string
}

// Settings of the pools; what is zero has its default.
type Settings struct {
	DialTimeout       time.Duration   // longest wait for a connection; default 1 s
	IdleTimeout       time.Duration   // how long an idle connection is kept if the server names no time; default 10 s
	KeepAliveMargin   time.Duration   // subtracted from the time that a server names; default 500 ms
	MaxConnections    int             // connections to each server, idle ones counted; default 64
	TCPUserTimeout    time.Duration   // longest that written bytes stay unacknowledged (Linux); default 2 s
	KeepAliveInterval time.Duration   // silence after which the kernel probes a server; 0: no probes
	Clock             clockwork.Clock // default: the real one
}

// withDefaults fills in what is zero.
func (s Settings) withDefaults() Settings {
	setDefault := func(timeout *time.Duration, value time.Duration) {
		if *timeout == 0 {
			*timeout = value
		}
	}
	setDefault(&s.DialTimeout, time.Second)
	setDefault(&s.IdleTimeout, 10*time.Second)
	setDefault(&s.KeepAliveMargin, 500*time.Millisecond)
	setDefault(&s.TCPUserTimeout, 2*time.Second)
	if s.MaxConnections == 0 {
		s.MaxConnections = 64
	}
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	return s
}

// maxUnansweredKeepAlives is how many probes in a row a server may leave unanswered.
const maxUnansweredKeepAlives = 3

// keepAlive is how the kernel probes servers that send nothing: one whose machine is gone, or cut
// off, is found out though nothing is being written to it. One that is merely slow answers probes.
func (s Settings) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   s.KeepAliveInterval > 0,
		Idle:     s.KeepAliveInterval,
		Interval: s.KeepAliveInterval,
		Count:    maxUnansweredKeepAlives,
	}
}

// Request is sent unchanged but for the headers of HeaderNames.
type Request struct {
	Address  string // IP and port
	Instance string
	Method   string
	Target   string // in origin form (RFC 9112, 3.2.1), written as given
	Host     string
	ID       string      // the response has to carry it
	Header   http.Header // end-to-end headers only
	Body     []byte
	// Deadline is when the request ends, the response's body included; zero for none.
	Deadline    time.Time
	LastEventID string
	// IsAuthenticated: callers are known by their API keys. The headers HeaderNames.Authorization and
	// HeaderNames.Tenant that Header has are left out then, in whatever case they are spelled, and Tenant is sent instead.
	IsAuthenticated bool
	// Tenant is the name of the tenant that the request belongs to; "" for none.
	Tenant string
	// IsHealthCheck marks a request to the server itself, such as for its health page. It goes over a
	// new connection that isn't kept, so its response needs no ID; but one that is there has
	// to match.
	IsHealthCheck bool
}

// InjectedFaults are set by tests only, to show that their checks find such faults.
type InjectedFaults struct {
	SkipIDCheck      bool // any response counts as the request's, whatever its ID
	KeepAfterTimeout bool // a connection on which no response came in time is kept
	ResendAfterLoss  bool // a request that was written and brought no response is written again
}

// Client holds the connections to all servers.
type Client struct {
	// Counters for the operators, since the start.
	Dialled         atomic.Int64 // connections
	Reused          atomic.Int64 // idle connections that carried another request
	Mismatched      atomic.Int64 // responses with another request ID than their request's
	UnexpectedInput atomic.Int64 // connections closed because something was left to read on them

	// InjectedFaults has to be set before the first request.
	InjectedFaults InjectedFaults

	headerNames HeaderNames
	settings    Settings
	clock       clockwork.Clock
	dialer      net.Dialer

	mu    sync.Mutex             // guards pools, and all fields of each pool
	pools map[string]*serverPool // by the server's address
}

// New makes a client without connections.
func New(headerNames HeaderNames, settings Settings) *Client {
	settings = settings.withDefaults()
	return &Client{
		headerNames: headerNames,
		settings:    settings,
		clock:       settings.Clock,
		dialer: net.Dialer{
			Timeout:         settings.DialTimeout,
			KeepAlive:       -1, // none by default: an idle connection is checked before it is used (isReusable)
			KeepAliveConfig: settings.keepAlive(),
			Control:         setUserTimeout(settings.TCPUserTimeout),
		},
		pools: map[string]*serverPool{},
	}
}

// Do sends a request and returns its response once the head has come; the caller closes the
// response. An error is an *Error. Only a request of which nothing was written over an idle
// connection is sent again, over another one.
func (c *Client) Do(ctx context.Context, req Request) (*Response, error) {
	if err := req.validate(); err != nil {
		return nil, &Error{Delivery: NotWritten, Err: err}
	}
	cancel := func() {}
	if !req.Deadline.IsZero() {
		ctx, cancel = context.WithTimeout(ctx, req.Deadline.Sub(c.clock.Now()))
	}
	for {
		response, failure := c.attempt(ctx, req)
		if failure == nil {
			response.cancel = cancel
			return response, nil
		}
		if failure.resendable {
			continue
		}
		if err := ctx.Err(); err != nil {
			failure.Err = errors.WithStack(err) // it made the connection fail
		}
		cancel()
		return nil, &failure.Error
	}
}

// attemptError is why one connection brought no response.
type attemptError struct {
	Error
	connectionFailed bool // rather than the request or the response being wrong
	resendable       bool // over another connection
}

// attempt sends the request over one connection.
func (c *Client) attempt(ctx context.Context, req Request) (*Response, *attemptError) {
	if ctx.Err() != nil {
		return nil, &attemptError{Error: Error{NotWritten, ctx.Err()}}
	}
	pc, reused, err := c.acquire(ctx, req.Address, req.IsHealthCheck)
	if err != nil {
		return nil, &attemptError{Error: Error{NotWritten, err}}
	}
	stopInterrupt := context.AfterFunc(ctx, func() { c.interrupt(pc) })
	response, failure := c.exchange(pc, req)
	if failure != nil {
		stopInterrupt()
		c.discard(ctx, pc, failure.Delivery)
		unwritten := failure.Delivery == NotWritten && reused
		resentByFault := failure.Delivery == Unknown && c.InjectedFaults.ResendAfterLoss
		failure.resendable = failure.connectionFailed && (unwritten || resentByFault) && ctx.Err() == nil
		return nil, failure
	}
	return c.newResponse(ctx, pc, stopInterrupt, req, response), nil
}

// exchange writes the request and reads the head of its response.
func (c *Client) exchange(pc *connection, req Request) (*http.Response, *attemptError) {
	if failure := c.writeRequest(pc, req); failure != nil {
		return nil, failure
	}
	response, err := pc.readHead(req.Method)
	if err != nil {
		return nil, &attemptError{
			Error:            Error{Unknown, errors.Wrap(err, "the server gave no complete response")},
			connectionFailed: true,
		}
	}
	if ids := response.Header.Values(c.headerNames.RequestID); !c.matchesRequest(ids, req) {
		c.Mismatched.Add(1)
		return nil, &attemptError{Error: Error{Unknown, errors.Errorf("the response carries the request IDs %q, not %q", ids, req.ID)}}
	}
	return response, nil
}

func (c *Client) writeRequest(pc *connection, req Request) *attemptError {
	remainingMS := int64(0)
	if !req.Deadline.IsZero() {
		remainingMS = req.Deadline.Sub(c.clock.Now()).Milliseconds()
		if remainingMS < 1 {
			return &attemptError{Error: Error{NotWritten, context.DeadlineExceeded}}
		}
	}
	n, err := pc.write(c.appendHead(pc.headBuffer[:0], req, remainingMS), req.Body)
	switch {
	case err == nil:
		return nil
	case n > 0:
		return &attemptError{Error: Error{Unknown, errors.Wrap(err, "the request was written in part")}}
	}
	return &attemptError{
		Error:            Error{NotWritten, errors.Wrap(err, "nothing of the request was written")},
		connectionFailed: true,
	}
}

// matchesRequest tells whether a response with these request IDs is the request's.
func (c *Client) matchesRequest(ids []string, req Request) bool {
	if c.InjectedFaults.SkipIDCheck || req.IsHealthCheck && len(ids) == 0 {
		return true
	}
	return len(ids) == 1 && ids[0] == req.ID
}

// interrupt ends what waits on a connection whose request has ended.
func (c *Client) interrupt(pc *connection) {
	if c.InjectedFaults.KeepAfterTimeout {
		pc.tcpConn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	pc.tcpConn.Close()
}

// discard closes a connection that brought no response: what still comes on it could be taken for
// the response to a later request.
func (c *Client) discard(ctx context.Context, pc *connection, delivery Delivery) {
	if c.InjectedFaults.KeepAfterTimeout && ctx.Err() != nil && delivery == Unknown {
		pc.tcpConn.SetReadDeadline(time.Time{})
		c.putIdle(pc, c.clock.Now().Add(c.settings.IdleTimeout))
		return
	}
	c.closeConnection(pc)
}
