// Package replication replicates the state of a unit to the members of a replication group: one
// primary and its replicas. A unit is a shard of the batch store or the control state. The
// package serves both alike; who the members are is decided elsewhere and written down as an
// Assignment, which Next and Reassign plan (docs/DESIGN.md, section 4).
//
// Groups is a pure state machine. Its inputs are the calls of the daemon's machine (BecomePrimary,
// Append, Tick …), the messages between members (HandleMessage) and completed writes (Persisted);
// its outputs are effects (machine.Send, machine.Persist) and calls of the StateMachine. It reads
// no clock, starts no goroutine and is not safe for concurrent use: one goroutine calls it.
//
// # Invariants
//
// An entry is confirmed only when every member of the group has it on disk, and in the order of
// the entries' numbers. So every member of a complete group has every confirmed entry, and any
// of them can succeed the primary without comparing logs (section 4.1).
//
// The authority that assigns groups records the last complete group, and a successor is a member
// of that group. A member that is still receiving its snapshot may lack confirmed entries and
// therefore counts for nothing until the new group is recorded as complete (section 4.3; the
// argument is in docs/CONTROL.md, section 3).
//
// The primary's lease ends at the earliest time that all replicas granted, counted on the
// primary's clock from the time of the request. Every possible successor is among those that
// granted, so none of them can serve while the lease runs (section 4.4; docs/CONTROL.md,
// section 1).
//
// A successor waits until the lease that it granted has ended on its own clock. LeaseWait exceeds
// LeaseDuration by a margin for clocks that run at different rates. A member that restarted has
// forgotten what it granted and waits LeaseWait from its start.
//
// Messages of a stale epoch are rejected. A replica that became a member of a later group, or its
// primary, acknowledges nothing of the former primary, which therefore confirms nothing more,
// even while it does not know that it was succeeded (section 4.2).
package replication
