// Package servingsim simulates the scheduling decisions of a fleet under load: edges that serve live
// requests and stores that run batch items, in front of model servers whose memory is counted in tokens.
// The decisions are made by the daemons' own code (package proxy through machines.Edge, package
// execution, package batchshare). The control plane, disks and daemon faults are not simulated;
// test/simulator covers them. Time is virtual and all randomness comes from one seed, so runs are
// reproducible.
package servingsim

import (
	"container/heap"
	"fmt"
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

// World is the state of a simulation run: its clock, pending events, servers and daemons.
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
	open     []*batch // all batches in order of submission, finished ones included

	startedAt clock.Micros // of the traffic
	scaler    *scaler      // nil: no autoscaling
}

// daemon receives other daemons' messages.
type daemon interface{ receive(from string, body any) }

// event is a function to run at a given time.
type event struct {
	at  clock.Micros
	seq uint64 // order of events with the same time
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

// after schedules a function after a delay; a negative delay counts as 0.
func (w *World) after(delay clock.Micros, run func()) {
	w.lastSeq++
	heap.Push(&w.events, event{at: w.now + max(0, delay), seq: w.lastSeq, run: run})
}

// runUntil runs all events up to a time.
func (w *World) runUntil(end clock.Micros) {
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// exponential draws an exponentially distributed time; mean is in seconds.
func (w *World) exponential(mean float64) clock.Micros {
	return clock.Micros(w.random.ExpFloat64() * mean * float64(clock.Second))
}

// spread draws a shifted exponential value, limited to between mean/4 and maxFactor times the mean.
func (w *World) spread(mean, spread, maxFactor float64) int {
	value := mean * (1 + spread*(w.random.ExpFloat64()-1))
	return int(min(max(value, mean/4), maxFactor*mean))
}

// oneWay returns the one-way delay of a message between two zones.
func (w *World) oneWay(from, to string) clock.Micros {
	if from == to {
		return w.Deployment.InZone
	}
	return w.Deployment.BetweenZones
}

// send delivers a message to the daemon at an address, if there is one, after the network delay.
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

// loadReport returns a server's load as reported with its answer; nil if servers report none.
func (w *World) loadReport(load serverLoad) *endpoints.ReportedLoad {
	if !w.Deployment.ReportsLoad {
		return nil
	}
	return &endpoints.ReportedLoad{Running: load.running, Waiting: load.waiting, Slots: w.Deployment.Engine.Slots}
}
