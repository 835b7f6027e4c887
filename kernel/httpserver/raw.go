package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Raw is a front whose handler sees every request as it came (DESIGN §12.2). It is
// net/http's own server: go-zero's router cleans paths, traces each request, and
// closes its listener by itself a second after the word to go, while callers are
// still being sent here.
type Raw struct {
	Address string
	Handler http.Handler
	// HeaderBytes, HeaderWait and IdleWait bound what callers may send and how long
	// they may take; 0 leaves net/http's own.
	HeaderBytes          int
	HeaderWait, IdleWait time.Duration

	server *http.Server
}

// Open listens and serves in the background; what the server can't go on after is
// handed to failed.
func (r *Raw) Open(failed func(error)) error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r.Handler, MaxHeaderBytes: r.HeaderBytes, ReadHeaderTimeout: r.HeaderWait, IdleTimeout: r.IdleWait, ErrorLog: nil}
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
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	if r.server.Shutdown(ctx) != nil {
		r.server.Close()
	}
}
