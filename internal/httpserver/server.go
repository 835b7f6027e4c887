// Package httpserver has the HTTP servers of every daemon (docs/DESIGN.md, sections 2 and 10).
// RawServer is net/http's own, for requests that are forwarded unchanged. Server has the routes of
// operators and callers of batches, by go-zero's rest, and serves them by a RawServer: so there is one
// way in which connections are drained. Of go-zero's own chain only the recovery is on: its load
// shedding, breaker, timeout and size limits reject or cut requests on their own, and a request's
// outcome must not be hidden by the server in front of it.
package httpserver

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// Handler answers one request. An error is written as a typed JSON error (WriteError).
type Handler func(w http.ResponseWriter, r *http.Request) error

// Server has routes and serves them. Routes are added before Start, by one goroutine.
type Server struct {
	address string
	routes  []rest.Route
	// openRequests has a token for each open request; its capacity is the bound.
	openRequests chan struct{}
	maxBodyBytes int64
	raw          *RawServer // nil before Start
}

// New makes a server with bounds on the number of open requests and on the bytes of a body.
func New(address string, maxOpenRequests int, maxBodyBytes int64) *Server {
	return &Server{
		address:      address,
		openRequests: make(chan struct{}, maxOpenRequests),
		maxBodyBytes: maxBodyBytes,
	}
}

// Handle adds a route. Paths use go-zero's :name for variable parts.
func (s *Server) Handle(method, path string, handler Handler) {
	s.routes = append(s.routes, rest.Route{Method: method, Path: path, Handler: s.withLimits(handler)})
}

// withLimits applies the bounds on open requests and bodies.
func (s *Server) withLimits(handler Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.openRequests <- struct{}{}:
			defer func() { <-s.openRequests }()
		default:
			WriteError(w, errs.NewWithRetry(errs.Busy, clock.Second, "come back after the time given", "this daemon has as many open requests as it may"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.maxBodyBytes)
		if err := handler(w, r); err != nil {
			WriteError(w, err)
		}
	}
}

// OpenRequests is the number of open requests.
func (s *Server) OpenRequests() int { return len(s.openRequests) }

const (
	// closeTimeout is how long a server that stops waits for its open requests: callers of an edge have
	// been waited for before (host.Daemon.OnDrain).
	closeTimeout = 3 * time.Second
	// headerTimeout is how long the header of a request may take.
	headerTimeout = 10 * time.Second
	// idleTimeout is for how long a connection may be idle.
	idleTimeout = 2 * time.Minute
)

// Start serves in a goroutine that ends when the clean-ups run; these wait for the open requests, for
// closeTimeout at most.
func (s *Server) Start(cleanups *cleanup.Stack) error {
	router, err := s.newRouter()
	if err != nil {
		return err
	}
	server := &RawServer{
		Address: s.address,
		Handler: http.HandlerFunc(router.Serve),
		Limits:  Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	if err := server.Start(exitOnFailure); err != nil {
		return errors.Wrap(err, "starting the HTTP server")
	}
	s.raw = server
	cleanups.Push(func() { server.Close(closeTimeout) })
	return nil
}

// newRouter is go-zero's router with the routes; it listens at no address of its own.
func (s *Server) newRouter() (*rest.Serverless, error) {
	var conf rest.RestConf
	conf.Log.Mode = "console"
	conf.Log.Encoding = "json"
	conf.Middlewares.Recover = true
	server, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.HandlerFunc(handleUnknownPath)))
	if err != nil {
		return nil, errors.Wrap(err, "making the HTTP server")
	}
	server.AddRoutes(s.routes)
	router, err := rest.NewServerless(server)
	return router, errors.Wrap(err, "making the HTTP router")
}

// exitOnFailure ends a daemon whose listener has failed: nobody could reach it any more.
func exitOnFailure(err error) {
	logx.Must(errors.Wrap(err, "the HTTP server has failed"))
}

func handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	WriteError(w, errs.New(errs.NotFound, "see the caller and operator pages for the paths there are", "no such path: %s %s", r.Method, r.URL.Path))
}
