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
	"tuliprudder/path/scouts"
)

// EdgeSettings are an edge's; the defaults are ours.
type EdgeSettings struct {
	Dispatch   scheduler.Settings
	Trek       requests.Settings
	Ford       proxy.Settings
	ScoutEvery clock.Micros
}

// EdgeDefaults are the starting values.
func EdgeDefaults() EdgeSettings {
	return EdgeSettings{Dispatch: scheduler.Defaults(), Trek: requests.Defaults(), Ford: proxy.Defaults(), ScoutEvery: 400 * clock.Millisecond}
}

// Edge is the machine of an edge daemon: orders, forwarded requests, reading,
// shares, scouts.
type Edge struct {
	*Road
	Reader *reader.Reader
	Trek   *requests.Machine
	Ford   *proxy.Proxy
	Scouts *scouts.Scouts
	Book   *decisionlog.Book
}

// NewEdge puts an edge's machine together; the seed makes its choices repeatable.
func NewEdge(self string, set EdgeSettings, seed int64) *Edge {
	e := &Edge{Road: newRoad(self, set.Dispatch, seed, func(*Road) func(string) int { return nil }), Book: decisionlog.New(8192)}
	e.Reader = reader.New(e.Wire)
	e.Purse.Map = func() (state.Map, bool) { return e.Reader.Map(), e.Reader.Map().Seq > 0 }
	e.Trek = requests.New(set.Trek, e.Wire, e.Dispatch, e.Purse, e.Reader, e.Book)
	e.Ford = proxy.New(set.Ford, e.Wire, e.Dispatch, seed+1)
	e.Scouts = scouts.New(self, set.ScoutEvery, e.Wire, e.Dispatch, e.Folk)
	return e
}

// Message is not for an edge: its machine takes asks alone.
func (e *Edge) Message(string, any, clock.Micros) []machine.Effect { return nil }

// Stored is not for an edge: it keeps nothing.
func (e *Edge) Stored(uint64, clock.Micros) []machine.Effect { return nil }

// Heard is an update.
func (e *Edge) Heard(update machine.Update, now clock.Micros) []machine.Effect {
	e.hear(update, now)
	e.Scouts.Hear(update)
	e.Reader.Hear(update, now)
	return e.settle(now)
}

// Answered is another daemon's answer.
func (e *Edge) Answered(token uint64, body any, err error, now clock.Micros) []machine.Effect {
	e.Wire.Answered(token, body, err, now)
	return e.settle(now)
}

// Close turns new live orders away; what waits is dropped.
type Close struct{}

// Call is an ask, of a caller's by the event loop or of another daemon's.
func (e *Edge) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	switch ask := body.(type) {
	case scouts.Looked:
		e.Scouts.Saw(ask, now)
		e.Wire.Emit(machine.Answer{Call: number})
	case reader.Left:
		e.Reader.Leave(ask)
		e.Wire.Emit(machine.Answer{Call: number})
	case nil:
		e.Wire.Emit(machine.Answer{Call: number}) // a caller left whose order goes on
	case Close:
		e.Dispatch.Close(now)
		e.Wire.Emit(machine.Answer{Call: number})
	default:
		if !e.Ford.Call(number, body, now) && !e.Trek.Call(number, body, now) && !e.Purse.Call(number, body, now) {
			e.Wire.Emit(machine.Answer{Call: number, Err: errs.New(errs.BadInput, "ask a daemon of the right kind", "an edge answers no such ask: %T", body)})
		}
	}
	return e.settle(now)
}

// ClockEvent lets the edge do what is due.
func (e *Edge) ClockEvent(now clock.Micros) []machine.Effect {
	e.Purse.ClockEvent(now)
	e.Reader.ClockEvent(now)
	e.Scouts.ClockEvent(now)
	e.Dispatch.Match(now)
	return e.settle(now)
}
