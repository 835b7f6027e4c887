package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/modelclient"
)

// serverCall is one request on a server, as both the client and the server see it.
type serverCall struct {
	server          *Server
	node            *Node
	generation      int
	request         modelclient.Request
	latency         clock.Micros
	onChunk         func(string)
	onDone          func(modelclient.Outcome, string)
	clientDone      bool   // the client has its outcome
	serverDone      bool   // the server has removed it
	connectionLost  bool   // the connection carries nothing any more
	arrival         uint64 // orders the calls of a server
	lastChunkAt     clock.Micros
	remaining       []string
	removeCrashHook func()
	forwarded       *forwardedRequest // nil: the request is not a forwarded one
}

// callServer sends a request from a node to the server at an address. Chunks go to onChunk
// as they come, and the outcome to onDone, once.
func (w *World) callServer(n *Node, request modelclient.Request, onChunk func(string), onDone func(modelclient.Outcome, string)) *serverCall {
	call := &serverCall{
		server:      w.serverByAddress[request.Address],
		node:        n,
		generation:  n.generation,
		request:     request,
		latency:     w.randomBetween(150, 900),
		onChunk:     onChunk,
		onDone:      onDone,
		lastChunkAt: w.Now,
	}
	if call.server == nil || w.isBlocked(n.Name, call.server.Name) {
		w.After(clock.Second, func() { call.finish(modelclient.NotStarted, "no connection") })
		return call
	}
	w.After(request.IdleTimeout, call.checkIdle)
	w.After(call.latency, call.arrive)
	return call
}

// checkIdle ends the call where the server has sent nothing for the client's idle timeout.
func (call *serverCall) checkIdle() {
	w := call.node.world
	if call.clientDone || call.node.generation != call.generation {
		return
	}
	if idleAt := call.lastChunkAt + call.request.IdleTimeout; w.Now < idleAt {
		w.After(idleAt-w.Now, call.checkIdle)
		return
	}
	call.finish(modelclient.Interrupted, "the server was unresponsive")
	call.transmit(func() { call.server.remove(call) })
}

// lateRejectionDelay is how long a server that rejects late takes to do so.
const lateRejectionDelay = 2 * clock.Second

// arrive has the server take the request or reject it.
func (call *serverCall) arrive() {
	w, s := call.node.world, call.server
	reject := func() {
		call.transmit(func() { call.finish(modelclient.NotStarted, reasonNotRun) })
	}
	switch {
	case w.isBlocked(call.node.Name, s.Name):
		call.connectionLost = true
	case !s.up:
		w.After(call.latency, func() { call.finish(modelclient.NotStarted, "connection refused") })
	case s.fault == serverRejects || len(s.waiting) >= s.queueLimit:
		reject()
	case s.fault == serverRejectsLate:
		w.After(lateRejectionDelay, reject)
	default:
		s.enqueue(call)
	}
}

// transmit carries something between the node and the server unless their link is blocked.
func (call *serverCall) transmit(do func()) {
	w := call.node.world
	w.After(call.latency, func() {
		if w.isBlocked(call.node.Name, call.server.Name) {
			call.connectionLost = true
		}
		if !call.connectionLost {
			do()
		}
	})
}

// finish gives the client its outcome, once; a frozen node receives it when it thaws.
func (call *serverCall) finish(outcome modelclient.Outcome, reason string) {
	if call.node.generation != call.generation {
		return
	}
	call.node.runOrDefer(func() {
		if call.clientDone || call.node.generation != call.generation {
			return
		}
		call.clientDone = true
		call.onDone(outcome, reason)
	})
}

// reset breaks the connection: the client notices it if it can be reached.
func (call *serverCall) reset(reason string) {
	call.transmit(func() { call.finish(modelclient.Interrupted, reason) })
}

// cancel has the client close the connection: its outcome no longer matters, and the server
// notices it if it can be reached.
func (call *serverCall) cancel() {
	call.clientDone = true
	call.transmit(func() { call.server.remove(call) })
}
