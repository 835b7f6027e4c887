package machines

import (
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/proxy"
	"tuliprudder/path/reader"
	"tuliprudder/path/requests"
	"tuliprudder/path/scheduler"
	"tuliprudder/path/serverpoll"
)

// EdgeSettings are the settings of an edge daemon's machine.
type EdgeSettings struct {
	Scheduler scheduler.Settings
	Requests  requests.Settings
	Proxy     proxy.Settings
	PollEvery clock.Micros
}

// EdgeDefaults are the values used where nothing is set.
func EdgeDefaults() EdgeSettings {
	return EdgeSettings{Scheduler: scheduler.Defaults(), Requests: requests.Defaults(), Proxy: proxy.Defaults(), PollEvery: 400 * clock.Millisecond}
}

// Edge is the machine of an edge daemon: orders, forwarded requests, reading,
// shares, serverpoll.
type Edge struct {
	*Scheduling
	Reader      *reader.Reader
	Requests    *requests.Machine
	Proxy       *proxy.Proxy
	ServerPolls *serverpoll.Poller
	Decisions   *decisionlog.Log
}

// NewEdge puts an edge's machine together; the seed makes its choices repeatable.
func NewEdge(self string, set EdgeSettings, seed int64) *Edge {
	e := &Edge{Scheduling: newScheduling(self, set.Scheduler, seed, func(*Scheduling) func(string) int { return nil }), Decisions: decisionlog.New(8192)}
	e.Reader = reader.New(e.Wire)
	e.Quota.Map = func() (state.Map, bool) { return e.Reader.Map(), e.Reader.Map().Seq > 0 }
	e.Requests = requests.New(set.Requests, e.Wire, e.Scheduler, e.Quota, e.Reader, e.Decisions)
	e.Proxy = proxy.New(set.Proxy, e.Wire, e.Scheduler, seed+1)
	e.ServerPolls = serverpoll.New(self, set.PollEvery, e.Wire, e.Scheduler, e.Members)
	return e
}

// Message does nothing: an edge takes requests alone.
func (e *Edge) Message(string, any, clock.Micros) []machine.Effect { return nil }

// Stored does nothing: an edge has no disk.
func (e *Edge) Stored(uint64, clock.Micros) []machine.Effect { return nil }

// Disk is not for an edge either.
func (e *Edge) Disk(machine.DiskState, clock.Micros) []machine.Effect { return nil }

// FoldAgain is not for an edge either.
func (e *Edge) FoldAgain(clock.Micros) []machine.Effect { return nil }

// Heard handles an update that was received.
func (e *Edge) Heard(update machine.Update, now clock.Micros) []machine.Effect {
	e.receive(update, now)
	e.ServerPolls.Receive(update)
	e.Reader.Receive(update, now)
	return e.finish(now)
}

// Answered handles another daemon's answer.
func (e *Edge) Answered(token uint64, body any, err error, now clock.Micros) []machine.Effect {
	e.Wire.Answered(token, body, err, now)
	return e.finish(now)
}

// Close makes the edge reject new live orders; those that wait are dropped.
type Close struct{}

// Call handles a request, of a caller through the event loop or of another daemon.
func (e *Edge) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	switch ask := body.(type) {
	case serverpoll.ServerReading:
		e.ServerPolls.Report(ask, now)
		e.Wire.Emit(machine.Answer{Call: number})
	case reader.Left:
		e.Reader.Leave(ask)
		e.Wire.Emit(machine.Answer{Call: number})
	case nil:
		e.Wire.Emit(machine.Answer{Call: number}) // a caller left whose order goes on
	case Close:
		e.Scheduler.Close(now)
		e.Wire.Emit(machine.Answer{Call: number})
	default:
		if !e.Proxy.Call(number, body, now) && !e.Requests.Call(number, body, now) && !e.Quota.Call(number, body, now) {
			e.Wire.Emit(machine.Answer{Call: number, Err: errs.New(errs.BadInput, "ask a daemon of the right kind", "an edge answers no such ask: %T", body)})
		}
	}
	return e.finish(now)
}

// ClockEvent runs the duties that are due.
func (e *Edge) ClockEvent(now clock.Micros) []machine.Effect {
	e.Quota.ClockEvent(now)
	e.Reader.ClockEvent(now)
	e.ServerPolls.ClockEvent(now)
	e.Scheduler.Match(now)
	return e.finish(now)
}
