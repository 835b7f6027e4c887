package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/upstream"
	"tuliprudder/internal/errs"
)

// Forwarder passes opaque requests on to servers (DESIGN §12.2): which server, and
// whether another is tried, the edge's machine says (path/ford).
type Forwarder struct {
	CallMachine MachineCaller
	Notify      func(body any) // tells the machine something that has no answer
	Client      *upstream.Client
	HeaderNames upstream.HeaderNames
	Now         func() clock.Micros
	// WriteError writes a final answer of the edge's own.
	WriteError func(w http.ResponseWriter, err error)
	// SubmitBatch takes a request that hands in a batch.
	SubmitBatch func(w http.ResponseWriter, r *http.Request, body []byte, submission proxy.BatchSubmission)
	inFlight    atomic.Int64
}

// InFlight is how many requests are under way.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEndHeaders copies the headers that are passed on.
func endToEndHeaders(from http.Header) http.Header {
	out := make(http.Header, len(from))
	for name, values := range from {
		out[name] = values
	}
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	delete(out, "Content-Length")
	return out
}

// proxiedRequest is one request on its way through.
type proxiedRequest struct {
	forwarder       *Forwarder
	w               http.ResponseWriter
	r               *http.Request
	requestID       string
	body            []byte
	header          http.Header
	responseStarted bool   // the head of an answer has gone to the caller
	lastEventID     string // id of the last event passed on
}

// Forward serves one request: the machine says to which server it is sent, hears
// how that went, and says what is next.
func (f *Forwarder) Forward(w http.ResponseWriter, r *http.Request, request proxy.Request, body []byte) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	request.ID = NewID()
	p := &proxiedRequest{forwarder: f, w: w, r: r, requestID: request.ID, body: body, header: endToEndHeaders(r.Header), lastEventID: r.Header.Get(f.HeaderNames.LastEventID)}
	var next any = request
	for {
		decision, err := f.CallMachine(r.Context(), next, nil, machineTimeout)
		if err != nil {
			p.fail(err)
			return
		}
		switch action := decision.(type) {
		case proxy.Attempt:
			next = p.runAttempt(action)
		case proxy.BatchSubmission:
			f.SubmitBatch(w, r, body, action)
			return
		default:
			return
		}
	}
}

// fail gives the edge's own final answer; an answer that has begun is broken off,
// so that it can't look complete.
func (p *proxiedRequest) fail(err error) {
	if p.responseStarted {
		panic(http.ErrAbortHandler)
	}
	p.forwarder.WriteError(p.w, err)
}

// runAttempt sends the request to one server, passes on what it answers, and tells how
// that went.
func (p *proxiedRequest) runAttempt(attempt proxy.Attempt) proxy.AttemptResult {
	result := proxy.AttemptResult{RequestID: p.requestID, Outcome: proxy.Interrupted}
	remaining := clock.Duration(attempt.Deadline - p.forwarder.Now())
	ctx, cancel := context.WithTimeout(p.r.Context(), remaining)
	defer cancel()
	response, err := p.forwarder.Client.Do(ctx, upstream.Request{Address: attempt.Address, Instance: attempt.Server, Method: p.r.Method, Target: p.r.RequestURI, Host: p.r.Host,
		ID: p.r.Header.Get(p.forwarder.HeaderNames.RequestID), Header: p.header, Body: p.body, Deadline: time.Now().Add(remaining), LastEventID: p.lastEventID})
	if err != nil {
		result.Reason, result.ContextDone = err.Error(), ctx.Err() != nil
		switch {
		case errs.Is(err, errs.BadInput):
			result.Outcome = proxy.Invalid
		case upstream.DeliveryOf(err) == upstream.NotWritten:
			result.Outcome, result.LocalFailure = proxy.NotSent, errs.Is(err, errs.Busy)
		}
		result.ResponseStarted = p.responseStarted
		return result
	}
	defer response.Close()
	switch {
	case response.NotRun:
		io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
		result.Outcome, result.Reason = proxy.NotRun, "the server did not run it: "+strconv.Itoa(response.Status)
	case impliesNotRun(response.Status) && !proxy.IsIdempotent(attempt.Route) && !p.responseStarted:
		io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
		result.Outcome, result.Reason = proxy.Failed, "the server answered "+strconv.Itoa(response.Status)+" without its word that it did not run the request"
	case response.Status >= 500 && !attempt.IsLast && proxy.IsIdempotent(attempt.Route), p.responseStarted && response.Status != http.StatusOK:
		io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
		result.Outcome, result.Reason = proxy.Failed, "the server failed: "+strconv.Itoa(response.Status)
	default:
		err := p.forwardResponse(response)
		if err == nil {
			result.Outcome = proxy.Complete
		} else {
			result.Reason, result.ContextDone = err.Error(), ctx.Err() != nil
		}
	}
	result.ResponseStarted = p.responseStarted
	return result
}

// impliesNotRun tells whether callers take a status for the word that the request has not
// run and never will. From a server it is that only beside its own word; without it,
// what may run only once gets an answer of the edge's that promises nothing.
func impliesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// startResponse sends the head of an answer to the caller; one that goes on with a stream
// keeps the first server's.
func (p *proxiedRequest) startResponse(response *upstream.Response, length int) {
	if p.responseStarted {
		return
	}
	p.responseStarted = true
	header := p.w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	p.w.WriteHeader(response.Status)
}

// forwardResponse hands an answer on. Of one that is cut before anything got out, nothing does:
// not its head either.
func (p *proxiedRequest) forwardResponse(response *upstream.Response) error {
	if response.Status == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return p.forwardEvents(response)
	}
	if p.responseStarted {
		return errs.New(errs.ServerFault, "have the server go on with the stream", "the server goes on with no stream of events")
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if !response.Delimited {
		return errs.New(errs.ServerFault, "have the server give its answers a length", "nobody can tell whether the answer is whole")
	}
	length := -1
	if response.Length >= 0 {
		length = len(data)
	}
	p.startResponse(response, length)
	_, err = p.w.Write(data)
	return err
}

// isNextEvent tells whether an event is the one after the last that was passed on; ids
// that are no numbers can't be told apart.
func isNextEvent(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil || id == "" {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next == before+1
}

// forwardEvents passes a stream on, event by event, as they arrive.
func (p *proxiedRequest) forwardEvents(response *upstream.Response) error {
	reader := upstream.NewEventReader(response.Body)
	started, resuming := false, p.responseStarted
	controller := http.NewResponseController(p.w)
	for {
		event, err := reader.Next()
		switch {
		case err == io.EOF && !response.Delimited:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			p.startResponse(response, -1)
			_, err = p.w.Write(reader.Trailing())
			return err
		case err != nil:
			return err
		case resuming && !isNextEvent(p.lastEventID, event.ID):
			return errs.New(errs.ServerFault, "have the server go on after the event it is told", "event %s came after event %s", event.ID, p.lastEventID)
		}
		if !started {
			started = true
			p.forwarder.Notify(proxy.AttemptStarted{RequestID: p.requestID})
		}
		p.startResponse(response, -1)
		if _, err := p.w.Write(event.Raw); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		if event.ID != "" {
			p.lastEventID, resuming = event.ID, false
		}
	}
}
