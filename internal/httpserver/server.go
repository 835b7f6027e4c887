// Package httpserver has the HTTP servers of every daemon (docs/DESIGN.md, sections 2 and 10).
// Server is built on go-zero's rest, for operators and callers of batches; RawServer is net/http's
// own, for requests that are forwarded unchanged. Of go-zero's own chain only the recovery is on:
// its load shedding, breaker, timeout and size limits reject or cut requests on their own, and a
// request's outcome must not be hidden by the server in front of it.
package httpserver

import (
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
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
	s.routes = append(s.routes, rest.Route{Method: method, Path: path, Handler: s.bounded(handler)})
}

// bounded applies the bounds on open requests and bodies.
func (s *Server) bounded(handler Handler) http.HandlerFunc {
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

// Start serves in a goroutine that ends when the clean-ups run.
func (s *Server) Start(cleanups *cleanup.Stack) error {
	address, err := netip.ParseAddrPort(s.address)
	if err != nil {
		return errors.Wrap(err, "parsing the HTTP address")
	}
	var conf rest.RestConf
	conf.Host = address.Addr().String()
	conf.Port = int(address.Port())
	conf.Log.Mode = "console"
	conf.Log.Encoding = "json"
	conf.Middlewares.Recover = true
	server, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.HandlerFunc(handleUnknownPath)))
	if err != nil {
		return errors.Wrap(err, "making the HTTP server")
	}
	server.AddRoutes(s.routes)
	go server.Start()
	cleanups.Push(server.Stop)
	return nil
}

func handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	WriteError(w, errs.New(errs.NotFound, "see the caller and operator pages for the paths there are", "no such path: %s %s", r.Method, r.URL.Path))
}
