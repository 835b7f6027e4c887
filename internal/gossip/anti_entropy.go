package gossip

import (
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

func (n *Node) digest(now clock.Micros) Digest {
	known := make(map[string]Version, len(n.updates))
	for key, update := range n.updates {
		known[key] = versionOf(update)
	}
	return Digest{Known: known, Stamp: now}
}

// exchangeDigest compares digests with one daemon. Every other time it is a voter in another
// zone: from those it learns soonest what a majority of the voters knows.
func (n *Node) exchangeDigest(now clock.Micros) {
	n.digestOtherZone = !n.digestOtherZone
	if peer := n.pickRandom(n.digestPeers()); peer != "" {
		n.Emit(machine.Send{To: peer, Body: n.digest(now)})
	}
}

// digestPeers are the addresses to which the next digest may go.
func (n *Node) digestPeers() []string {
	if n.digestOtherZone {
		if voters := n.votersInOtherZones(); len(voters) > 0 {
			return voters
		}
	}
	var peers []string
	for _, member := range n.liveMembers() {
		if !n.digestOtherZone || n.inOtherZone(member.Peer) {
			peers = append(peers, member.Peer)
		}
	}
	return peers
}

// handle answers a digest with what its sender lacks, and asks for what is missing here.
func (m Digest) handle(n *Node, from string, now clock.Micros) {
	reply := DigestReply{
		Missing: n.missingKeys(m.Known),
		Stamp:   m.Stamp,
		Ages:    n.currentAges(now),
		Counts:  true,
	}
	for _, key := range n.sortedKeys() {
		update := n.updates[key]
		version, known := m.Known[key]
		if !known || update.Newer(machine.Update{Epoch: version.Epoch, Seq: version.Seq}) {
			reply.Updates = append(reply.Updates, update)
		}
	}
	n.Emit(machine.Send{To: from, Body: reply})
}

// missingKeys lists the keys of which this daemon has an older update than given, or none.
func (n *Node) missingKeys(versions map[string]Version) []string {
	missing := make([]string, 0)
	for key, version := range versions {
		if known, ok := n.updates[key]; !ok || version.isNewerThan(known) {
			missing = append(missing, key)
		}
	}
	sort.Strings(missing)
	return missing
}

// handle records the updates that were missing here, sends those that the answerer lacks, and
// notes up to when this daemon's updates are now complete.
func (m DigestReply) handle(n *Node, from string, now clock.Micros) {
	n.UpdatesRepaired += int64(len(m.Updates))
	n.receive(m.Updates, now)
	n.sendUpdates(from, m.Missing)
	if m.Counts && len(n.voters) > 0 && !n.InjectedFaults.SkipVoterMajority {
		n.learnAges(m.Ages, m.Stamp, now)
		return
	}
	// Without voters, or from a release that knows no ages, another zone's answer counts.
	if n.inOtherZone(from) {
		n.advanceFreshness(m.Stamp)
	}
}
