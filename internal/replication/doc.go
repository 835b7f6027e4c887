// Package replication replicates the state of a unit to the members of a replication group: one
// primary and its replicas. A unit is a shard of the batch store or the control state; both are
// replicated in the same way. The members are decided elsewhere and recorded as an Assignment,
// which Next and Reassign plan (docs/DESIGN.md, section 4).
//
// Groups is a pure state machine. Its inputs are the calls of the daemon's machine (BecomePrimary,
// Append, Tick, …), the messages between members (HandleMessage) and completed writes (Persisted);
// its outputs are effects (machine.Send, machine.Persist) and calls to the StateMachine. It reads
// no clock, starts no goroutine and is not safe for concurrent use.
//
// # Invariants
//
// An entry is confirmed only when every member of the group has it on disk. Entries are confirmed
// in the order of their sequence numbers. So every member of a complete group has every confirmed
// entry, and any of them can succeed the primary without comparing logs (section 4.1).
//
// The authority that assigns groups records the last complete group, and a successor is a member
// of that group. A member that is still receiving its snapshot may lack confirmed entries and is
// therefore not eligible until the new group is recorded as complete (section 4.3; the argument
// is in docs/CONTROL.md, section 3).
//
// The primary's lease ends at the earliest expiry among those granted by its replicas, measured on
// the primary's clock from the time of the request. Every possible successor is one of the
// granters, so none of them can serve while the lease is valid (section 4.4; docs/CONTROL.md,
// section 1).
//
// A successor waits until the lease that it granted has expired on its own clock. LeaseWait exceeds
// LeaseDuration by a margin for clocks that run at different rates. Grants are not persisted, so a
// member that restarted waits LeaseWait from its start.
//
// Messages of a stale epoch are rejected. A replica that became a member or the primary of a later
// group acknowledges nothing from the former primary. The former primary therefore confirms nothing
// more, even before it learns that it was succeeded (section 4.2).
package replication
