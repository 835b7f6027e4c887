package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tuliprudder/kernel/cleanup"
)

// Raw is a front whose handler sees every request as it came (DESIGN §12.2). It is
// net/http's own server: go-zero's router cleans paths, traces each request, and
// closes its listener by itself a second after the word to go, while callers are
// still being sent here.
type Raw struct {
	Address string
	Handler http.Handler
	// Limits bound what callers may send and how long they may take.
	Limits Limits
	// Current, where set, gives the limits in force at any time; what is zero there is
	// taken from Limits.
	Current func() Limits

	server   *http.Server
	listener net.Listener
	resting  restingConns
	known    atomic.Pointer[Limits] // Current's latest answer, completed
	ends     cleanup.Stack
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes int           // of a request's line and header
	HeaderWait  time.Duration // from a request's first byte to the end of its header
	IdleWait    time.Duration // for which a connection may rest
}

const (
	// mostHeaderBytes is read of a header whatever the limits in force say.
	mostHeaderBytes = 1 << 20
	// limitsEvery is how often the limits in force are looked up, and connections
	// that have rested for too long are looked for.
	limitsEvery = time.Second
)

// Open listens and serves in the background; what the server can't go on after is
// handed to failed.
func (r *Raw) Open(failed func(error)) error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	r.listener, r.server = listener, &http.Server{Handler: r.Handler}
	if r.Current == nil {
		r.server.MaxHeaderBytes, r.server.ReadHeaderTimeout, r.server.IdleTimeout = r.Limits.HeaderBytes, r.Limits.HeaderWait, r.Limits.IdleWait
	} else {
		r.followLimits()
	}
	go func() {
		if err := r.server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed(err)
		}
	}()
	return nil
}

// Close takes no new connections, closes the idle ones, and waits for the open
// requests for as long as it may.
func (r *Raw) Close(most time.Duration) {
	defer r.ends.Run()
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	if r.server.Shutdown(ctx) != nil {
		r.server.Close()
	}
}
