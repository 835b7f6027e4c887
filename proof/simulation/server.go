package simulation

import (
	"fmt"
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/registry"
	"tuliprudder/path/serverpoll"
	"tuliprudder/proof/modelcontent"
)

// pieces is how many pieces a simulated answer has.
const pieces = 4

// Server is a model server: slots, a queue by priority, a speed of its own, a
// cache of prefixes, and faults. Its log of starts is what the judges believe.
type Server struct {
	world   *World
	Name    string
	Address string
	Zone    string
	slots   int
	queue   int
	speed   clock.Micros // for a piece
	up      bool
	mode    string  // "", dark, cut, refuse, late
	trouble trouble // what may befall requests that are passed on to it
	running map[*serving]bool
	waiting []*serving
	cache   []string
	Starts  int
}

// serving is one order on a server, as both of its ends see it.
type serving struct {
	server    *Server
	node      *Node
	era       int
	request   modelclient.Request
	latency   clock.Micros
	piece     func(string)
	done      func(modelclient.Outcome, string)
	over      bool // the client's end has its outcome
	dropped   bool // the server's end is rid of it
	lost      bool // the connection carries nothing any more
	came      uint64
	lastPiece clock.Micros
	left      []string
	forget    func()
	passed    *passed // set where a request is passed on unchanged
}

func newServer(w *World, i int, zone string) *Server {
	return &Server{world: w, Name: fmt.Sprintf("server-%d", i), Address: fmt.Sprintf("10.9.0.%d:80", i), Zone: zone, slots: 3 + i%3, queue: 8,
		speed: clock.Micros(4+2*(i%3)) * clock.Millisecond, up: true, running: map[*serving]bool{}}
}

// Listed is the server as the platform lists it.
func (s *Server) Listed() registry.Server {
	return registry.Server{Name: s.Name, Address: s.Address, Slots: s.slots, Labels: map[string]string{"fleet": "main", "weights": "w1", "half": s.half()}}
}

func (s *Server) half() string { return fmt.Sprint(int(s.Name[len(s.Name)-1]) % 2) }

// Kill ends every order on it and forgets its cache; Start brings it back.
func (s *Server) Kill() {
	s.world.Note("%s crashes with %d orders", s.Name, len(s.running)+len(s.waiting))
	s.up = false
	for _, one := range s.all() {
		s.drop(one)
		one.reset("the connection broke")
	}
	s.cache = nil
}

// all are the orders on it in the order they came.
func (s *Server) all() []*serving {
	out := append([]*serving(nil), s.waiting...)
	for one := range s.running {
		out = append(out, one)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].came < out[j].came })
	return out
}

// reach passes something between a node and a server, if no cut is between them.
func (one *serving) reach(do func()) {
	w := one.node.world
	w.After(one.latency, func() {
		if w.cut[[2]string{one.node.Name, one.server.Name}] {
			one.lost = true
		}
		if !one.lost {
			do()
		}
	})
}

// end tells the client its outcome, once; it hears it when it is awake.
func (one *serving) end(outcome modelclient.Outcome, why string) {
	if one.node.era != one.era {
		return
	}
	one.node.take(func() {
		if one.over || one.node.era != one.era {
			return
		}
		one.over = true
		one.done(outcome, why)
	})
}

// reset is a connection that breaks: the client hears it if it can be reached.
func (one *serving) reset(why string) { one.reach(func() { one.end(modelclient.Cut, why) }) }

// cancel is the client leaving: its outcome no longer matters, and the server
// hears of it if it can be reached.
func (one *serving) cancel() {
	one.over = true
	one.reach(func() { one.server.drop(one) })
}

// Serve sends an order from a node to the server at an address.
func (w *World) Serve(n *Node, request modelclient.Request, piece func(string), done func(modelclient.Outcome, string)) *serving {
	one := &serving{server: w.byAddress[request.Address], node: n, era: n.era, request: request, latency: w.between(150, 900), piece: piece, done: done, lastPiece: w.Now}
	s := one.server
	if s == nil || w.cut[[2]string{n.Name, s.Name}] {
		w.After(clock.Second, func() { one.end(modelclient.NotStarted, "no connection") })
		return one
	}
	var silent func()
	silent = func() {
		if one.over || n.era != one.era {
			return
		}
		if w.Now-one.lastPiece < request.Silence {
			w.After(one.lastPiece+request.Silence-w.Now, silent)
			return
		}
		one.end(modelclient.Cut, "the server was silent")
		one.reach(func() { s.drop(one) })
	}
	w.After(request.Silence, silent)
	w.After(one.latency, func() {
		switch {
		case w.cut[[2]string{n.Name, s.Name}]:
			one.lost = true
		case !s.up:
			w.After(one.latency, func() { one.end(modelclient.NotStarted, "connection refused") })
		case s.mode == "refuse" || len(s.waiting) >= s.queue:
			one.reach(func() { one.end(modelclient.NotStarted, "503") })
		case s.mode == "late":
			// It says no, but only after a good while.
			w.After(2*clock.Second, func() { one.reach(func() { one.end(modelclient.NotStarted, "503") }) })
		default:
			s.enter(one)
		}
	})
	return one
}

