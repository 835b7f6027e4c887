// Package positions gives out a writer's positions and knows its persisted-up-to
// position: the one before which all have finished (DESIGN §6.2).
package positions

// Allocator is one writer's positions. Gaps are normal: a position given above a
// floor leaves one, and so does a restart.
type Allocator struct {
	last     int64 // last position given
	reserved int64 // positions up to here are reserved on disk
	open     []rung
}

type rung struct {
	position int64
	done     bool
}

// Block is how many positions one reservation covers.
const Block = 4096

// New starts after everything that an earlier life may have given.
func New(reserved int64) *Allocator { return &Allocator{last: reserved, reserved: reserved} }

// Raise leaves a gap so that the next position is above the floor.
func (l *Allocator) Raise(floor int64) { l.last = max(l.last, floor) }

// Wanted is the reservation that should be made durable next; 0 when there is
// room enough.
func (l *Allocator) Wanted() int64 {
	if l.reserved-l.last > Block/4 {
		return 0
	}
	return l.last + Block
}

// Reserved notes a durable reservation.
func (l *Allocator) Reserved(upTo int64) { l.reserved = max(l.reserved, upTo) }

// Allocate gives the next position, or false until the reservation is durable.
func (l *Allocator) Allocate() (int64, bool) {
	if l.last >= l.reserved {
		return 0, false
	}
	l.last++
	l.open = append(l.open, rung{position: l.last})
	return l.last, true
}

// Finish marks a position as finished: durable on both, or void for good.
func (l *Allocator) Finish(position int64) {
	for i := range l.open {
		if l.open[i].position == position {
			l.open[i].done = true
			break
		}
	}
	for len(l.open) > 0 && l.open[0].done {
		l.open = l.open[1:]
	}
}

// UpTo is the persisted-up-to position.
func (l *Allocator) UpTo() int64 {
	if len(l.open) > 0 {
		return l.open[0].position - 1
	}
	return l.last
}

// Next is the position that would be given next; Open how many are unfinished.
func (l *Allocator) Next() int64 { return l.last + 1 }

// Open is how many positions are unfinished.
func (l *Allocator) Open() int { return len(l.open) }

// Reservation is up to where positions are reserved on disk.
func (l *Allocator) Reservation() int64 { return l.reserved }
