package simulator

import (
	"fmt"
	"slices"
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/serverpoll"
	"tuliprudder/test/modelcontent"
)

// chunksPerAnswer is how many chunks a simulated answer has.
const chunksPerAnswer = 4

const (
	prefillTime      = 20 * clock.Millisecond // of a prefix that is not in the cache
	prefixCacheSize  = 4                      // prefixes
	unresponsiveStep = 20 * clock.Millisecond // how often a server that is unresponsive looks again
)

// serverFault is how a server fails.
type serverFault string

// The faults of a server, as the trace prints them.
const (
	noServerFault       serverFault = ""
	serverUnresponsive  serverFault = "unresponsive"      // it accepts requests and sends nothing
	serverBreaksStreams serverFault = "breaks streams"    // it resets connections half-way
	serverRejects       serverFault = "rejects"           // it rejects all requests
	serverRejectsLate   serverFault = "rejects after 2 s" // it does so late
)

// Server is a model server: concurrency slots, a queue by priority, a speed of its own, a
// prefix cache, and faults. The checks trust what it reports as started and completed.
type Server struct {
	world         *World
	Name          string
	Address       string
	Zone          string
	slots         int
	queueLimit    int
	chunkTime     clock.Micros // to make a chunk
	up            bool
	fault         serverFault
	responseFault responseFault // of forwarded requests
	running       map[*serverCall]bool
	waiting       []*serverCall
	prefixCache   []string
	Starts        int
}

func newServer(w *World, i int, zone string) *Server {
	return &Server{
		world:      w,
		Name:       fmt.Sprintf("server-%d", i),
		Address:    fmt.Sprintf("10.9.0.%d:80", i),
		Zone:       zone,
		slots:      3 + i%3,
		queueLimit: 8,
		chunkTime:  clock.Micros(4+2*(i%3)) * clock.Millisecond,
		up:         true,
		running:    map[*serverCall]bool{},
	}
}

// Endpoint is the server as the platform's endpoint list has it.
func (s *Server) Endpoint() endpoints.Server {
	return endpoints.Server{Name: s.Name, Address: s.Address, Slots: s.slots, Labels: map[string]string{"fleet": "main", "weights": "w1", "half": s.halfLabel()}}
}

func (s *Server) halfLabel() string { return fmt.Sprint(int(s.Name[len(s.Name)-1]) % 2) }

// Crash ends every request on it and empties its cache.
func (s *Server) Crash() {
	s.world.Tracef("%s crashes with %d requests", s.Name, len(s.running)+len(s.waiting))
	s.up = false
	for _, call := range s.calls() {
		s.remove(call)
		call.reset("the connection broke")
	}
	s.prefixCache = nil
}

// calls are the requests on it in the order of their arrival.
func (s *Server) calls() []*serverCall {
	out := append([]*serverCall(nil), s.waiting...)
	for call := range s.running {
		out = append(out, call)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].arrival < out[j].arrival })
	return out
}

func (s *Server) enqueue(call *serverCall) {
	w := s.world
	w.lastNumber++
	call.arrival = w.lastNumber
	// A client that dies closes its connections.
	call.removeCrashHook = call.node.onCrash(func() { call.transmit(func() { s.remove(call) }) })
	if len(s.running) >= s.slots {
		s.waiting = append(s.waiting, call)
		return
	}
	s.start(call)
}

func (s *Server) start(call *serverCall) {
	w := s.world
	s.running[call] = true
	if call.forwarded != nil && call.forwarded.applyFault(call) {
		return
	}
	s.Starts++
	w.Workload.requestStarted(modelcontent.Start{
		At:        w.Now,
		Server:    s.Name,
		RequestID: call.request.RequestID,
		Input:     call.request.Input,
		Resume:    call.request.PartialOutput != "" || call.forwarded.isResumed(),
	})
	partial := call.request.PartialOutput
	for _, chunk := range modelcontent.Chunks(call.request.Input, chunksPerAnswer) {
		if len(partial) >= len(chunk) && partial[:len(chunk)] == chunk {
			partial = partial[len(chunk):]
			continue
		}
		call.remaining = append(call.remaining, chunk)
	}
	if call.forwarded != nil {
		call.remaining = call.forwarded.withoutReceived(call.remaining)
	}
	prefill := s.prefill(call.request.Prefix)
	w.After(prefill+s.chunkTime+call.forwarded.delay(w), func() { s.sendNext(call) })
}

