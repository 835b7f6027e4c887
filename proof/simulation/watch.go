package simulation

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/membership/identity"
)

// Watch is the callers and the checks of a simulated fleet.
type Watch struct {
	w        *World
	Breaches []Breach
	Checked  map[Promise]int
	Bundles  []*Handed
	byID     map[string]*Handed
	byKey    map[string]*Handed
	Orders   []*Order
	byInput  map[string]*Order
	open     []*Order // live orders without a word yet
	holds    map[string]string
	feedSeen map[string]int
	feedLast map[string]int64
	FeedRows int
	token    string
	Reading  bool
	Calling  bool
	plans    map[uint64]string
	Puts     []*Put
	Reads    []*ConfigRead
	// docs are the configurations of the day, numbered in the order they were
	// written; documents is the last number.
	docs      map[string]int
	documents int
	Claims    []*Claimed
	winners   map[string]string
	Entries   []*Entry
	marks     map[string][]mark
	words     map[string]int          // the platform's words on each server, counted
	Served    map[string]clock.Micros // by edge and route: the last whole answer
	Counts    map[string]int
	Started   int // orders that began on servers
	Passed    int // requests that were handed in to be passed on
	// MostWaiting is the most that waited of each customer, SlowestRow the longest
	// from a whole result to a waiting reader with no fault near, SlowestBack the
	// longest until a kind of service was back after the day's last fault.
	MostWaiting map[string]int
	SlowestRow  clock.Micros
	SlowestBack clock.Micros
	SlowestKind string
	// AfterReceipt is told of each bundle as its caller hears that it is accepted.
	AfterReceipt func(h *Handed, keeper string)
	Busy         int
	// Recovery is what was measured before the day's failures.
	Recovery Recovery
	// Undecided counts histories that the checker did not decide in time.
	Undecided int
	number    int
	Faults    int
}

func newWatch(w *World) *Watch {
	return &Watch{w: w, Checked: map[Promise]int{}, byID: map[string]*Handed{}, byKey: map[string]*Handed{}, byInput: map[string]*Order{}, holds: map[string]string{}, feedSeen: map[string]int{}, feedLast: map[string]int64{}, plans: map[uint64]string{}, docs: map[string]int{}, winners: map[string]string{},
		marks: map[string][]mark{}, words: map[string]int{}, Served: map[string]clock.Micros{}, Counts: map[string]int{}, MostWaiting: map[string]int{}}
}

const (
	customer  = "caller"
	callerKey = "key-caller"
)

// edgeNode picks a live edge.
func (v *Watch) edgeNode() *Node {
	var live []*Node
	for _, name := range v.w.Names(identity.Edge) {
		if n := v.w.Nodes[name]; n.up && !n.frozen {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[v.w.Chance.Intn(len(live))]
}

// here asks an edge for a caller, over a connection that breaks when it crashes;
// back is told once.
func (v *Watch) here(n *Node, body any, back func(any, error)) {
	over := false
	var forget func()
	finish := func(answer any, err error) {
		if !over {
			over = true
			forget()
			back(answer, err)
		}
	}
	lost := func() {
		finish(nil, errs.New(errs.OutcomeUnknown, "ask again with the same key", "the connection broke"))
	}
	forget = func() {}
	if !n.up {
		v.w.After(clock.Millisecond, func() { finish(nil, errs.New(errs.NotReady, "ask another edge", "no connection")) })
		return
	}
	forget = n.onCrash(lost)
	v.w.After(patience, lost)
	n.Here(body, finish)
}
