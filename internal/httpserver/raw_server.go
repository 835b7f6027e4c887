package httpserver

import (
	"context"
	"errors"
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
	idle          idleConns
	tracksIdle    bool                   // idle connections are closed by the limits in force
	limitsInForce atomic.Pointer[Limits] // the latest CurrentLimits, completed
	cleanups      cleanup.Stack
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int           // of a request's line and header
	HeaderTimeout time.Duration // from a request's first byte to the end of its header
	IdleTimeout   time.Duration // for which a connection may be idle
}

// Start listens, and serves in a goroutine that ends with Close. onFailure is called with the
// error after which the server can't go on.
func (r *RawServer) Start(onFailure func(error)) error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	r.listener = callerListener{listener, r}
	r.server = &http.Server{Handler: r.Handler, ConnState: r.connStateChanged}
	if r.CurrentLimits == nil {
		r.server.MaxHeaderBytes = r.Limits.HeaderBytes
		r.server.ReadHeaderTimeout = r.Limits.HeaderTimeout
		r.server.IdleTimeout = r.Limits.IdleTimeout
	} else {
		r.enforceCurrentLimits()
	}
	go func() {
		if err := r.server.Serve(r.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			onFailure(err)
		}
	}()
	return nil
}

// connStateChanged notes a connection's state, as net/http reports it.
func (r *RawServer) connStateChanged(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		conn.(*callerConn).requestEnded()
	}
	if r.tracksIdle {
		r.idle.stateChanged(conn, state, time.Now(), r.limitsInForce.Load().IdleTimeout)
	}
}

// Close accepts no new connections, closes the idle ones, and waits for the open requests until
// the timeout; then it closes their connections.
func (r *RawServer) Close(timeout time.Duration) {
	defer r.cleanups.Run()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if r.server.Shutdown(ctx) != nil {
		r.server.Close()
	}
}
