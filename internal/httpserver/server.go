// Package httpserver implements the HTTP servers of every daemon (docs/DESIGN.md, sections 2 and 10).
// RawServer uses net/http's server directly, for requests that are forwarded unchanged. Server has the
// routes for operators and callers of batches, uses go-zero's rest router, and serves through a
// RawServer, so that connections are drained in one way only. Of go-zero's middlewares only the panic
// recovery is enabled: its load shedding, breaker, timeout and size limits reject or abort requests on
// their own, and the server must not hide a request's outcome.
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
	routes []rest.Route
	// openRequests holds a token for each open request; its capacity is the limit.
	openRequests chan struct{}
	maxBodyBytes int64
	raw          *RawServer
}

// New returns a server with limits on the number of open requests and on the size of a body.
func New(address string, maxOpenRequests int, maxBodyBytes int64) *Server {
	return &Server{
		openRequests: make(chan struct{}, maxOpenRequests),
		maxBodyBytes: maxBodyBytes,
		raw:          &RawServer{Address: address, Limits: Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}},
	}
}

// Handle adds a route. Paths use go-zero's :name for variable parts.
func (s *Server) Handle(method, path string, handler Handler) {
	s.routes = append(s.routes, rest.Route{Method: method, Path: path, Handler: s.withLimits(handler)})
}

// withLimits wraps a handler with the limits on open requests and on the size of a body. A request that
// arrives while the server is stopping is rejected, as it may take longer than the server waits.
func (s *Server) withLimits(handler Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.raw.IsClosing() {
			WriteError(w, errs.NewWithRetry(errs.NotReady, clock.Second, "use another daemon, or retry once this one has restarted", "this daemon is stopping"))
			return
		}
		select {
		case s.openRequests <- struct{}{}:
			defer func() { <-s.openRequests }()
		default:
			WriteError(w, errs.NewWithRetry(errs.Busy, clock.Second, "retry after the time given", "this daemon has reached its limit of open requests"))
			return
		}
		LimitBody(w, r, s.maxBodyBytes)
		if err := handler(w, r); err != nil {
			WriteError(w, err)
		}
	}
}

// StartDraining has each response from now on tell its caller to use another connection for the next request.
func (s *Server) StartDraining() { s.raw.StartDraining() }

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return len(s.openRequests) }

const (
	// closeTimeout is how long a stopping server waits for its open requests; callers of an edge have
	// already been waited for by then (host.Daemon.OnDrain).
	closeTimeout = 3 * time.Second
	// headerTimeout is how long reading the header of a request may take.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle.
	idleTimeout = 2 * time.Minute
)

// Start serves in a goroutine that ends when the cleanups run. They wait for the open requests for at
// most closeTimeout.
func (s *Server) Start(cleanups *cleanup.Stack) error {
	router, err := s.newRouter()
	if err != nil {
		return err
	}
	s.raw.Handler = http.HandlerFunc(router.Serve)
	if err := s.raw.Start(exitOnFailure); err != nil {
		return errors.Wrap(err, "starting the HTTP server")
	}
	cleanups.Push(func() { s.raw.Close(closeTimeout) })
	return nil
}

// newRouter returns go-zero's router with the routes. It does not listen itself.
func (s *Server) newRouter() (*rest.Serverless, error) {
	var conf rest.RestConf
	conf.Log.Mode = "console"
	conf.Log.Encoding = "json"
	conf.Middlewares.Recover = true
	server, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.HandlerFunc(handleUnknownPath)))
	if err != nil {
		return nil, errors.Wrap(err, "creating the HTTP server")
	}
	server.AddRoutes(s.routes)
	router, err := rest.NewServerless(server)
	return router, errors.Wrap(err, "creating the HTTP router")
}

// exitOnFailure terminates a daemon that has stopped serving HTTP, because no caller can reach it.
func exitOnFailure(err error) {
	logx.Must(errors.Wrap(err, "the HTTP server has failed"))
}

func handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	WriteError(w, errs.New(errs.NotFound, "see the caller and operator pages for the available paths", "no such path: %s %s", r.Method, r.URL.Path))
}
