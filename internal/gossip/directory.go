package gossip

import (
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// memberUpdate returns the update that describes a member.
func memberUpdate(member membership.Member) machine.Update {
	return machine.Update{
		Key:   membership.Key(member.ID),
		Epoch: member.Incarnation,
		Seq:   member.Seq(),
		Value: member.Encode(),
	}
}

func (n *Node) announceSelf(now clock.Micros) {
	n.publish(memberUpdate(n.self), now)
}

// recordMember records the member that an update describes. It returns false if the update must be
// neither kept nor forwarded.
func (n *Node) recordMember(update machine.Update, now clock.Micros) bool {
	member, ok := membership.Decode(update.Value)
	if !ok {
		return false
	}
	if member.ID == n.self.ID && member.Status != n.self.Status {
		if update.Epoch == n.self.Incarnation {
			n.refute(member.Statement, now)
		}
		return false
	}
	previous, known := n.members[member.ID]
	if !known && member.Status >= membership.Dead {
		return false // removed from the directory long ago: it must not be added again
	}
	if previous.Status != member.Status || previous.Incarnation != member.Incarnation {
		n.statusSince[member.ID] = now
		n.logStatusChange(previous, member)
	}
	n.members[member.ID] = member
	return true
}

// refute overrides another daemon's claim that this one is suspect or dead with a higher statement.
func (n *Node) refute(statement uint64, now clock.Micros) {
	n.Refuted++
	n.self.Statement = max(n.self.Statement, statement) + 1
	n.announceSelf(now)
}

// logStatusChange logs a change of a member's status or incarnation. Members that were alive, or
// unknown, and are alive now are not logged: at the start of a fleet every daemon discovers every
// other.
func (n *Node) logStatusChange(previous, current membership.Member) {
	if previous.Status == membership.Alive && current.Status == membership.Alive {
		return
	}
	n.Emit(machine.LogEvent{Event: MemberStatusChanged{
		Member:      current.ID,
		Kind:        current.Kind,
		Status:      current.Status.String(),
		Incarnation: current.Incarnation,
	}})
}

// setStatus publishes a new status of a member.
func (n *Node) setStatus(member membership.Member, status membership.Status, now clock.Micros) {
	member.Status = status
	n.publish(memberUpdate(member), now)
}

// removeDeadMembers removes the members that have been dead, or have left, for longer than
// RemoveDeadAfter.
func (n *Node) removeDeadMembers(now clock.Micros) {
	for _, member := range n.sortedMembers() {
		if member.Status >= membership.Dead && now-n.statusSince[member.ID] > n.settings.RemoveDeadAfter {
			delete(n.members, member.ID)
			delete(n.statusSince, member.ID)
			delete(n.updates, membership.Key(member.ID))
		}
	}
	n.refillView()
}

// contactSeed sends a digest to a random seed. Seeds are only addresses to join through, not members.
func (n *Node) contactSeed(now clock.Micros) {
	if seed := n.pickRandom(n.seeds); seed != "" && seed != n.self.Peer {
		n.Emit(machine.Send{To: seed, Body: n.digest(now)})
	}
}

// contactDead sends a digest to a random dead member, which may only have been partitioned, and to a
// random dead voter. Voters are picked separately: after all of them were unreachable for a while, no
// other daemon knows how to find the voters that replaced them, and many other members may be dead.
func (n *Node) contactDead(now clock.Micros) {
	var dead, voters []string
	for _, member := range n.sortedMembers() {
		switch {
		case member.Status != membership.Dead:
		case n.isVoter(member.ID):
			voters = append(voters, member.Peer)
		default:
			dead = append(dead, member.Peer)
		}
	}
	for _, peer := range []string{n.pickRandom(dead), n.pickRandom(voters)} {
		if peer != "" {
			n.Emit(machine.Send{To: peer, Body: n.digest(now)})
		}
	}
}

func (n *Node) sortedMembers() []membership.Member {
	out := make([]membership.Member, 0, len(n.members))
	for _, member := range n.members {
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// isLive reports whether a member counts as live: a suspect does until it is declared dead.
func isLive(member membership.Member) bool { return member.Status <= membership.Suspect }

// liveMembers lists the other live members, ordered by ID.
func (n *Node) liveMembers() []membership.Member {
	var out []membership.Member
	for _, member := range n.sortedMembers() {
		if isLive(member) && member.ID != n.self.ID {
			out = append(out, member)
		}
	}
	return out
}

// Members lists the members of the directory, including this daemon, ordered by ID.
func (n *Node) Members() []membership.Member { return n.sortedMembers() }

// inOtherZone reports whether the daemon at an address is in another zone. Daemons of a zone that is
// partitioned still reach each other, so answers from the own zone do not advance freshness. If no
// member of another zone is known, every daemon counts as being in another one.
func (n *Node) inOtherZone(peer string) bool {
	hasOtherZones := false
	for _, member := range n.members {
		if member.Zone == n.self.Zone {
			continue
		}
		hasOtherZones = true
		if member.Peer == peer {
			return true
		}
	}
	return !hasOtherZones
}
