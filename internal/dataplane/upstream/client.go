// Package upstream is an HTTP/1.1 client for opaque requests, with a bounded connection pool for
// each server (DESIGN §12.3; docs/ANSWERS.md lists the consequence of each failure).
//
// Client.Do takes a Request and returns a Response once its head has been received, or an Error
// that says whether any of the request was written. It is safe for concurrent use.
//
// The Transport of net/http isn't used, for three reasons. The limit on a server's connections is
// shared by all daemons, so a request that finds no free connection is rejected immediately instead
// of waiting or exceeding the limit. The request ID of each response has to be checked before its
// connection is reused. And a request may be sent to another server only if none of it was written,
// while Transport retries by its own rules and doesn't report them. Responses are parsed by
// net/http.
//
// Two invariants hold:
//   - A request is written again only if no byte of it was written before.
//   - A connection is reused only after a complete response with the matching request ID, and only
//     if no further bytes follow that response.
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

// HeaderNames are the names of the headers that this package reads and writes. A header whose name
// is empty is neither sent nor read; but without RequestID no response is accepted.
type HeaderNames struct {
	RequestID   string // ID of the request; the response has to repeat it
	Instance    string // name of the server that the request is intended for
	NotRun      string // in a response: the server did not execute the request
	LastEventID string // ID of the event after which an event stream is resumed
	Deadline    string // milliseconds remaining when the request is written, an integer
	Load        string // in a response: the server's reported load (endpoints.ParseReportedLoad)
	// WantedWeights is, in a request, the version of the weights that it requires: a server with
	// another version responds with status 421.
	WantedWeights string
	// WeightVersion is, in a response, the version of the server's weights, an integer. In an event
	// stream, a field of this name in lower case marks the event at which the version changes.
	WeightVersion string
	// Authorization is, in a caller's request, the header that carries its API key. It is never sent
	// to the server if callers are identified by their API keys (Request.IsAuthenticated).
	Authorization string
	// Tenant is, in a request, the name of the tenant to which it belongs.
	Tenant string
}

// Settings configures the connection pools; a zero field gets its default.
type Settings struct {
	DialTimeout       time.Duration   // time limit for establishing a connection; default 1 s
	IdleTimeout       time.Duration   // how long an idle connection is kept if the server specifies no time; default 10 s
	KeepAliveMargin   time.Duration   // subtracted from the time that a server specifies; default 500 ms
	MaxConnections    int             // connections to each server, including idle ones; default 64
	TCPUserTimeout    time.Duration   // how long written bytes may stay unacknowledged (Linux); default 2 s
	KeepAliveInterval time.Duration   // idle time before, and interval between, the kernel's keep-alive probes; 0: no probes
	Clock             clockwork.Clock // default: the system clock
}

// withDefaults returns the settings with defaults in place of zero fields.
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

// maxUnansweredKeepAlives is the number of consecutive unanswered keep-alive probes after which the
// kernel closes a connection.
const maxUnansweredKeepAlives = 3

// keepAlive returns the configuration of the kernel's TCP keep-alive probes. They detect a server
// whose machine is down or unreachable even while nothing is written to it; a server that is merely
// slow still answers the probes.
func (s Settings) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   s.KeepAliveInterval > 0,
		Idle:     s.KeepAliveInterval,
		Interval: s.KeepAliveInterval,
		Count:    maxUnansweredKeepAlives,
	}
}

// Request is sent unchanged, except for the message framing headers and those of HeaderNames.
type Request struct {
	Address  string // IP and port
	Instance string
	Method   string
	Target   string // in origin form (RFC 9112, 3.2.1), written as given
	Host     string
	ID       string      // the response has to repeat it
	Header   http.Header // end-to-end headers only
	Body     []byte
	// Deadline is the time by which the response's body has to be complete; zero for none.
	Deadline    time.Time
	LastEventID string
	// IsAuthenticated says that callers are identified by their API keys. The headers
	// HeaderNames.Authorization and HeaderNames.Tenant in Header are then omitted, in whatever case
	// they are spelled, and Tenant is sent instead.
	IsAuthenticated bool
	// Tenant is the name of the tenant to which the request belongs; "" for none.
	Tenant string
	// IsHealthCheck marks a request to the server itself, such as for its health page. It is sent
	// over a new connection that isn't reused, so its response needs no request ID; but if there is
	// one, it has to match.
	IsHealthCheck bool
}

