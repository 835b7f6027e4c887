// Package decisionlog remembers what a daemon decided about its latest requests, so that
// operators can have any of them explained (docs/DESIGN.md section 10.3).
//
// A Log keeps a bounded number of entries and forgets the oldest. It is safe for
// concurrent use: the daemon's state machine writes it, the operators' API reads it. What
// it returns are copies.
package decisionlog

import (
	"cmp"
	"slices"
	"sync"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/scoring"
)

// maxAttempts is how many attempts of one request are kept; later ones are left out.
const maxAttempts = 16

// Attempt is one assignment of a request to a server.
type Attempt struct {
	Server    string          `json:"server"`
	Scores    []scoring.Score `json:"marks"` // why this server was chosen
	StartedAt clock.Micros    `json:"at_us"`
	Duration  clock.Micros    `json:"took_us"`
	Outcome   string          `json:"outcome"`
	Error     string          `json:"error,omitempty"`
}

// Entry is what happened to one request.
type Entry struct {
	RequestID  string       `json:"order"`
	Tenant     string       `json:"customer"`
	Route      string       `json:"route"`
	Priority   int64        `json:"rank"`
	ReceivedAt clock.Micros `json:"arrived_us"`
	Attempts   []Attempt    `json:"tries"`
	Outcome    string       `json:"end,omitempty"` // "" while it is under way
}

// latency is the time from the request's arrival to the end of its last attempt. There
// must be an attempt.
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
	entries map[string]*Entry // by request id
	ring    []string          // their ids; "" where none was yet
	next    int               // index in ring that the next entry takes over
}

// New makes a log of so many entries, at least one.
func New(size int) *Log {
	return &Log{entries: map[string]*Entry{}, ring: make([]string, max(1, size))}
}

// Begin adds a request's entry in place of the oldest one. A request that has an entry
// goes on with that.
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

// RecordAttempt adds an attempt to a request's entry, if that is still kept.
func (l *Log) RecordAttempt(requestID string, attempt Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[requestID]; e != nil && len(e.Attempts) < maxAttempts {
		e.Attempts = append(e.Attempts, attempt)
	}
}

// RecordOutcome notes how a request ended, if its entry is still kept.
func (l *Log) RecordOutcome(requestID, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[requestID]; e != nil {
		e.Outcome = outcome
	}
}

// Find finds a request's entry; false where it is not kept.
func (l *Log) Find(requestID string) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[requestID]
	if e == nil {
		return Entry{}, false
	}
	return e.clone(), true
}

// Slowest lists at most so many entries, those with the longest latency first. Requests
// without an attempt are left out.
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
