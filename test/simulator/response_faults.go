package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/test/modelcontent"
)

// This file is the servers' side of requests that are forwarded unchanged: what a server may
// do wrong with one, and at which moment.

// responseFault is what a server does wrong with requests that are forwarded to it. The
// spellings are part of the names of faults (Fault.Name).
type responseFault string

// The faults: a server resets or closes the connection, sends nothing more, fails the
// request with an error of its own, answers late, answers a second time, or goes on with a
// stream at the wrong event.
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

// The reasons of a server's error responses; a daemon's shell acts on the first.
const (
	reasonNotRun = "503"
	reasonFailed = "500"
)

// forwardedRequest is a forwarded request on its server.
type forwardedRequest struct {
	lastEvent  int // the last event that the caller has received; 0: none
	fault      responseFault
	faultAfter int // chunks sent by this server before the fault; below 0: before it starts
	chunksSent int // by this server
}

// forward sends a request to the server at an address, unchanged. Events go to onEvent as
// they come, and the outcome to onDone, once.
func (w *World) forward(n *Node, request modelclient.Request, lastEvent int, onEvent func(id int, text string), onDone func(modelclient.Outcome, string)) *serverCall {
	p := &forwardedRequest{lastEvent: lastEvent, faultAfter: w.Random.Intn(chunksPerAnswer+2) - 1}
	if s := w.serverByAddress[request.Address]; s != nil && s.responseFault != noResponseFault && w.Random.Intn(2) == 0 {
		p.fault = s.responseFault
	}
	if p.fault == wrongEvent && lastEvent+1 >= chunksPerAnswer {
		p.fault = noResponseFault // without a further event it could not be noticed
	}
	id := lastEvent
	if p.fault == wrongEvent && lastEvent > 0 {
		id++
	}
	call := w.callServer(n, request, func(text string) {
		id++
		onEvent(id, text)
	}, onDone)
	call.forwarded = p
	return call
}

// withoutReceived drops the events that the caller has received.
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

// maxResponseDelay is the maximum delay of a late answer.
const maxResponseDelay = 5 * clock.Second

func (p *forwardedRequest) delay(w *World) clock.Micros {
	if p == nil || p.fault != lateResponse {
		return 0
	}
	return w.randomBetween(clock.Second, maxResponseDelay)
}

// applyFault brings the request's fault about where it is due: true when the server does
// nothing more for it. A connection may break before the server has run anything.
func (p *forwardedRequest) applyFault(call *serverCall) bool {
	s := call.server
	started := p.chunksSent > 0 || len(call.remaining) > 0
	isDue := started && p.chunksSent >= max(0, p.faultAfter)
	if !started {
		isDue = p.faultAfter < 0
	}
	if !isDue {
		return false
	}
	switch p.fault {
	case connectionReset, connectionClosed:
		s.remove(call)
		call.reset("the connection ended: " + string(p.fault))
	case errorResponse:
		if !started {
			return false // it fails only what it has started
		}
		s.remove(call)
		s.world.Workload.itemFailed(call.request.Input)
		call.transmit(func() { call.finish(modelclient.Rejected, reasonFailed) })
	case noResponse:
		// It keeps its slot until the client closes the connection.
	default:
		return false
	}
	return true
}

// sendDuplicate sends the complete answer once more on the same connection.
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

// injectResponseFault has a server do one thing wrong with what is forwarded to it.
func (s *Server) injectResponseFault(fault responseFault) (restore func()) {
	s.responseFault = fault
	s.world.Tracef("%s: %s for forwarded requests", s.Name, fault)
	return func() {
		s.responseFault = noResponseFault
		s.world.Tracef("%s: no more %s", s.Name, fault)
	}
}
