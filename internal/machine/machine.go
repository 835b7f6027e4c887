// Package machine has the inputs and outputs of every state machine (DESIGN §2):
// commands and the time in, effects out. Nothing here touches a thread, a socket,
// a file or a clock.
package machine

import "tuliprudder/internal/clock"

// Effect is one thing that a machine asks the event loop to do.
type Effect interface{ effect() }

// Send passes a message to a daemon by its address; it may be lost.
type Send struct {
	To   string
	Body any
}

// Record is one durable entry: it belongs to a unit and is read back in order.
type Record struct {
	Unit  string `json:"unit"`
	Kind  string `json:"kind"`
	Epoch uint64 `json:"epoch,omitempty"`
	Seq   uint64 `json:"seq,omitempty"`
	Body  []byte `json:"body,omitempty"`
}

// Persist writes records and syncs; the event loop answers with Stored{Token}.
type Persist struct {
	Token   uint64
	Records []Record
}

// Compact replaces all records stored so far by these, which say the same.
type Compact struct{ Records []Record }

// Archive puts settled records away in a file of their own, to be read back one
// by one; the event loop answers with Stored{Token}. Unshelve removes such files.
type Archive struct {
	Token   uint64
	File    uint64
	Records []Record
}

// DeleteArchive removes files that nothing refers to any more.
type DeleteArchive struct{ Files []uint64 }

// Reply ends a call that came in with a call number.
type Reply struct {
	Call uint64
	Body any
	Err  error
}

// Update is one versioned value: the highest (Epoch, Seq) of a key wins. Its JSON is on the
// disks of the cores; the keys never change.
type Update struct {
	Key   string `json:"Key"`
	Epoch uint64 `json:"Epoch"`
	Seq   uint64 `json:"Seq"`
	Value []byte `json:"Value"`
}

// Newer tells whether r replaces other.
func (r Update) Newer(other Update) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Seq > other.Seq
}

// Publish hands an update to the gossip node.
type Publish struct{ Update Update }

// UpdateReceived tells the daemon's other machines that an update was received.
type UpdateReceived struct{ Update Update }

// Halt ends the daemon: going on would put a promise at risk.
type Halt struct{ Err error }

// Execute asks the request path to run something (an item of a batch).
type Execute struct{ Task any }

func (Send) effect()           {}
func (Persist) effect()        {}
func (Compact) effect()        {}
func (Archive) effect()        {}
func (DeleteArchive) effect()  {}
func (Reply) effect()          {}
func (Publish) effect()        {}
func (UpdateReceived) effect() {}
func (LogEvent) effect()       {}
func (Execute) effect()        {}

// Command is one input of a machine of type M.
type Command[M any] interface {
	Apply(machine M, now clock.Micros)
}

// Effects collects the effects of one step.
type Effects struct{ list []Effect }

// Emit adds an effect.
func (o *Effects) Emit(e Effect) { o.list = append(o.list, e) }

// Drain returns the effects collected and begins anew.
func (o *Effects) Drain() []Effect {
	out := o.list
	o.list = nil
	return out
}

func (Halt) effect() {}
