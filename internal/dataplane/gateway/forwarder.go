package gateway

import (
	"net/http"
	"sync/atomic"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/upstream"
)

// Forwarder forwards opaque requests to servers (DESIGN §12.2). The edge's state machine (package
// proxy) decides which server gets a request and whether another attempt follows. The fields must
// be set before the first request.
type Forwarder struct {
	CallMachine MachineCaller
	// Notify sends the state machine a message without waiting for a reply.
	Notify      func(message any)
	Client      *upstream.Client
	HeaderNames upstream.HeaderNames
	// Now returns the daemon's time.
	Now func() clock.Micros
	// WriteError writes an error response of the edge itself.
	WriteError func(w http.ResponseWriter, err error)
	// SubmitBatch serves a request whose body is a batch to submit.
	SubmitBatch func(w http.ResponseWriter, r *http.Request, body []byte, submission proxy.BatchSubmission)
	// ServeWithoutRoute, if set, serves a request for which the current configuration has no route. err
	// is the error to respond with if the request is not of another kind that the callback serves.
	ServeWithoutRoute func(w http.ResponseWriter, r *http.Request, body []byte, err error)

	inFlight atomic.Int64
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// Forward serves one request: it carries out the state machine's decisions, attempt by attempt,
// until one ends the request. Forward sets the request's ID.
func (f *Forwarder) Forward(w http.ResponseWriter, r *http.Request, request proxy.Request, body []byte) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	request.ID = NewID()
	p := &proxiedRequest{
		forwarder:   f,
		w:           w,
		r:           r,
		requestID:   request.ID,
		body:        body,
		header:      endToEndHeaders(r.Header),
		lastEventID: r.Header.Get(f.HeaderNames.LastEventID),
	}
	p.serve(request)
}
