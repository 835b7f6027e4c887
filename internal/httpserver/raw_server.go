package httpserver

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tuliprudder/internal/cleanup"
)

// RawServer is an HTTP server whose handler sees every request as it was sent (docs/DESIGN.md,
// section 12.2). It is net/http's own: go-zero's router cleans paths, traces each request, and
// closes its listener by itself a second after the signal to end, while callers are still being
// sent here. Start and Close are called once each, in this order.
type RawServer struct {
	Address string
	Handler http.Handler
	// Limits bound what callers may send and how long they may take.
	Limits Limits
	// CurrentLimits, where set, gives the limits in force, which may change at any time; a limit
	// that is zero there is taken from Limits. It is called from many goroutines.
	CurrentLimits func() Limits
	// Unanswered counts the connections that ended without an answer.
	Unanswered UnansweredStats
	// OnUnanswered, where set, is told of each that this daemon closed. It is called from many
	// goroutines.
	OnUnanswered func(Unanswered)

	server        *http.Server
	listener      net.Listener
	open          openConns
	idle          idleConns
	limitsInForce atomic.Pointer[Limits] // the latest CurrentLimits, completed; nil without these
	isClosing     atomic.Bool
	cleanups      cleanup.Stack
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int           // of a request's line and header
	HeaderTimeout time.Duration // from a request's first byte to the end of its header
	IdleTimeout   time.Duration // for which a connection may be idle
}

const (
	// newConnectionGrace is how long a server that closes waits for the first request on a
	// connection.
	newConnectionGrace = time.Second
	// closeInterval is how often a server that closes looks at its connections.
	closeInterval = 20 * time.Millisecond
)

// Start listens, and serves in a goroutine that ends with Close. onFailure is called with the
// error after which the server can't go on.
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
	go func() {
		if err := r.server.Serve(r.listener); err != nil && !r.isClosing.Load() {
			onFailure(err)
		}
	}()
	return nil
}

// serveRequest serves one request. Once the server closes, its caller is told to use another
// connection for the next one.
func (r *RawServer) serveRequest(w http.ResponseWriter, request *http.Request) {
	if r.isClosing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.limitsInForce.Load() != nil && r.rejectLargeHeader(w, request) {
		return
	}
	r.Handler.ServeHTTP(w, request)
}

// connStateChanged notes a connection's state, as net/http reports it.
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

// removeConn forgets a connection that is closed.
func (r *RawServer) removeConn(conn *callerConn) { r.open.remove(conn) }

// Close accepts no new connections, has the idle ones closed, and waits for the open requests
// until the timeout; then it closes their connections. Every request that is read until then is
// served. The server's own Shutdown isn't used, as it drops a request that was read while it
// began.
func (r *RawServer) Close(timeout time.Duration) {
	defer r.cleanups.Run()
	r.isClosing.Store(true)
	r.listener.Close()
	deadline := time.Now().Add(timeout)
	for r.retireIdle(time.Now()) > 0 && time.Now().Before(deadline) {
		time.Sleep(closeInterval)
	}
	r.server.Close()
}

// retireIdle has the connections closed on which no request is open, and gives the number of
// those that are still there.
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
