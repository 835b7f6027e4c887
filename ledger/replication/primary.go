package replication

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// This file is the primary's part of a group.

// Own makes this member the primary under a new epoch, with the replicas at their
// addresses. Nothing is confirmed until every member holds the state that this one
// has, on its disk, and who assigns groups has said so (Complete).
func (g *Groups) Own(unit string, epoch uint64, replicas []string, now clock.Micros) {
	g.begin(now)
	r := g.Group(unit)
	wait := g.leaseGranted(r)
	r.Epoch, r.Role, r.primary = epoch, Copying, ""
	r.copyWait, r.copyLocal, r.copyAt = wait, false, 0
	r.copySeq, r.copyBase = r.Seq, r.stateEpoch
	r.stateEpoch = epoch
	r.early, r.gathered = nil, nil
	for i := range r.open {
		r.open[i].local = true // the record below is written after them
	}
	r.cut(g.holder.View(unit))
	r.replicas = nil
	for _, peer := range replicas {
		r.replicas = append(r.replicas, &replica{peer: peer, pieceSent: make([]clock.Micros, len(r.pieces)), pieceTook: make([]bool, len(r.pieces))})
	}
	copySeq := r.Seq
	g.Store([]machine.Record{{Unit: unit, Kind: KindAdopt, Epoch: epoch, Seq: copySeq}}, func(now clock.Micros) {
		if r.Epoch == epoch && r.Leads() {
			r.copyLocal = true
			r.Durable = max(r.Durable, copySeq)
			g.copied(r, now)
		}
	})
	g.tryCopy(r, now)
}

// leaseGranted is until when a former primary may hold a lease that this member
// granted, in this life or in the one before.
func (g *Groups) leaseGranted(r *Group) clock.Micros {
	switch {
	case r.Leads():
		return 0
	case r.recovered:
		return max(r.granted, g.started+LeaseWait)
	}
	return r.granted
}

// Complete is the word that the group of this epoch is written down as complete.
func (g *Groups) Complete(unit string, epoch uint64, now clock.Micros) bool {
	r := g.Group(unit)
	if r.Epoch != epoch || r.Role != Copied {
		return false
	}
	r.Role, r.servedAt = Serving, now
	for _, member := range r.replicas {
		g.beat(member.peer, []*Group{r}, now)
	}
	g.settle(r, now)
	return true
}

// Append gives an entry its number, writes it here and sends it to the replicas. The
// caller has applied it. It returns false when this member does not serve.
func (g *Groups) Append(unit string, body []byte, now clock.Micros) (uint64, bool) {
	r := g.Group(unit)
	if r.Role != Serving {
		return 0, false
	}
	r.Seq++
	seq, epoch := r.Seq, r.Epoch
	r.open = append(r.open, entry{seq: seq, body: body, sentAt: now, at: now})
	g.Store([]machine.Record{{Unit: unit, Kind: KindEntry, Epoch: epoch, Seq: seq, Body: body}}, func(now clock.Micros) {
		if r.Epoch == epoch {
			g.storedHere(r, seq, now)
		}
	})
	if !g.SkipRemote {
		for _, member := range r.replicas {
			g.out.Emit(machine.Send{To: member.peer, Body: Append{Unit: unit, Epoch: epoch, Seq: seq, Entry: body}})
		}
	}
	return seq, true
}

func (g *Groups) storedHere(r *Group, seq uint64, now clock.Micros) {
	r.Durable = max(r.Durable, seq)
	for i := range r.open {
		if r.open[i].seq == seq {
			r.open[i].local = true
		}
	}
	g.settle(r, now)
}

// settle confirms, in order, what every member's disk holds.
func (g *Groups) settle(r *Group, now clock.Micros) {
	for len(r.open) > 0 && r.Role == Serving {
		first := r.open[0]
		if !first.local || first.seq > g.remote(r) {
			return
		}
		r.open = r.open[1:]
		g.holder.Confirmed(r.Unit, first.seq, now)
	}
}

// remote is the last entry that counts as held by the replicas.
func (g *Groups) remote(r *Group) uint64 {
	switch {
	case g.SkipRemote:
		return r.Seq
	case g.SkipLast:
		return r.syncedSomewhere()
	}
	return r.synced()
}

// resend repeats entries that a replica has not acknowledged.
func (g *Groups) resend(r *Group, now clock.Micros) {
	if g.SkipRemote {
		return
	}
	for i := range r.open {
		if i >= resendCap {
			return
		}
		e := &r.open[i]
		if now-e.sentAt < ResendAt {
			continue
		}
		e.sentAt = now
		for _, member := range r.replicas {
			if e.seq > member.synced {
				g.out.Emit(machine.Send{To: member.peer, Body: Append{Unit: r.Unit, Epoch: r.Epoch, Seq: e.seq, Entry: e.body}})
			}
		}
	}
}

// acked takes a replica's word of what it has synced.
func (g *Groups) acked(from string, m Ack, now clock.Micros) {
	r := g.Group(m.Unit)
	member := r.replica(from)
	if r.Epoch != m.Epoch || !r.Leads() || member == nil {
		return
	}
	member.synced = max(member.synced, m.Seq)
	if m.Copied && !member.copied {
		member.copied = true
		member.synced = max(member.synced, r.copySeq)
		g.copied(r, now)
	}
	g.settle(r, now)
}

// beat asks a replica for leases on some units.
func (g *Groups) beat(peer string, groups []*Group, now clock.Micros) {
	ask := Beat{Stamp: now}
	for _, r := range groups {
		r.beatAt = now
		ask.Units = append(ask.Units, Tenancy{r.Unit, r.Epoch})
	}
	g.out.Emit(machine.Send{To: peer, Body: ask})
}

// beats renews the leases of every replica that is due, all its units at once.
func (g *Groups) beats(now clock.Micros) {
	due := map[string]bool{}
	byPeer := map[string][]*Group{}
	var peers []string
	for _, r := range g.All() {
		if r.Role != Serving {
			continue
		}
		for _, member := range r.replicas {
			if byPeer[member.peer] == nil {
				peers = append(peers, member.peer)
			}
			byPeer[member.peer] = append(byPeer[member.peer], r)
			due[member.peer] = due[member.peer] || now-r.beatAt >= BeatEvery
		}
	}
	for _, peer := range peers {
		if due[peer] {
			g.beat(peer, byPeer[peer], now)
		}
	}
}

// leased takes a replica's leases.
func (g *Groups) leased(from string, m Leased) {
	for _, granted := range m.Units {
		r := g.Group(granted.Unit)
		member := r.replica(from)
		if r.Epoch == granted.Epoch && r.Role == Serving && member != nil {
			member.leaseUntil = max(member.leaseUntil, m.Stamp+Lease)
		}
	}
}

// yield tells the replicas that the leases they granted are given back.
func (g *Groups) yield(r *Group) {
	if r.Role != Serving {
		return
	}
	for _, member := range r.replicas {
		g.out.Emit(machine.Send{To: member.peer, Body: Yield{Unit: r.Unit, Epoch: r.Epoch}})
	}
}
