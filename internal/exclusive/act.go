// Package exclusive decides which node may perform an act on an outside system (docs/notes/duties.md).
//
// Such acts can't be taken back and can't be read back, so two things must never happen: that one
// act is performed with two contents, and that two nodes perform acts on one subject in turn. A node
// therefore performs an act only once it has got a permit for it. The permit fixes the act's content,
// the holder and a fencing token (the fence), and it is durable on every member of the control
// state's group before the holder hears of it.
//
// Table is the replicated part: it is changed by Update alone. Arbiter is what the primary adds to it
// from its own clock: when a subject may pass to another holder. Performer is the part of a node that
// requests permits and has them performed.
//
// Invariants:
//   - Of one act there is one content: a later permit for it has the content of the first.
//   - A subject's fence rises with every change of its holder, and is never given twice.
//   - A subject passes to another holder only once every permit of the former one has expired.
//   - A holder performs at most one act at a time on a subject whose acts supersede each other.
//
// Nothing here reads a clock or opens a socket, and nothing is safe for concurrent use.
package exclusive

import "tuliprudder/internal/clock"

// Subject is what acts are about: those on one subject have one order and one holder at a time.
type Subject string

// Act is something to be done to an outside system. It is stored; its JSON keys never change.
type Act struct {
	Subject Subject `json:"subject"`
	// Number rises from act to act of a subject; the first is above 0.
	Number uint64 `json:"number"`
	// Content is what the performer sends, whoever that is.
	Content []byte `json:"content"`
	// Supersedes: once this act is decided, none before it on the subject is to be performed any more.
	Supersedes bool `json:"supersedes,omitempty"`
	// DecidedAt is when the content was decided, by the clock of the primary that did. It is only
	// displayed.
	DecidedAt clock.Micros `json:"at,omitempty"`
}

// Holder is one run of a node's process. After a restart the name is the same and the instance
// another, and so is the holder. It is stored; its JSON keys never change.
type Holder struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
}

// PermitID identifies a permit: the term of the primary that granted it, and its number there.
type PermitID struct{ Epoch, Serial uint64 }

// Permit is the right of one holder to perform an act, until Response.Validity after the moment at
// which it sent the request for it.
type Permit struct {
	Act
	ID     PermitID
	Holder Holder
	Fence  uint64
}

// Source proposes acts at the primary. What it proposes is decided once a permit for it is granted.
type Source interface {
	// Due are the acts that are to be performed and that the table doesn't have yet, of each subject
	// in the order of their numbers.
	Due(table *Table) []Act
}
