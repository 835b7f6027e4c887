package explore

import (
	"fmt"
	"reflect"
	"slices"

	"tuliprudder/core/control"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// message is one that is in flight.
type message struct {
	from, to string // addresses
	body     any
	held     bool // stays in flight while time goes by
}

func (m message) kind() string { return reflect.TypeOf(m.body).Name() }

// routine tells whether a message only keeps what stands going: it is sent again and
// again, and the coarse runs let it travel while time goes by.
func (m message) routine() bool {
	switch m.body.(type) {
	case control.Heartbeat, replication.Beat, replication.Leased:
		return true
	}
	return false
}

// mostInFlight bounds the messages in flight; the oldest routine ones are lost first.
const mostInFlight = 120

// link is one direction between two processes, by their places, for one type of
// message, or for all of them where it names none.
type link struct {
	from, to int
	message  string
}

// spent counts the trouble that came so far.
type spent struct {
	crashes, wipes, cuts, freezes, losses, puts, passes, leaves int
}

// World is all processes, the messages between them and what operators were told, at
// one point of a run.
type World struct {
	config    *Config
	now       clock.Micros
	processes []*process
	flight    []message
	cut       map[link]bool
	spent     spent
	history   history
	violation *Violation
}

// NewWorld is an empty fleet whose processes have all been started.
func NewWorld(c *Config) *World {
	w := &World{config: c, now: firstMoment, cut: map[link]bool{}}
	for i := range c.Voters {
		w.processes = append(w.processes, c.newProcess(i, 0, processName(i)).booted(c))
	}
	for i := range c.Spares {
		spare := c.newProcess(c.Voters+i, 0, processName(c.Voters+i))
		spare.boot.first = false
		w.processes = append(w.processes, spare)
	}
	return w
}

// Begin is the point from which runs are explored.
func (c *Config) Begin() *World {
	w := NewWorld(c)
	if !c.Empty {
		for i := 0; i < 40 && len(w.leaseHolders()) == 0; i++ {
			w.pass(passStep)
		}
		w.pass(2 * clock.Second)
	}
	for _, event := range c.From {
		w, _ = w.Apply(event)
	}
	return w
}

// clone is the same state, to be changed on its own.
func (w *World) clone() *World {
	next := *w
	next.processes = slices.Clone(w.processes)
	next.flight = slices.Clone(w.flight)
	next.cut = make(map[link]bool, len(w.cut))
	for l := range w.cut {
		next.cut[l] = true
	}
	next.history = w.history.clone()
	return &next
}

// Violation is the property that was found broken, or nil.
func (w *World) Violation() *Violation { return w.violation }

func (w *World) place(name string) int {
	return slices.IndexFunc(w.processes, func(p *process) bool { return p.name == name })
}

func (w *World) at(address string) int {
	return slices.IndexFunc(w.processes, func(p *process) bool { return p.address() == address })
}

// do has a process take a command and carries out what it decided.
func (w *World) do(place int, command control.Command) {
	p := w.processes[place]
	if !p.up {
		return
	}
	next, effects, failed := p.do(w.config, command, w.now)
	w.processes[place] = next
	if failed != nil {
		w.fail(NoPanic, "%s: %v", p.name, failed)
	}
	for _, effect := range effects {
		if w.config.OnEffect != nil {
			w.config.OnEffect(w.now, place, effect)
		}
		w.carryOut(place, effect)
	}
}

func (w *World) carryOut(place int, effect machine.Effect) {
	p := w.processes[place]
	switch e := effect.(type) {
	case machine.Send:
		w.send(message{from: p.address(), to: e.To, body: e.Body})
	case machine.Store:
		w.write(place, write{records: e.Records, token: e.Token})
	case machine.Fold:
		w.write(place, write{records: e.Records, fold: true})
	case machine.Answer:
		w.answered(place, e.Call, e.Body, e.Err)
	case machine.Broadcast:
		w.answered(place, e.Call, e.Body, nil)
	case machine.Publish:
		w.published(place, e.Update)
	case machine.Halt:
		w.processes[place] = p.ended(len(p.unsynced))
	}
}

func (w *World) send(m message) {
	w.checkSender(m)
	w.flight = append(w.flight, m)
	if len(w.flight) <= mostInFlight {
		return
	}
	oldest := max(0, slices.IndexFunc(w.flight, message.routine))
	w.flight = slices.Delete(w.flight, oldest, oldest+1)
}

func (w *World) write(place int, request write) {
	next := *w.processes[place]
	next.unsynced = append(slices.Clip(next.unsynced), request)
	next.print = 0
	w.processes[place] = &next
	if w.config.fault().EarlySync && !request.fold {
		w.do(place, control.Stored{Token: request.token})
	}
}

// sync makes the oldest write of a process durable and tells the machine.
func (w *World) sync(place int) bool {
	p := w.processes[place]
	if len(p.unsynced) == 0 || p.clogged {
		return false
	}
	request := p.unsynced[0]
	next := *p
	next.unsynced, next.print = p.unsynced[1:], 0
	next.disk = written(p.disk, request)
	w.processes[place] = &next
	w.voted(&next, request.records)
	if !request.fold && !w.config.fault().EarlySync {
		w.do(place, control.Stored{Token: request.token})
	}
	return true
}

// deliver hands a message to its receiver; false where it can't arrive now.
func (w *World) deliver(m message) bool {
	from, to := w.at(m.from), w.at(m.to)
	if to < 0 || !w.processes[to].up || w.processes[to].frozen || w.lost(from, to, m.kind()) {
		return false
	}
	w.do(to, control.Letter{From: m.from, Body: m.body})
	return true
}

// lost tells whether a link or what it carries of a type is cut.
func (w *World) lost(from, to int, kind string) bool {
	return w.cut[link{from, to, ""}] || w.cut[link{from, to, kind}]
}

// waits tells whether a message stays in flight while others travel.
func (w *World) waits(m message) bool {
	to := w.at(m.to)
	return m.held || to >= 0 && w.processes[to].up && w.processes[to].frozen
}

// mostRounds bounds the exchanges that one moment may take.
const mostRounds = 40

// settle delivers all messages that aren't held, and syncs all writes.
func (w *World) settle() {
	for range mostRounds {
		moved := false
		for place, p := range w.processes {
			for !p.frozen && w.sync(place) {
				moved = true
			}
		}
		run := w.flight
		w.flight = nil
		for _, m := range run {
			if w.waits(m) {
				w.flight = append(w.flight, m)
				continue
			}
			moved = true
			w.deliver(m)
		}
		if !moved {
			return
		}
	}
}

// passStep is how often clock events come while time goes by fairly.
const passStep = 250 * clock.Millisecond

// pass lets time go by fairly: each process has its clock events, messages arrive
// and writes are synced.
func (w *World) pass(span clock.Micros) {
	for end := w.now + span; w.now < end && w.violation == nil; {
		w.now += min(passStep, end-w.now)
		w.check() // before anybody hears that time went by
		for place, p := range w.processes {
			if !p.frozen {
				w.do(place, control.ClockEvent{})
			}
		}
		w.settle()
		w.check()
	}
}

// find is the place of a message in flight, by its link, type and turn.
func (w *World) find(e Event) int {
	from, to := w.place(e.Processes[0]), w.place(e.Processes[1])
	turn := 0
	for i, m := range w.flight {
		if w.at(m.from) != from || w.at(m.to) != to || from < 0 || to < 0 || m.kind() != e.Message {
			continue
		}
		if turn == e.Index {
			return i
		}
		turn++
	}
	return -1
}

// Apply is the state after an event; false where the event can't happen.
func (w *World) Apply(e Event) (*World, bool) {
	next := w.clone()
	if !next.apply(e) {
		return w, false
	}
	next.check()
	return next, true
}

func (w *World) apply(e Event) bool {
	switch e.Kind {
	case Pass:
		w.spent.passes++
		w.pass(e.Span)
		return true
	case Advance:
		w.spent.passes++
		w.now += e.Span
		return true
	case Settle:
		w.settle()
		return true
	case Deliver, Drop, Repeat, Hold:
		return w.applyToMessage(e)
	case Cut, Mute, Deafen, Starve, Heal:
		return w.applyToLinks(e)
	case Blackout:
		w.spent.crashes++
		for place, p := range w.processes {
			if p.up {
				w.processes[place] = p.ended(e.Keep)
			}
		}
		return true
	}
	place := w.place(e.Processes[0])
	return place >= 0 && w.applyToProcess(e, place)
}

func (w *World) applyToMessage(e Event) bool {
	i := w.find(e)
	if i < 0 {
		return false
	}
	m := w.flight[i]
	if e.Kind != Deliver {
		w.spent.losses++
	}
	switch e.Kind {
	case Hold:
		w.flight[i].held = true
		return !m.held
	case Deliver, Drop:
		w.flight = slices.Delete(w.flight, i, i+1)
	}
	return e.Kind == Drop || w.deliver(m)
}

func (w *World) applyToLinks(e Event) bool {
	before := len(w.cut)
	if e.Kind == Heal {
		clear(w.cut)
		return before > 0
	}
	w.spent.cuts++
	if e.Kind == Starve {
		from, to := w.place(e.Processes[0]), w.place(e.Processes[1])
		w.cut[link{from, to, e.Message}] = true
		return from >= 0 && to >= 0 && len(w.cut) > before
	}
	for from, sender := range w.processes {
		for to, receiver := range w.processes {
			out, in := slices.Contains(e.Processes, sender.name), slices.Contains(e.Processes, receiver.name)
			if e.Kind == Cut && out != in || e.Kind == Mute && out && !in || e.Kind == Deafen && in && !out {
				w.cut[link{from, to, ""}] = true
			}
		}
	}
	return len(w.cut) > before
}

//revive:disable-next-line:cyclomatic one case for each kind of event
func (w *World) applyToProcess(e Event, place int) bool {
	p := w.processes[place]
	if e.Kind != Start && e.Kind != Wipe && e.Kind != Replace && !p.up {
		return false
	}
	switch e.Kind {
	case Tick:
		if p.frozen {
			return false
		}
		w.do(place, control.ClockEvent{})
	case Sync:
		return !p.frozen && w.sync(place)
	case Crash:
		w.spent.crashes++
		w.processes[place] = p.ended(e.Keep)
	case Start:
		if p.up {
			return false
		}
		w.processes[place] = p.booted(w.config)
	case Wipe, Replace:
		w.spent.wipes++
		w.wipe(place, e.Kind == Replace)
	case Freeze, Thaw:
		next := *p
		next.frozen, next.print = e.Kind == Freeze, 0
		if next.frozen {
			w.spent.freezes++
		}
		w.processes[place] = &next
		return next.frozen != p.frozen
	case Clog, Unclog:
		return w.clog(place, e.Kind == Clog)
	case Put:
		return w.put(place, e.Order)
	case Leave:
		w.spent.leaves++
		return w.leave(place)
	}
	return true
}

// clog has the disk of a process take no writes, or take them again.
func (w *World) clog(place int, clogged bool) bool {
	before := w.processes[place].clogged
	next := *w.processes[place]
	next.clogged, next.unclogged, next.print = clogged, w.now, 0
	w.processes[place] = &next
	if clogged {
		w.spent.freezes++
	}
	w.do(place, control.DiskChanged{State: machine.DiskState{Writable: !clogged, Reason: "explored"}})
	return before != clogged
}

// leave tells a process that it is about to go.
func (w *World) leave(place int) bool {
	w.do(place, control.Leave{})
	next := *w.processes[place]
	next.leaving, next.print = true, 0
	w.processes[place] = &next
	return true
}

// wipe ends a process for good and starts an empty one in its place.
func (w *World) wipe(place int, elsewhere bool) {
	p := w.processes[place]
	w.history.lost = append(w.history.lost, p.id())
	w.history.wiped = append(w.history.wiped, p.id())
	address := p.address()
	if elsewhere {
		address = p.name + "-moved"
		for w.at(address) >= 0 {
			address += "-again"
		}
	}
	next := w.config.newProcess(place, p.generation+1, address)
	if w.config.fault().KeepIdentity {
		next.boot.self.ID, next.boot.life = p.boot.self.ID, p.boot.life
	}
	w.processes[place] = next.booted(w.config)
}

// put hands an operator's order to a process that serves.
func (w *World) put(place int, name string) bool {
	index := slices.IndexFunc(orders, func(o Order) bool { return o.Name == name })
	if index < 0 || w.processes[place].frozen {
		return false
	}
	w.spent.puts++
	w.ask(place, w.history.asked(index), orders[index])
	return true
}

func (w *World) ask(place int, call uint64, order Order) {
	w.do(place, control.Call{Number: call, Body: control.PutPlanAsk{Body: []byte(order.Body), Number: order.Number,
		Base: order.Base, HasBase: order.HasBase, By: "operator", Expiry: orderExpiry}})
}

// Account tells how each process stands, a line each.
func (w *World) Account() []string {
	var lines []string
	for _, p := range w.processes {
		if !p.up {
			lines = append(lines, fmt.Sprintf("%s (%s): down", p.name, p.id()))
			continue
		}
		core := p.machine(w.config)
		vote := core.Vote()
		latest, _ := core.State().Latest()
		_, leased := w.probe(p)
		lines = append(lines, fmt.Sprintf("%s (%s): %s in epoch %d, lease %t, term %d, committed %d, newest configuration %d",
			p.name, p.id(), core.Groups().Group(coreUnit).Role, p.epoch, leased, vote.Term, vote.Committed.Epoch, latest.Number))
	}
	return lines
}
