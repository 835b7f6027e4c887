// Package positions allocates one writer's positions and keeps its persisted-up-to
// position: the highest position up to which every allocated one is finished (docs/DESIGN.md
// §6.2). Positions are integers from 1 on and strictly rise; there are gaps.
//
// Invariants: a position is allocated only within a reservation that is durable, so that no
// later incarnation of the daemon allocates it again; PersistedUpTo never falls.
//
// An Allocator has no lock; its caller serializes the calls.
package positions

// Allocator allocates the positions of one writer.
type Allocator struct {
	last     int64 // highest position allocated, or skipped
	reserved int64 // positions up to here are reserved on disk
	// unfinished begins with the lowest position that is not finished; those behind it
	// may be finished. It is in the order of positions.
	unfinished []allocation
}

type allocation struct {
	position int64
	finished bool
}

// ReservationSize is how many positions one reservation covers.
const ReservationSize = 4096

// minReserved is how many reserved positions are left when the next reservation is made.
const minReserved = ReservationSize / 4

// New returns an allocator that starts above everything an earlier incarnation may have
// allocated: above its last durable reservation.
func New(reserved int64) *Allocator { return &Allocator{last: reserved, reserved: reserved} }

// RaiseAbove makes the next position higher than the floor.
func (a *Allocator) RaiseAbove(floor int64) { a.last = max(a.last, floor) }

// NextReservation is the position up to which should be reserved durably next; 0 while
// enough positions are reserved.
func (a *Allocator) NextReservation() int64 {
	if a.reserved-a.last > minReserved {
		return 0
	}
	return a.last + ReservationSize
}

// ConfirmReservation records that positions up to upTo are reserved on disk.
func (a *Allocator) ConfirmReservation(upTo int64) { a.reserved = max(a.reserved, upTo) }

// Allocate returns the next position; false while no durable reservation covers it.
func (a *Allocator) Allocate() (position int64, ok bool) {
	if a.last >= a.reserved {
		return 0, false
	}
	a.last++
	a.unfinished = append(a.unfinished, allocation{position: a.last})
	return a.last, true
}

// Finish records that a position's result is durable on every replica, or that the position
// will never have a result. The persisted-up-to position advances when it was the lowest
// unfinished one.
func (a *Allocator) Finish(position int64) {
	for i := range a.unfinished {
		if a.unfinished[i].position == position {
			a.unfinished[i].finished = true
			break
		}
	}
	for len(a.unfinished) > 0 && a.unfinished[0].finished {
		a.unfinished = a.unfinished[1:]
	}
}

// PersistedUpTo is the persisted-up-to position.
func (a *Allocator) PersistedUpTo() int64 {
	if len(a.unfinished) > 0 {
		return a.unfinished[0].position - 1
	}
	return a.last
}

// Next is the position that is allocated next.
func (a *Allocator) Next() int64 { return a.last + 1 }

// Unfinished is how many positions hold the persisted-up-to position back: those from the
// lowest unfinished one on.
func (a *Allocator) Unfinished() int { return len(a.unfinished) }

// ReservedUpTo is the position up to which positions are reserved on disk.
func (a *Allocator) ReservedUpTo() int64 { return a.reserved }
