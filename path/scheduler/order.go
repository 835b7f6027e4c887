package scheduler

import (
	"container/list"
	"hash/fnv"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
)

// Order is one piece of work that looks for a server.
type Order struct {
	ID       string
	Customer string
	Route    *config.Route
	Rank     int64
	Bundle   bool
	Weight   int // what it counts for while it waits; 0 counts as 1
	Prefix   string
	Prompt   int64          // tokens that the server reads before it begins
	Expiry   clock.Micros   // 0: none
	Avoid    map[string]int // servers that rejected it
	// Pools, where set, are those that serve this order instead of its route's.
	Pools config.Selector
	// Permit is asked right before the start; false drops the order.
	Permit func(now clock.Micros) bool
	// Start is called with the chosen server.
	Start func(assignment *Assignment, now clock.Micros)
	// Drop ends an order that never started.
	Drop func(err error, now clock.Micros)

	since     clock.Micros
	seq       uint64
	heapIndex int
	element   *list.Element
	started   bool
	gone      bool
}

func (o *Order) weight() int { return max(1, o.Weight) }

func levelOf(o *Order) int64 {
	if o.Bundle {
		return 2 * o.Rank
	}
	return 2*o.Rank + 1
}

func prefixOf(o *Order) uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Route.Model + "\x00" + o.Prefix))
	return h.Sum64()
}
