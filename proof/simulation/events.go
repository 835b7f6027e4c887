package simulation

import (
	"container/heap"
	"fmt"
	"strings"

	"tuliprudder/kernel/clock"
)

type event struct {
	at  clock.Micros
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// After does something later.
func (w *World) After(span clock.Micros, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.Now + span, seq: w.seq, do: do})
}

func (w *World) between(least, most clock.Micros) clock.Micros {
	return least + clock.Micros(w.Chance.Int63n(int64(most-least+1)))
}

// Run lets time pass.
func (w *World) Run(span clock.Micros) {
	end := w.Now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.Now = next.at
		w.Steps++
		next.do()
	}
	w.Now = end
}

// Until lets time pass until a condition holds; false when it does not in time.
func (w *World) Until(most clock.Micros, holds func() bool) bool {
	end := w.Now + most
	for !holds() {
		if w.Now >= end {
			return false
		}
		w.Run(50 * clock.Millisecond)
	}
	return true
}

// Note adds a line to the trace, which keeps only the newest.
func (w *World) Note(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3fs ", float64(w.Now-1_000_000_000)/1e6)+fmt.Sprintf(format, args...))
	if len(w.Trace) > 4000 {
		w.Trace = w.Trace[len(w.Trace)-2000:]
	}
}

// Report is a day's breaches with the tail of its trace.
func (w *World) Report(lines int) string {
	trace := w.Trace
	if len(trace) > lines {
		trace = trace[len(trace)-lines:]
	}
	var breaches []string
	for _, b := range w.Watch.Breaches {
		breaches = append(breaches, b.String())
	}
	return fmt.Sprintf("breaches:\n  %s\ntrace:\n  %s", strings.Join(breaches, "\n  "), strings.Join(trace, "\n  "))
}
