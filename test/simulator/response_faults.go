package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/test/modelcontent"
)

// This file is the servers' side of requests that are passed on unchanged: what a
// server may do wrong with one, and at which moment.

// responseFault is what a server does wrong with requests that are passed on to it.
type responseFault string

// The troubles. A server resets or closes the connection, says nothing more, fails
// the request with its own word, answers late, answers a second time, or goes on
// with a stream at the wrong event.
const (
	noResponseFault   responseFault = ""
	connectionReset   responseFault = "reset"
	connectionClosed  responseFault = "close"
	noResponse        responseFault = "silence"
	errorResponse     responseFault = "failure"
	lateResponse      responseFault = "late answer"
	duplicateResponse responseFault = "second answer"
	wrongEvent        responseFault = "wrong event"
)

var responseFaults = []responseFault{connectionReset, connectionClosed, noResponse, errorResponse, lateResponse, duplicateResponse, wrongEvent}

// The words by which a shell tells refusals apart.
const (
	reasonNotRun = "503"
	reasonFailed = "500"
)

// forwardedRequest is a request that is passed on to a server unchanged, on its server.
type forwardedRequest struct {
	lastEvent  int // the last event the caller has; 0 for none
	fault      responseFault
	faultAfter int // pieces sent by this server before the trouble strikes
	chunksSent int
}

// forward sends a request to the server at an address, unchanged.
func (w *World) forward(n *Node, request modelclient.Request, lastEvent int, event func(id int, text string), done func(modelclient.Outcome, string)) *serverCall {
	p := &forwardedRequest{lastEvent: lastEvent, faultAfter: w.Random.Intn(chunksPerAnswer+2) - 1}
	if s := w.serverByAddress[request.Address]; s != nil && s.responseFault != noResponseFault && w.Random.Intn(2) == 0 {
		p.fault = s.responseFault
	}
	if p.fault == wrongEvent && lastEvent+1 >= chunksPerAnswer {
		p.fault = noResponseFault // without a further event nobody could tell
	}
	id := lastEvent
	if p.fault == wrongEvent && lastEvent > 0 {
		id++
	}
	call := w.callServer(n, request, func(text string) {
		id++
		event(id, text)
	}, done)
	call.forwarded = p
	return call
}

// withoutReceived drops the events that the caller has.
func (p *forwardedRequest) withoutReceived(remaining []string) []string {
	from := p.lastEvent
	if p.fault == wrongEvent && p.lastEvent > 0 {
		from++
	}
	return remaining[min(from, len(remaining)):]
}

func (p *forwardedRequest) isResumed() bool { return p != nil && p.lastEvent > 0 }

func (p *forwardedRequest) countChunk() {
	if p != nil {
		p.chunksSent++
	}
}

// maxResponseDelay is the longest that a late answer waits.
const maxResponseDelay = 5 * clock.Second

func (p *forwardedRequest) delay(w *World) clock.Micros {
	if p == nil || p.fault != lateResponse {
		return 0
	}
	return w.randomBetween(clock.Second, maxResponseDelay)
}

// applyFault strikes where the request's trouble is due: true when the server does
// nothing more for it. A connection may break before the server has run anything.
func (p *forwardedRequest) applyFault(call *serverCall) bool {
	s := call.server
	started := p.chunksSent > 0 || len(call.remaining) > 0
	due := p.faultAfter < 0 && !started || started && p.chunksSent >= max(0, p.faultAfter)
	if !due {
		return false
	}
	switch p.fault {
	case connectionReset, connectionClosed:
		s.remove(call)
		call.reset("the connection ended: " + string(p.fault))
	case errorResponse:
		if !started {
			return false // it fails what it has begun
		}
		s.remove(call)
		s.world.Workload.itemFailed(call.request.Input)
		call.transmit(func() { call.finish(modelclient.Rejected, reasonFailed) })
	case noResponse:
		// It holds its slot until the client goes.
	default:
		return false
	}
	return true
}

// sendDuplicate sends the whole answer once more on the same connection.
func (p *forwardedRequest) sendDuplicate(call *serverCall) {
	if p == nil || p.fault != duplicateResponse {
		return
	}
	for _, text := range modelcontent.Chunks(call.request.Input, chunksPerAnswer) {
		call.transmit(func() {
			if !call.clientDone {
				call.onChunk(text)
			}
		})
	}
	call.transmit(func() { call.finish(modelclient.Complete, "") })
}

// injectResponseFault lets a server do one thing wrong with what is passed on to it.
func (s *Server) injectResponseFault(fault responseFault) func() {
	s.responseFault = fault
	s.world.Tracef("%s: %s for requests that are passed on", s.Name, fault)
	return func() {
		s.responseFault = noResponseFault
		s.world.Tracef("%s: no more %s", s.Name, fault)
	}
}
