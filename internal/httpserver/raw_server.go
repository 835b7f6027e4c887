package httpserver

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tuliprudder/internal/cleanup"
)

// RawServer is an HTTP server whose handler gets every request as it was sent (docs/DESIGN.md,
// section 12.2). It uses net/http's server directly: go-zero's router cleans paths, traces each
// request, and closes its listener by itself a second after the termination signal, while callers
// are still being directed to this daemon. Start and Close are called once each, in this order;
// StartDraining may be called in between.
type RawServer struct {
	Address string
	Handler http.Handler
	// Limits bound what callers may send and how long they may take.
	Limits Limits
	// CurrentLimits, if set, returns the limits in force, which may change at any time; a limit
	// that is zero there is taken from Limits. It is called from many goroutines.
	CurrentLimits func() Limits
	// Unanswered counts the connections that ended with an unanswered request.
	Unanswered UnansweredStats
	// OnUnanswered, if set, is called for each of these that this daemon closed first, from many
	// goroutines.
	OnUnanswered func(Unanswered)

	server        *http.Server
	listener      net.Listener
	open          openConns
	idle          idleConns
	limitsInForce atomic.Pointer[Limits] // the latest CurrentLimits, with zeros taken from Limits; nil if CurrentLimits is nil
	isDraining    atomic.Bool            // responses tell callers to use another connection
	isClosing     atomic.Bool            // no further connection is accepted
	serveEnded    chan struct{}          // closed once every accepted connection is among the open ones
	cleanups      cleanup.Stack
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int           // of a request's line and header
	HeaderTimeout time.Duration // from a request's first byte to the end of its header
	IdleTimeout   time.Duration // for which a connection may be idle
}

const (
	// newConnectionGrace is how long a closing server waits for the first request on a
	// connection.
	newConnectionGrace = time.Second
	// closeInterval is how often a closing server checks its connections.
	closeInterval = 20 * time.Millisecond
)

// Start listens and serves in a goroutine that ends with Close. onFailure is called with the error
// if the server stops serving before Close.
func (r *RawServer) Start(onFailure func(error)) error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	r.listener = callerListener{listener, r}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serveRequest), ConnState: r.connStateChanged}
	if r.CurrentLimits == nil {
		r.server.MaxHeaderBytes = r.Limits.HeaderBytes
		r.server.ReadHeaderTimeout = r.Limits.HeaderTimeout
		r.server.IdleTimeout = r.Limits.IdleTimeout
	} else {
		r.enforceCurrentLimits()
	}
	r.serveEnded = make(chan struct{})
	go func() {
		defer close(r.serveEnded)
		if err := r.server.Serve(r.listener); err != nil && !r.isClosing.Load() {
			onFailure(err)
		}
	}()
	return nil
}

// StartDraining has every response whose head is written from now on tell its caller to use another
// connection for the next request. New connections are still accepted.
func (r *RawServer) StartDraining() { r.isDraining.Store(true) }

// IsClosing reports whether the server has stopped accepting connections.
func (r *RawServer) IsClosing() bool { return r.isClosing.Load() }

// serveRequest serves one request.
func (r *RawServer) serveRequest(w http.ResponseWriter, request *http.Request) {
	w = &responseWriter{ResponseWriter: w, server: r}
	if r.limitsInForce.Load() != nil && r.rejectLargeHeader(w, request) {
		return
	}
	r.Handler.ServeHTTP(w, request)
}

// connStateChanged records a connection's state, as net/http reports it.
func (r *RawServer) connStateChanged(netConn net.Conn, state http.ConnState) {
	conn := netConn.(*callerConn)
	switch state {
	case http.StateActive:
		conn.requestStarted()
	case http.StateIdle:
		conn.requestEnded()
	}
	if limits := r.limitsInForce.Load(); limits != nil {
		r.idle.stateChanged(conn, state, time.Now(), limits.IdleTimeout)
	}
}

// removeConn removes a closed connection from the open ones.
func (r *RawServer) removeConn(conn *callerConn) { r.open.remove(conn) }

// Close stops accepting connections, retires the idle ones, and waits for the open requests until
// the timeout; then it closes their connections. A connection is retired as soon as the response to
// its open request is complete, so only requests that were arriving when Close was called, and the
// first one on a new connection, are still taken. net/http's Shutdown isn't used because it drops a
// request that is read just as it begins.
func (r *RawServer) Close(timeout time.Duration) {
	defer r.cleanups.Run()
	r.isDraining.Store(true)
	r.isClosing.Store(true)
	r.listener.Close()
	<-r.serveEnded
	deadline := time.Now().Add(timeout)
	for r.retireIdle(time.Now()) > 0 && time.Now().Before(deadline) {
		time.Sleep(closeInterval)
	}
	r.server.Close()
}

// retireIdle retires the connections without an open request. It returns how many connections were
// open when it started.
func (r *RawServer) retireIdle(now time.Time) (open int) {
	limits := r.Limits
	if inForce := r.limitsInForce.Load(); inForce != nil {
		limits = *inForce
	}
	conns := r.open.list()
	for _, conn := range conns {
		if conn.mayRetire(now) {
			conn.retire(limits.HeaderTimeout)
		}
	}
	return len(conns)
}
