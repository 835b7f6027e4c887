// Package decisionlog remembers what a daemon decided about its latest orders, so
// that the operators can have any of them explained (DESIGN §10.3).
package decisionlog

import (
	"sort"
	"sync"

	"tuliprudder/kernel/clock"
	"tuliprudder/path/scoring"
)

// Try is one assignment of an order.
type Try struct {
	Server  string          `json:"server"`
	Scores  []scoring.Score `json:"marks"`
	At      clock.Micros    `json:"at_us"`
	Took    clock.Micros    `json:"took_us"`
	Outcome string          `json:"outcome"`
	Error   string          `json:"error,omitempty"`
}

// Entry is what happened to one order.
type Entry struct {
	Order    string       `json:"order"`
	Customer string       `json:"customer"`
	Route    string       `json:"route"`
	Rank     int64        `json:"rank"`
	Arrived  clock.Micros `json:"arrived_us"`
	Tries    []Try        `json:"tries"`
	End      string       `json:"end,omitempty"`
}

// Log keeps the latest entries, a bounded number of them.
type Log struct {
	mu      sync.Mutex
	entries map[string]*Entry
	order   []string
	next    int
}

const mostTries = 16

// New makes a log for so many entries.
func New(size int) *Log {
	return &Log{entries: map[string]*Entry{}, order: make([]string, max(1, size))}
}

// Begin opens an order's entry, or goes on with it; the oldest makes room.
func (b *Log) Begin(s Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries[s.Order] != nil {
		return
	}
	if old := b.order[b.next]; old != "" {
		delete(b.entries, old)
	}
	b.order[b.next] = s.Order
	b.next = (b.next + 1) % len(b.order)
	b.entries[s.Order] = &s
}

// Tried adds an assignment to an order's entry.
func (b *Log) Tried(order string, try Try) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.entries[order]; s != nil && len(s.Tries) < mostTries {
		s.Tries = append(s.Tries, try)
	}
}

// Ended notes how an order went.
func (b *Log) Ended(order, end string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.entries[order]; s != nil {
		s.End = end
	}
}

// Find finds an order's entry.
func (b *Log) Find(order string) (Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.entries[order]
	if s == nil {
		return Entry{}, false
	}
	out := *s
	out.Tries = append([]Try(nil), s.Tries...)
	return out, true
}

// Slowest lists the entries that took longest from arrival to their last try's
// end, the slowest first.
func (b *Log) Slowest(count int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Entry, 0, len(b.entries))
	for _, s := range b.entries {
		if len(s.Tries) > 0 {
			one := *s
			one.Tries = append([]Try(nil), s.Tries...)
			out = append(out, one)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].span() > out[j].span() })
	return out[:min(count, len(out))]
}

func (s Entry) span() clock.Micros {
	last := s.Tries[len(s.Tries)-1]
	return last.At + last.Took - s.Arrived
}
