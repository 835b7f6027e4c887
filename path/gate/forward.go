package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/proxy"
	"tuliprudder/path/upstream"
)

// Forwarder passes opaque requests on to servers (DESIGN §12.2): which server, and
// whether another is tried, the edge's machine says (path/ford).
type Forwarder struct {
	Machine Machine
	Word    func(body any) // tells the machine something that has no answer
	Client  *upstream.Client
	Words   upstream.Words
	Clock   func() clock.Micros
	// Refuse writes a final answer of the edge's own.
	Refuse func(w http.ResponseWriter, err error)
	// Bulk takes a request that hands in a bundle.
	Bulk func(w http.ResponseWriter, r *http.Request, body []byte, bulk proxy.Bulk)
	open atomic.Int64
}

// Open is how many requests are under way.
func (f *Forwarder) Open() int64 { return f.open.Load() }

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEnd copies the headers that are passed on.
func endToEnd(from http.Header) http.Header {
	out := make(http.Header, len(from))
	for name, values := range from {
		out[name] = values
	}
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	delete(out, "Content-Length")
	return out
}

// passage is one request on its way through.
type passage struct {
	f      *Forwarder
	w      http.ResponseWriter
	r      *http.Request
	order  string
	body   []byte
	header http.Header
	began  bool   // the head of an answer has gone to the caller
	last   string // id of the last event passed on
}

// Forward serves one request: the machine says to which server it is sent, hears
// how that went, and says what is next.
func (f *Forwarder) Forward(w http.ResponseWriter, r *http.Request, arrive proxy.Arrive, body []byte) {
	f.open.Add(1)
	defer f.open.Add(-1)
	arrive.Order = NewName()
	p := &passage{f: f, w: w, r: r, order: arrive.Order, body: body, header: endToEnd(r.Header), last: r.Header.Get(f.Words.LastEvent)}
	var next any = arrive
	for {
		word, err := f.Machine(r.Context(), next, nil, patience)
		if err != nil {
			p.fail(err)
			return
		}
		switch said := word.(type) {
		case proxy.Run:
			next = p.try(said)
		case proxy.Bulk:
			f.Bulk(w, r, body, said)
			return
		default:
			return
		}
	}
}

// fail gives the edge's own final answer; an answer that has begun is broken off,
// so that it can't look complete.
func (p *passage) fail(err error) {
	if p.began {
		panic(http.ErrAbortHandler)
	}
	p.f.Refuse(p.w, err)
}

// try sends the request to one server, passes on what it answers, and tells how
// that went.
func (p *passage) try(said proxy.Run) proxy.Ran {
	ran := proxy.Ran{Order: p.order, Outcome: proxy.Cut}
	left := clock.Span(said.Expiry - p.f.Clock())
	ctx, cancel := context.WithTimeout(p.r.Context(), left)
	defer cancel()
	answer, err := p.f.Client.Do(ctx, upstream.Request{Address: said.Address, Instance: said.Server, Method: p.r.Method, Target: p.r.RequestURI, Host: p.r.Host,
		ID: p.r.Header.Get(p.f.Words.RequestID), Header: p.header, Body: p.body, Deadline: time.Now().Add(left), LastEvent: p.last})
	if err != nil {
		ran.Why, ran.Over = err.Error(), ctx.Err() != nil
		switch {
		case errs.Is(err, errs.BadInput):
			ran.Outcome = proxy.Invalid
		case upstream.CertaintyOf(err) == upstream.NotWritten:
			ran.Outcome, ran.Here = proxy.Unsent, errs.Is(err, errs.Busy)
		}
		ran.Began = p.began
		return ran
	}
	defer answer.Close()
	switch {
	case answer.NotRun:
		io.Copy(io.Discard, io.LimitReader(answer.Body, 64<<10))
		ran.Outcome, ran.Why = proxy.NotRun, "the server did not run it: "+strconv.Itoa(answer.Status)
	case promises(answer.Status) && !proxy.Repeatable(said.Route) && !p.began:
		io.Copy(io.Discard, io.LimitReader(answer.Body, 64<<10))
		ran.Outcome, ran.Why = proxy.Failed, "the server answered "+strconv.Itoa(answer.Status)+" without its word that it did not run the request"
	case answer.Status >= 500 && !said.Last && proxy.Repeatable(said.Route), p.began && answer.Status != http.StatusOK:
		io.Copy(io.Discard, io.LimitReader(answer.Body, 64<<10))
		ran.Outcome, ran.Why = proxy.Failed, "the server failed: "+strconv.Itoa(answer.Status)
	default:
		err := p.pass(answer)
		if err == nil {
			ran.Outcome = proxy.Whole
		} else {
			ran.Why, ran.Over = err.Error(), ctx.Err() != nil
		}
	}
	ran.Began = p.began
	return ran
}

// promises tells whether callers take a status for the word that the request has not
// run and never will. From a server it is that only beside its own word; without it,
// what may run only once gets an answer of the edge's that promises nothing.
func promises(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// begin sends the head of an answer to the caller; one that goes on with a stream
// keeps the first server's.
func (p *passage) begin(answer *upstream.Answer, length int) {
	if p.began {
		return
	}
	p.began = true
	header := p.w.Header()
	for name, values := range endToEnd(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	p.w.WriteHeader(answer.Status)
}

// pass hands an answer on. Of one that is cut before anything got out, nothing does:
// not its head either.
func (p *passage) pass(answer *upstream.Answer) error {
	if answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		return p.events(answer)
	}
	if p.began {
		return errs.New(errs.ServerFault, "have the server go on with the stream", "the server goes on with no stream of events")
	}
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if !answer.Delimited {
		return errs.New(errs.ServerFault, "have the server give its answers a length", "nobody can tell whether the answer is whole")
	}
	length := -1
	if answer.Length >= 0 {
		length = len(data)
	}
	p.begin(answer, length)
	_, err = p.w.Write(data)
	return err
}

// follows tells whether an event is the one after the last that was passed on; ids
// that are no numbers can't be told apart.
func follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil || id == "" {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next == before+1
}

// events passes a stream on, event by event, as they arrive.
func (p *passage) events(answer *upstream.Answer) error {
	reader := upstream.NewEventReader(answer.Body)
	begun, joins := false, p.began
	control := http.NewResponseController(p.w)
	for {
		event, err := reader.Next()
		switch {
		case err == io.EOF && !answer.Delimited:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			p.begin(answer, -1)
			_, err = p.w.Write(reader.Rest())
			return err
		case err != nil:
			return err
		case joins && !follows(p.last, event.ID):
			return errs.New(errs.ServerFault, "have the server go on after the event it is told", "event %s came after event %s", event.ID, p.last)
		}
		if !begun {
			begun = true
			p.f.Word(proxy.Began{Order: p.order})
		}
		p.begin(answer, -1)
		if _, err := p.w.Write(event.Raw); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
		if event.ID != "" {
			p.last, joins = event.ID, false
		}
	}
}