// InjectedFaults are set by tests only, to verify that their checks detect such faults.
type InjectedFaults struct {
	SkipIDCheck      bool // every response is accepted, whatever its request ID
	KeepAfterTimeout bool // a connection whose request timed out without a response is kept
	ResendAfterLoss  bool // a request that may have been delivered but got no response is written again
}

// Client holds the connections to all servers.
type Client struct {
	// Counters since the client was created.
	Dialled         atomic.Int64 // connections opened
	Reused          atomic.Int64 // requests for which an idle connection was taken
	Mismatched      atomic.Int64 // responses whose request ID differs from the request's
	UnexpectedInput atomic.Int64 // connections closed because of unexpected bytes or end of stream

	// InjectedFaults must be set before the first request.
	InjectedFaults InjectedFaults

	headerNames HeaderNames
	settings    Settings
	clock       clockwork.Clock
	dialer      net.Dialer

	mu    sync.Mutex             // guards pools and all fields of each pool
	pools map[string]*serverPool // by the server's address
}

// New returns a client without connections.
func New(headerNames HeaderNames, settings Settings) *Client {
	settings = settings.withDefaults()
	return &Client{
		headerNames: headerNames,
		settings:    settings,
		clock:       settings.Clock,
		dialer: net.Dialer{
			Timeout:         settings.DialTimeout,
			KeepAlive:       -1, // only as in KeepAliveConfig: idle connections are checked before use (isReusable)
			KeepAliveConfig: settings.keepAlive(),
			Control:         setUserTimeout(settings.TCPUserTimeout),
		},
		pools: map[string]*serverPool{},
	}
}

// Do sends a request and returns its response once the head has been received; the caller must
// close the response. Errors are of type *Error. A request is sent again, over another connection,
// only if a reused idle connection failed before any byte was written to it.
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
			failure.Err = errors.WithStack(err) // the connection failed because the context ended
		}
		cancel()
		return nil, &failure.Error
	}
}

// attemptError describes why an attempt over one connection got no response.
type attemptError struct {
	Error
	connectionFailed bool // as opposed to an invalid request or response
	resendable       bool // the request may be sent again over another connection
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
			Error:            Error{Unknown, errors.Wrap(err, "no complete response head from the server")},
			connectionFailed: true,
		}
	}
	if ids := response.Header.Values(c.headerNames.RequestID); !c.matchesRequest(ids, req) {
		c.Mismatched.Add(1)
		return nil, &attemptError{Error: Error{Unknown, errors.Errorf("response has request IDs %q, want exactly %q", ids, req.ID)}}
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
		return &attemptError{Error: Error{Unknown, errors.Wrap(err, "request was only partially written")}}
	}
	return &attemptError{
		Error:            Error{NotWritten, errors.Wrap(err, "writing the request failed before its first byte")},
		connectionFailed: true,
	}
}

// matchesRequest reports whether a response with these request IDs belongs to the request.
func (c *Client) matchesRequest(ids []string, req Request) bool {
	if c.InjectedFaults.SkipIDCheck || req.IsHealthCheck && len(ids) == 0 {
		return true
	}
	return len(ids) == 1 && ids[0] == req.ID
}

// interrupt closes the connection of a request whose context has ended, which unblocks its reads and
// writes.
func (c *Client) interrupt(pc *connection) {
	if c.InjectedFaults.KeepAfterTimeout {
		pc.tcpConn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	pc.tcpConn.Close()
}

// discard closes a connection that yielded no response: bytes that still arrive on it could be
// mistaken for the response to a later request.
func (c *Client) discard(ctx context.Context, pc *connection, delivery Delivery) {
	if c.InjectedFaults.KeepAfterTimeout && ctx.Err() != nil && delivery == Unknown {
		pc.tcpConn.SetReadDeadline(time.Time{})
		c.putIdle(pc, c.clock.Now().Add(c.settings.IdleTimeout))
		return
	}
	c.closeConnection(pc)
}
