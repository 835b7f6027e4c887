package replication

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// This file carries a primary's state to its replicas at the start of an epoch.

// cut divides a copy into pieces of a bounded size.
func (r *Group) cut(parts [][]byte) {
	r.pieces = nil
	var piece [][]byte
	size := 0
	for _, part := range parts {
		if size > 0 && size+len(part) > pieceSize {
			r.pieces, piece, size = append(r.pieces, piece), nil, 0
		}
		piece, size = append(piece, part), size+len(part)
	}
	r.pieces = append(r.pieces, piece)
}

// tryCopy keeps a few pieces under way to each replica, and repeats what was not taken.
func (g *Groups) tryCopy(r *Group, now clock.Micros) {
	if r.Role != Copying || now < r.copyWait {
		return
	}
	if len(r.replicas) == 0 {
		g.copied(r, now)
	}
	for _, member := range r.replicas {
		if !member.copied {
			g.copyTo(r, member, now)
		}
	}
}

// copyTo sends what a replica is due of the copy. The first piece goes alone: a
// replica that holds the same state already wants no more.
func (g *Groups) copyTo(r *Group, member *replica, now clock.Micros) {
	if member.copyFirst == 0 {
		member.copyFirst = now
	}
	running, whole := 0, true
	budget := copyBudget - g.underWay(now)
	for at := range r.pieces {
		if member.pieceTook[at] {
			continue
		}
		whole = false
		running++
		if running > pieceRun || at > 0 && !member.pieceTook[0] {
			break
		}
		if member.pieceSent[at] > 0 && now-member.pieceSent[at] < 2*ResendAt {
			continue
		}
		if budget <= 0 {
			break // other units' copies have the line; live entries need it too
		}
		budget--
		member.pieceSent[at] = now
		g.sendPiece(r, member, at)
	}
	if whole && now-member.copyAt >= 2*ResendAt {
		member.copyAt = now
		g.sendPiece(r, member, 0) // the word that it is on disk was lost, or is not due yet
	}
}

// underWay counts the pieces of all copies that are on their way.
func (g *Groups) underWay(now clock.Micros) int {
	count := 0
	for _, r := range g.groups {
		if r.Role != Copying {
			continue
		}
		for _, member := range r.replicas {
			count += member.underWay(now)
		}
	}
	return count
}

func (member *replica) underWay(now clock.Micros) int {
	count := 0
	for at, sent := range member.pieceSent {
		if sent > 0 && !member.copied && !member.pieceTook[at] && now-sent < 2*ResendAt {
			count++
		}
	}
	return count
}

func (g *Groups) sendPiece(r *Group, member *replica, at int) {
	g.out.Emit(machine.Send{To: member.peer, Body: Copy{Unit: r.Unit, Epoch: r.Epoch, StateEpoch: r.copyBase, Seq: r.copySeq, At: at, Count: len(r.pieces), Parts: r.pieces[at]}})
}

// took notes a piece that a replica has, and goes on with what may follow.
func (g *Groups) took(from string, m Took, now clock.Micros) {
	r := g.Group(m.Unit)
	member := r.replica(from)
	if r.Epoch != m.Epoch || r.Role != Copying || member == nil || m.At < 0 || m.At >= len(member.pieceTook) || member.pieceTook[m.At] {
		return
	}
	member.pieceTook[m.At] = true
	member.copyAt, member.copyFirst = now, now // it makes headway
	g.tryCopy(r, now)
	for _, other := range g.All() {
		g.tryCopy(other, now)
	}
}

// copied goes on once every member has the copy on its disk.
func (g *Groups) copied(r *Group, now clock.Micros) {
	if r.Role != Copying || !r.copyLocal || now < r.copyWait {
		return
	}
	for _, member := range r.replicas {
		if !member.copied && !(g.SkipCopy && r.servedAt > 0) {
			return
		}
	}
	r.Role, r.pieces = Copied, nil
	g.holder.Ready(r.Unit, r.Epoch, now)
}