// prefill is how long the server takes to read a prompt's prefix, which is cached then.
func (s *Server) prefill(prefix string) clock.Micros {
	cached := slices.Contains(s.prefixCache, prefix)
	s.prefixCache = append(s.prefixCache, prefix)
	if len(s.prefixCache) > prefixCacheSize {
		s.prefixCache = s.prefixCache[1:]
	}
	if cached {
		return 0
	}
	return prefillTime
}

// sendNext makes the next chunk, or ends the answer.
func (s *Server) sendNext(call *serverCall) {
	w := s.world
	if call.serverDone {
		return
	}
	if s.fault == serverUnresponsive {
		w.After(unresponsiveStep, func() { s.sendNext(call) })
		return
	}
	if s.fault == serverBreaksStreams && len(call.remaining) <= chunksPerAnswer/2 {
		s.remove(call)
		call.reset("the stream broke off")
		return
	}
	if call.forwarded != nil && call.forwarded.applyFault(call) {
		return
	}
	if len(call.remaining) == 0 {
		s.remove(call)
		w.Workload.answerCompleted(call.request.Input)
		call.transmit(func() { call.finish(modelclient.Complete, "") })
		call.forwarded.sendDuplicate(call)
		return
	}
	chunk := call.remaining[0]
	call.remaining = call.remaining[1:]
	call.forwarded.countChunk()
	call.transmit(func() {
		call.node.runOrDefer(func() {
			if call.clientDone || call.node.generation != call.generation {
				return
			}
			call.lastChunkAt = w.Now
			call.onChunk(chunk)
		})
	})
	w.After(s.chunkTime, func() { s.sendNext(call) })
}

// remove frees what a request has on the server, and starts the next one of the queue: of
// the lowest priority number, the one that came first.
func (s *Server) remove(call *serverCall) {
	call.serverDone = true
	if call.removeCrashHook != nil {
		call.removeCrashHook()
	}
	delete(s.running, call)
	s.waiting = slices.DeleteFunc(s.waiting, func(other *serverCall) bool { return other == call })
	s.startWaiting()
}

// startWaiting starts queued requests for as long as slots are free.
func (s *Server) startWaiting() {
	for s.up && s.fault != serverUnresponsive && len(s.running) < s.slots && len(s.waiting) > 0 {
		first := 0
		for i, other := range s.waiting {
			if other.request.Priority < s.waiting[first].request.Priority {
				first = i
			}
		}
		next := s.waiting[first]
		s.waiting = slices.Delete(s.waiting, first, first+1)
		s.start(next)
	}
}

// injectFault has a server fail in some way until it is restored.
func (s *Server) injectFault(fault serverFault) (restore func()) {
	s.fault = fault
	s.world.Tracef("%s: %s", s.Name, fault)
	return func() {
		s.fault = noServerFault
		s.world.Tracef("%s is healthy again", s.Name)
		s.startWaiting()
	}
}

// pollServer polls a server's status for a node.
func (w *World) pollServer(n *Node, poll serverpoll.PollTask) {
	s, began, generation := w.serverByAddress[poll.Address], w.Now, n.generation
	duration := 2 * w.randomBetween(150, 900)
	reading := serverpoll.PollResult{PollTask: poll, StartedAt: began}
	if s == nil || w.isBlocked(n.Name, s.Name) || (s.up && s.fault == serverUnresponsive) {
		duration = clock.Second
	} else if s.up {
		reading.Running, reading.Waiting, reading.Healthy = len(s.running), len(s.waiting), true
	}
	w.After(duration, func() {
		n.runOrDefer(func() {
			if n.generation == generation {
				n.execute(n.machine.Call(0, reading, w.Now))
			}
		})
	})
}
