package replication

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// This file is a replica's part of a group.

// Back makes this member a replica under a new epoch; the primary's copy fills it.
func (g *Groups) Back(unit string, epoch uint64, primary string, now clock.Micros) {
	r := g.Group(unit)
	led, old := r.Leads(), r.Epoch
	g.yield(r)
	r.Epoch, r.Role, r.primary = epoch, Filling, primary
	r.open, r.early, r.replicas = nil, nil, nil
	if led {
		g.holder.Deposed(unit, old, now)
	}
}

// Void ends the lease that this replica granted: the life it was granted to is over.
func (g *Groups) Void(unit string) {
	r := g.Group(unit)
	r.granted, r.recovered = 0, false
}

// refused tells a sender of an old epoch that it is fenced.
func (g *Groups) refused(unit string, epoch uint64, from string) bool {
	r := g.Group(unit)
	if epoch >= r.Epoch || g.SkipFence {
		return false
	}
	g.out.Emit(machine.Send{To: from, Body: Fenced{Unit: unit, Epoch: r.Epoch}})
	return true
}

// grant gives the leases that a primary asks for.
func (g *Groups) grant(from string, m Beat, now clock.Micros) {
	granted := Leased{Stamp: m.Stamp}
	for _, asked := range m.Units {
		if g.refused(asked.Unit, asked.Epoch, from) {
			continue
		}
		r := g.Group(asked.Unit)
		if asked.Epoch == r.Epoch && r.Role == Backing && from == r.primary {
			r.granted, r.grantedAt = max(r.granted, now+LeaseWait), asked.Epoch
			granted.Units = append(granted.Units, asked)
		}
	}
	if len(granted.Units) > 0 {
		g.out.Emit(machine.Send{To: from, Body: granted})
	}
}

// yielded takes a lease back that a deposed primary gives up.
func (g *Groups) yielded(m Yield, now clock.Micros) {
	r := g.Group(m.Unit)
	if m.Epoch < r.grantedAt {
		return
	}
	r.granted = 0
	if r.Role == Copying && r.copyWait > now && m.Epoch < r.Epoch {
		r.copyWait = 0
		g.tryCopy(r, now)
	}
}

// takeCopy takes a piece of the primary's state, adopts it where this member holds
// the same state already, and restores it once every piece is there.
func (g *Groups) takeCopy(from string, m Copy, now clock.Micros) {
	if g.refused(m.Unit, m.Epoch, from) {
		return
	}
	r := g.Group(m.Unit)
	switch {
	case m.Epoch == r.Epoch && r.Role == Backing:
		g.ack(r, from, true)
		return
	case m.Epoch == r.Epoch && r.Role != Filling:
		return
	case m.Epoch > r.Epoch:
		// The primary's word came before the news of the assignment.
		g.Back(m.Unit, m.Epoch, from, now)
	}
	if r.copyEpoch != m.Epoch {
		r.copyEpoch, r.gathered = m.Epoch, map[int][][]byte{}
		if m.StateEpoch > 0 && r.stateEpoch == m.StateEpoch && r.Seq == m.Seq {
			g.adopt(r, from, m)
			return
		}
	}
	g.out.Emit(machine.Send{To: from, Body: Took{Unit: m.Unit, Epoch: m.Epoch, At: m.At}})
	if r.gathered == nil {
		return // whole, and being written
	}
	r.gathered[m.At] = m.Parts
	if len(r.gathered) == m.Count {
		g.restore(r, from, m)
	}
}

// adopt carries the state that this member holds over into the epoch.
func (g *Groups) adopt(r *Group, from string, m Copy) {
	r.gathered, r.primary, r.stateEpoch = nil, from, m.Epoch
	g.Store([]machine.Record{{Unit: m.Unit, Kind: KindAdopt, Epoch: m.Epoch, Seq: m.Seq}}, g.copyStored(r, from, m))
}

// restore takes the whole copy over.
func (g *Groups) restore(r *Group, from string, m Copy) {
	var parts [][]byte
	for at := 0; at < m.Count; at++ {
		parts = append(parts, r.gathered[at]...)
	}
	r.gathered, r.primary, r.early, r.stateEpoch = nil, from, nil, m.Epoch
	g.holder.Restore(m.Unit, parts)
	r.Seq, r.Durable = m.Seq, 0
	g.Store([]machine.Record{{Unit: m.Unit, Kind: KindCopy, Epoch: m.Epoch, Seq: m.Seq, Body: encodeParts(parts)}}, g.copyStored(r, from, m))
}

func (g *Groups) copyStored(r *Group, from string, m Copy) func(now clock.Micros) {
	return func(_ clock.Micros) {
		if r.Epoch == m.Epoch && r.Role == Filling {
			r.Role, r.Durable = Backing, m.Seq
			g.ack(r, from, true)
		}
	}
}

// takeAppend takes an entry in its turn.
func (g *Groups) takeAppend(from string, m Append, _ clock.Micros) {
	if g.refused(m.Unit, m.Epoch, from) {
		return
	}
	r := g.Group(m.Unit)
	switch {
	case m.Epoch != r.Epoch || r.Role != Backing:
		return
	case m.Seq <= r.Durable:
		g.ack(r, from, false)
		return
	case m.Seq <= r.Seq:
		return // taken, and not yet synced
	case m.Seq != r.Seq+1:
		r.keepEarly(m)
		return
	}
	g.takeInTurn(r, from, m)
	for next, ok := r.early[r.Seq+1]; ok && next.Epoch == r.Epoch; next, ok = r.early[r.Seq+1] {
		delete(r.early, next.Seq)
		g.takeInTurn(r, from, next)
	}
}

// keepEarly keeps an entry aside for when its turn comes; the primary repeats what
// finds no room.
func (r *Group) keepEarly(m Append) {
	if r.early == nil {
		r.early = map[uint64]Append{}
	}
	if len(r.early) < earlyCap {
		r.early[m.Seq] = m
	}
}

func (g *Groups) takeInTurn(r *Group, from string, m Append) {
	r.Seq = m.Seq
	g.holder.Play(m.Unit, m.Entry)
	g.Store([]machine.Record{{Unit: m.Unit, Kind: KindEntry, Epoch: m.Epoch, Seq: m.Seq, Body: m.Entry}}, func(_ clock.Micros) {
		if r.Epoch == m.Epoch && r.Role == Backing {
			r.Durable = max(r.Durable, m.Seq)
			g.ack(r, from, false)
		}
	})
}

func (g *Groups) ack(r *Group, to string, copied bool) {
	g.out.Emit(machine.Send{To: to, Body: Ack{Unit: r.Unit, Epoch: r.Epoch, Seq: r.Durable, Copied: copied}})
}