func (s *Server) enter(one *serving) {
	w := s.world
	w.seq++
	one.came = w.seq
	// A client that dies closes its connections.
	one.forget = one.node.onCrash(func() { one.reach(func() { s.drop(one) }) })
	if len(s.running) >= s.slots {
		s.waiting = append(s.waiting, one)
		return
	}
	s.begin(one)
}

func (s *Server) begin(one *serving) {
	w := s.world
	s.running[one] = true
	if one.passed != nil && one.passed.stopsHere(one) {
		return
	}
	s.Starts++
	w.Watch.began(modelcontent.Start{At: w.Now, Server: s.Name, Order: one.request.Order, Input: one.request.Input, Resume: one.request.Partial != "" || one.passed.resumes()})
	partial := one.request.Partial
	for _, piece := range modelcontent.Pieces(one.request.Input, pieces) {
		if len(partial) >= len(piece) && partial[:len(piece)] == piece {
			partial = partial[len(piece):]
			continue
		}
		one.left = append(one.left, piece)
	}
	if one.passed != nil {
		one.left = one.passed.rest(one.left)
	}
	prefill := 20 * clock.Millisecond
	for _, known := range s.cache {
		if known == one.request.Prefix {
			prefill = 0
		}
	}
	if s.cache = append(s.cache, one.request.Prefix); len(s.cache) > 4 {
		s.cache = s.cache[1:]
	}
	w.After(prefill+s.speed+one.passed.delay(w), func() { s.next(one) })
}

// next makes the next piece, or the end.
func (s *Server) next(one *serving) {
	w := s.world
	if one.dropped {
		return
	}
	if s.mode == "dark" {
		w.After(20*clock.Millisecond, func() { s.next(one) })
		return
	}
	if s.mode == "cut" && len(one.left) <= pieces/2 {
		s.drop(one)
		one.reset("the stream broke off")
		return
	}
	if one.passed != nil && one.passed.stopsHere(one) {
		return
	}
	if len(one.left) == 0 {
		s.drop(one)
		w.Watch.completed(one.request.Input)
		one.reach(func() { one.end(modelclient.Complete, "") })
		one.passed.surplus(one)
		return
	}
	piece := one.left[0]
	one.left = one.left[1:]
	one.passed.advance()
	one.reach(func() {
		one.node.take(func() {
			if one.over || one.node.era != one.era {
				return
			}
			one.lastPiece = w.Now
			one.piece(piece)
		})
	})
	w.After(s.speed, func() { s.next(one) })
}

// drop frees what an order has on the server, and lets the next in line begin:
// the one of the lowest priority number that came first.
func (s *Server) drop(one *serving) {
	one.dropped = true
	if one.forget != nil {
		one.forget()
	}
	delete(s.running, one)
	for i, other := range s.waiting {
		if other == one {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.wake()
}

// wake lets whoever waits begin, as far as there are slots.
func (s *Server) wake() {
	for s.up && s.mode != "dark" && len(s.running) < s.slots && len(s.waiting) > 0 {
		first := 0
		for i, other := range s.waiting {
			if other.request.Priority < s.waiting[first].request.Priority {
				first = i
			}
		}
		next := s.waiting[first]
		s.waiting = append(s.waiting[:first], s.waiting[first+1:]...)
		s.begin(next)
	}
}

// read is a scout's look at the server's pages.
func (w *World) read(n *Node, look serverpoll.ReadServer) {
	s, began, era := w.byAddress[look.Address], w.Now, n.era
	span := 2 * w.between(150, 900)
	saw := serverpoll.ServerReading{ReadServer: look, Began: began}
	if s == nil || w.cut[[2]string{n.Name, s.Name}] || (s.up && s.mode == "dark") {
		span = clock.Second
	} else if s.up {
		saw.Running, saw.Waiting, saw.Sound = len(s.running), len(s.waiting), true
	}
	w.After(span, func() {
		n.take(func() {
			if n.era == era {
				n.do(n.machine.Call(0, saw, w.Now))
			}
		})
	})
}
