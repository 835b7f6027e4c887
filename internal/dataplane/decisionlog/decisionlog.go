// Package decisionlog records a daemon's decisions about its latest requests, so that
// operators can look up how a request was handled (docs/DESIGN.md section 10.3).
//
// A Log keeps a bounded number of entries and evicts the oldest. It is safe for
// concurrent use: the daemon's state machine writes it and the operators' API reads it. It
// returns copies of its entries.
package decisionlog

import (
	"cmp"
	"slices"
	"sync"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/scoring"
)

// maxAttempts is the maximum number of attempts kept per request; later ones are not recorded.
const maxAttempts = 16

// Attempt is one assignment of a request to a server.
type Attempt struct {
	Server    string          `json:"server"`
	Scores    []scoring.Score `json:"marks"` // scores by which this server was chosen
	StartedAt clock.Micros    `json:"at_us"`
	Duration  clock.Micros    `json:"took_us"`
	Outcome   string          `json:"outcome"`
	Error     string          `json:"error,omitempty"`
}

// Entry records how a request was handled.
type Entry struct {
	RequestID  string       `json:"order"`
	Tenant     string       `json:"customer"`
	Route      string       `json:"route"`
	Priority   int64        `json:"rank"`
	ReceivedAt clock.Micros `json:"arrived_us"`
	Attempts   []Attempt    `json:"tries"`
	Outcome    string       `json:"end,omitempty"` // "" while the request is in progress
}

// latency returns the time from the request's arrival to the end of its last attempt. The
// entry must have an attempt.
func (e Entry) latency() clock.Micros {
	last := e.Attempts[len(e.Attempts)-1]
	return last.StartedAt + last.Duration - e.ReceivedAt
}

func (e Entry) clone() Entry {
	e.Attempts = slices.Clone(e.Attempts)
	return e
}

// Log keeps the latest entries.
type Log struct {
	mu      sync.Mutex        // guards all fields below
	entries map[string]*Entry // by request ID
	ring    []string          // request IDs; "" in unused places
	next    int               // index in ring of the next entry to replace
}

// New returns a log that keeps up to size entries, but at least one.
func New(size int) *Log {
	return &Log{entries: map[string]*Entry{}, ring: make([]string, max(1, size))}
}

// Begin adds an entry for a request and evicts the oldest one if the log is full. It does
// nothing if the request already has an entry.
func (l *Log) Begin(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[e.RequestID] != nil {
		return
	}
	if oldest := l.ring[l.next]; oldest != "" {
		delete(l.entries, oldest)
	}
	l.ring[l.next] = e.RequestID
	l.next = (l.next + 1) % len(l.ring)
	l.entries[e.RequestID] = &e
}

// RecordAttempt adds an attempt to a request's entry, if it has not been evicted.
func (l *Log) RecordAttempt(requestID string, attempt Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[requestID]; e != nil && len(e.Attempts) < maxAttempts {
		e.Attempts = append(e.Attempts, attempt)
	}
}

// RecordOutcome records the outcome of a request, if its entry has not been evicted.
func (l *Log) RecordOutcome(requestID, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[requestID]; e != nil {
		e.Outcome = outcome
	}
}

// Find returns a request's entry; false if there is none.
func (l *Log) Find(requestID string) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[requestID]
	if e == nil {
		return Entry{}, false
	}
	return e.clone(), true
}

// Slowest returns at most count entries, in order of decreasing latency. Requests without
// an attempt are omitted.
func (l *Log) Slowest(count int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		if len(e.Attempts) > 0 {
			out = append(out, e.clone())
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(b.latency(), a.latency()) })
	return out[:min(count, len(out))]
}
