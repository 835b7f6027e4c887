// Package servingsim simulates how a fleet decides under load: edges that carry live requests and
// stores that run batch items, before model servers whose memory is counted in tokens. The decisions
// are those of the daemons' own machines (package proxy through machines.Edge, package execution,
// package batchshare); the control plane, disks and faults of daemons are left out (test/simulator
// has them). Time is virtual and everything is drawn from one seed, so a run repeats.
package servingsim

import (
	"container/heap"
	"fmt"
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

// World is a run: its time, its events and all that takes part.
type World struct {
	Deployment Deployment
	Result     Result

	random  *rand.Rand
	now     clock.Micros
	events  eventHeap
	lastSeq uint64

	servers  map[string]*server // by name
	daemons  map[string]daemon  // by address
	edges    []*edge
	stores   []*store
	requests int // live requests so far
	batches  int
	open     []*batch // all batches, in their order

	startedAt clock.Micros // of the traffic
	scaler    *scaler      // nil: the servers stay as they are
}

// daemon receives other daemons' messages.
type daemon interface{ receive(from string, body any) }

// event is something that happens at a time.
type event struct {
	at  clock.Micros
	seq uint64 // of two at one time the earlier one goes first
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// after runs something a while from now.
func (w *World) after(delay clock.Micros, run func()) {
	w.lastSeq++
	heap.Push(&w.events, event{at: w.now + max(0, delay), seq: w.lastSeq, run: run})
}

// runUntil lets time go by.
func (w *World) runUntil(end clock.Micros) {
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// exponential draws a time with this mean.
func (w *World) exponential(mean float64) clock.Micros {
	return clock.Micros(w.random.ExpFloat64() * mean * float64(clock.Second))
}

// spread draws a number with this mean, at most maxFactor times the mean.
func (w *World) spread(mean, spread, maxFactor float64) int {
	value := mean * (1 + spread*(w.random.ExpFloat64()-1))
	return int(min(max(value, mean/4), maxFactor*mean))
}

// oneWay is the time of a message between two zones.
func (w *World) oneWay(from, to string) clock.Micros {
	if from == to {
		return w.Deployment.InZone
	}
	return w.Deployment.BetweenZones
}

// send carries a message to the daemon at an address.
func (w *World) send(from, fromZone, to string, body any) {
	target := w.daemons[to]
	if target == nil {
		return
	}
	w.Result.Messages++
	w.after(w.oneWay(fromZone, w.zoneOf(to)), func() { target.receive(from, body) })
}

func (w *World) zoneOf(address string) string {
	switch d := w.daemons[address].(type) {
	case *edge:
		return d.zone
	case *store:
		return d.zone
	}
	return ""
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// loadReport is a server's load as its answer tells it; nil where servers tell none.
func (w *World) loadReport(load serverLoad) *endpoints.ReportedLoad {
	if !w.Deployment.ReportsLoad {
		return nil
	}
	return &endpoints.ReportedLoad{Running: load.running, Waiting: load.waiting, Slots: w.Deployment.Engine.Slots}
}
