// Package positions allocates one writer's positions and tracks its persisted-up-to
// position: the highest position up to which every allocated one is finished (docs/DESIGN.md
// §6.2). Positions are strictly increasing integers, starting at 1, with gaps.
//
// Invariants: a position is allocated only within a durable reservation, so that no later
// incarnation of the daemon allocates it again; PersistedUpTo never decreases.
//
// An Allocator is not safe for concurrent use.
package positions

// Allocator allocates the positions of one writer.
type Allocator struct {
	last     int64 // highest position allocated or skipped
	reserved int64 // positions up to and including this one are reserved on disk
	// unfinished starts with the lowest unfinished position; later ones may be finished. It
	// is ordered by position.
	unfinished []allocation
}

type allocation struct {
	position int64
	finished bool
}

// ReservationSize is the number of positions that one reservation covers.
const ReservationSize = 4096

// minReserved is the number of remaining reserved positions at which the next reservation is
// made.
const minReserved = ReservationSize / 4

// New returns an allocator that starts above every position that an earlier incarnation may
// have allocated: above its last durable reservation.
func New(reserved int64) *Allocator { return &Allocator{last: reserved, reserved: reserved} }

// RaiseAbove ensures that the next position is higher than floor.
func (a *Allocator) RaiseAbove(floor int64) { a.last = max(a.last, floor) }

// NextReservation returns the position up to which positions should be reserved next, or 0
// while enough positions are reserved.
func (a *Allocator) NextReservation() int64 {
	if a.reserved-a.last > minReserved {
		return 0
	}
	return a.last + ReservationSize
}

// ConfirmReservation records that positions up to upTo are reserved on disk.
func (a *Allocator) ConfirmReservation(upTo int64) { a.reserved = max(a.reserved, upTo) }

// Allocate returns the next position, or false if no durable reservation covers it.
func (a *Allocator) Allocate() (position int64, ok bool) {
	if a.last >= a.reserved {
		return 0, false
	}
	a.last++
	a.unfinished = append(a.unfinished, allocation{position: a.last})
	return a.last, true
}

// Finish records that a position's result is durable on every replica, or that the position
// will never have a result. The persisted-up-to position advances if this was the lowest
// unfinished position.
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

// PersistedUpTo returns the persisted-up-to position.
func (a *Allocator) PersistedUpTo() int64 {
	if len(a.unfinished) > 0 {
		return a.unfinished[0].position - 1
	}
	return a.last
}

// Next returns the position that Allocate would return next.
func (a *Allocator) Next() int64 { return a.last + 1 }

// Unfinished returns the number of positions above the persisted-up-to position: those from
// the lowest unfinished one on.
func (a *Allocator) Unfinished() int { return len(a.unfinished) }

// ReservedUpTo returns the highest position that is reserved on disk.
func (a *Allocator) ReservedUpTo() int64 { return a.reserved }
