// Package exclusive decides which node may perform an act on an external system (docs/notes/duties.md).
// An act is a call with a fixed content, for example a usage report or a new target size.
//
// Acts can be neither undone nor read back, so two things must never happen: one act performed with
// two different contents, and two nodes performing acts on one subject alternately. A node therefore
// performs an act only while it holds a permit for it. The permit fixes the act's content, the holder
// and a fencing token (the fence), and it is durable on every member of the control state's
// replication group before the holder receives it.
//
// Table is the replicated part and changes only through Update. Arbiter runs at the primary and adds
// the timing, by the primary's own clock: when a subject may be assigned to another holder. Performer
// is the part of a node that requests permits and has the permitted acts performed.
//
// Invariants:
//   - An act has one content: every later permit for it has the content of the first.
//   - A subject's fence increases with every change of its holder, and is never issued twice.
//   - A subject is assigned to another holder only after every permit of the previous one has expired.
//   - A holder performs at most one act at a time on a subject whose acts supersede each other.
//
// Nothing in this package reads a clock or opens a socket, and nothing is safe for concurrent use.
package exclusive

import "tuliprudder/internal/clock"

// Subject identifies what acts are about. The acts on one subject are ordered and have one holder at a
// time.
type Subject string

// Act is an operation on an external system. It is stored, so its JSON keys must not change.
type Act struct {
	Subject Subject `json:"subject"`
	// Number increases with every act of a subject; the first is greater than 0.
	Number uint64 `json:"number"`
	// Content is what is sent to the external system, whichever node performs the act.
	Content []byte `json:"content"`
	// Supersedes: once this act is decided, no earlier act on the subject is to be performed.
	Supersedes bool `json:"supersedes,omitempty"`
	// DecidedAt is when the content was decided, by the clock of the primary that decided it. It is
	// for display only.
	DecidedAt clock.Micros `json:"at,omitempty"`
}

// Holder identifies one run of a node's process. A restarted process has the same name and another
// instance, and is a different holder. It is stored, so its JSON keys must not change.
type Holder struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
}

// PermitID identifies a permit: the term of the primary that granted it, and a serial number within
// that term.
type PermitID struct{ Epoch, Serial uint64 }

// Permit is the right of one holder to perform an act. It expires Response.Validity after the holder
// sent the request for it.
type Permit struct {
	Act
	ID     PermitID
	Holder Holder
	Fence  uint64
}

// Source proposes acts at the primary. A proposal is decided once a permit for it is granted.
type Source interface {
	// Due returns the acts that are to be performed and are not in the table yet, ordered by number
	// within each subject.
	Due(table *Table) []Act
}
