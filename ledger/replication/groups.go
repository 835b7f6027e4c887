package replication

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// Holder is the state that a unit replicates, and what to do when entries confirm.
type Holder interface {
	// View is the whole state in parts; Restore starts from parts.
	View(unit string) [][]byte
	// Brief is the same for this daemon's own disk: it may refer to what is
	// shelved there already.
	Brief(unit string) [][]byte
	Restore(unit string, parts [][]byte)
	// Play applies an entry on a replica or when read back.
	Play(unit string, entry []byte)
	// Confirmed tells the primary that an entry is on every member's disk.
	Confirmed(unit string, seq uint64, now clock.Micros)
	// Ready tells that every member has the copy; who assigns groups has to be told.
	Ready(unit string, epoch uint64, now clock.Micros)
	// Deposed tells the primary of an epoch that it no longer is.
	Deposed(unit string, epoch uint64, now clock.Micros)
}

// Groups is all the groups of a daemon, on one disk and one set of messages.
type Groups struct {
	out    *machine.Out
	holder Holder
	groups map[string]*Group
	tokens map[uint64]func(now clock.Micros)
	token  uint64
	// started is when this life was first given the time.
	started clock.Micros
	// SkipFence is a fault planted by tests: old epochs are not refused.
	SkipFence bool
	// SkipRemote is a fault planted by tests: one disk is taken for all.
	SkipRemote bool
	// SkipLast is a fault planted by tests: an entry is confirmed once one replica has
	// it, though the group has more.
	SkipLast bool
	// SkipCopy is a fault planted by tests: a group that is made anew counts as complete
	// before its replicas have the copy.
	SkipCopy bool
}

// NewGroups makes the groups of a daemon; their effects go to out.
func NewGroups(out *machine.Out, holder Holder) *Groups {
	return &Groups{out: out, holder: holder, groups: map[string]*Group{}, tokens: map[uint64]func(clock.Micros){}}
}

// Group is the group of a unit; made cold when new.
func (g *Groups) Group(unit string) *Group {
	r := g.groups[unit]
	if r == nil {
		r = &Group{Unit: unit}
		g.groups[unit] = r
	}
	return r
}

// All lists the groups in the order of their units.
func (g *Groups) All() []*Group {
	out := make([]*Group, 0, len(g.groups))
	for _, r := range g.groups {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Unit < out[j].Unit })
	return out
}

// Store writes records and runs done once they are synced.
func (g *Groups) Store(records []machine.Record, done func(now clock.Micros)) {
	token := g.Await(done)
	g.out.Emit(machine.Store{Token: token, Records: records})
}

// Await gives a token whose store runs done; done may be nil.
func (g *Groups) Await(done func(now clock.Micros)) uint64 {
	g.token++
	if done != nil {
		g.tokens[g.token] = done
	}
	return g.token
}

// Stored is the disk's word that a store is synced.
func (g *Groups) Stored(token uint64, now clock.Micros) {
	if done := g.tokens[token]; done != nil {
		delete(g.tokens, token)
		done(now)
	}
}

// Recover plays one record read back from disk. The group stays cold: only a new
// epoch gives it a role again.
func (g *Groups) Recover(record machine.Record) {
	r := g.Group(record.Unit)
	r.recovered = true
	switch record.Kind {
	case KindCopy:
		g.holder.Restore(record.Unit, decodeParts(record.Body))
		r.Epoch, r.Seq = record.Epoch, record.Seq
	case KindAdopt:
		if record.Seq == r.Seq {
			r.Epoch = record.Epoch
		}
	case KindEntry:
		if record.Epoch == r.Epoch && record.Seq == r.Seq+1 {
			r.Seq = record.Seq
			g.holder.Play(record.Unit, record.Body)
		}
	case KindDrop:
		g.holder.Restore(record.Unit, nil)
		r.Epoch, r.Seq = record.Epoch, 0
	}
	r.stateEpoch, r.Durable = r.Epoch, r.Seq
}

// Records is the groups' state as records that say the same as all so far.
func (g *Groups) Records() []machine.Record {
	var out []machine.Record
	for _, r := range g.All() {
		if r.stateEpoch > 0 {
			out = append(out, machine.Record{Unit: r.Unit, Kind: KindCopy, Epoch: r.stateEpoch, Seq: r.Seq, Body: encodeParts(g.holder.Brief(r.Unit))})
		}
	}
	return out
}

// Release ends any role under a higher epoch; what is held stays on disk until Drop.
func (g *Groups) Release(unit string, epoch uint64, now clock.Micros) {
	r := g.Group(unit)
	led, old := r.Leads(), r.Epoch
	g.yield(r)
	r.Epoch, r.Role, r.open, r.replicas = max(r.Epoch, epoch), Cold, nil, nil
	if led {
		g.holder.Deposed(unit, old, now)
	}
}

// Drop forgets a unit that a complete group elsewhere holds.
func (g *Groups) Drop(unit string, epoch uint64, now clock.Micros) {
	g.Release(unit, epoch, now)
	r := g.Group(unit)
	r.Seq, r.Durable, r.stateEpoch = 0, 0, epoch
	g.holder.Restore(unit, nil)
	g.Store([]machine.Record{{Unit: unit, Kind: KindDrop, Epoch: epoch}}, nil)
}

// ClockEvent renews leases and repeats what was not acknowledged.
func (g *Groups) ClockEvent(now clock.Micros) {
	g.begin(now)
	g.beats(now)
	for _, r := range g.All() {
		switch r.Role {
		case Copying:
			g.tryCopy(r, now)
		case Copied:
			if now-r.copyAt >= ResendAt {
				r.copyAt = now
				g.holder.Ready(r.Unit, r.Epoch, now)
			}
		case Serving:
			g.resend(r, now)
		}
	}
}

// Take handles a message between members; false when it is none.
func (g *Groups) Take(from string, body any, now clock.Micros) bool {
	g.begin(now)
	switch m := body.(type) {
	case Copy:
		g.takeCopy(from, m, now)
	case Took:
		g.took(from, m, now)
	case Append:
		g.takeAppend(from, m, now)
	case Ack:
		g.acked(from, m, now)
	case Fenced:
		if r := g.Group(m.Unit); m.Epoch > r.Epoch && r.Leads() {
			g.Release(m.Unit, r.Epoch, now)
		}
	case Beat:
		g.grant(from, m, now)
	case Yield:
		g.yielded(m, now)
	case Leased:
		g.leased(from, m)
	default:
		return false
	}
	return true
}

// begin notes when this life began: leases that a life before granted end LeaseWait
// after it.
func (g *Groups) begin(now clock.Micros) {
	if g.started == 0 {
		g.started = now
	}
}
