package gossip

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Two daemons, an initiator and a responder, compare their updates in up to four messages:
//
//	Digest         the initiator's checksums of all its updates
//	DigestReply    the buckets that differ, the responder's versions in them, and its ages
//	DigestUpdates  the updates that the responder lacks
//	DigestFetch    the keys of the updates that the initiator lacks, answered by DigestUpdates
//
// The initiator merges the ages once it has every update that the responder had when it replied.

// comparison is a comparison of digests whose missing updates were requested.
type comparison struct {
	stamp clock.Micros // time at which the digest was sent
	ages  Ages         // of the responder
}

func (n *Node) digest(now clock.Micros) Digest {
	return Digest{Sums: newBucketSums(n.updates, bucketCount(len(n.updates)), now), Stamp: now}
}

// exchangeDigest sends a digest to one daemon. Every other digest goes to a voter in another zone:
// comparisons with those show soonest what a majority of the voters knows.
func (n *Node) exchangeDigest(now clock.Micros) {
	n.digestOtherZone = !n.digestOtherZone
	if peer := n.pickRandom(n.digestPeers()); peer != "" {
		n.Emit(machine.Send{To: peer, Body: n.digest(now)})
	}
}

// digestPeers returns the addresses to which the next digest may be sent.
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

// handle answers a digest with the versions known here in the buckets that differ.
func (m Digest) handle(n *Node, from string, now clock.Micros) {
	sums := bucketSums(m.Sums)
	buckets := sums.count()
	if buckets == 0 {
		return
	}
	differing := sums.differing(newBucketSums(n.updates, buckets, m.Stamp))
	n.Emit(machine.Send{To: from, Body: DigestReply{
		Buckets:   buckets,
		Differing: differing,
		Known:     n.versionsInBuckets(differing, buckets),
		Stamp:     m.Stamp,
		Ages:      n.currentAges(now),
	}})
}

// handle sends the updates that the responder lacks and requests those that are missing here. If none
// is missing, the comparison is complete.
func (m DigestReply) handle(n *Node, from string, now clock.Micros) {
	if updates := n.updatesMissingAtPeer(m); len(updates) > 0 {
		n.Emit(machine.Send{To: from, Body: DigestUpdates{Updates: updates}})
	}
	missing := n.missingKeys(m.Known)
	if len(missing) == 0 {
		n.completeComparison(comparison{m.Stamp, m.Ages}, from, now)
		return
	}
	n.comparisons[from] = comparison{m.Stamp, m.Ages}
	n.Emit(machine.Send{To: from, Body: DigestFetch{Keys: missing, Stamp: m.Stamp}})
}

// updatesMissingAtPeer returns the updates in the differing buckets of which the responder has an
// older version or none, ordered by key.
func (n *Node) updatesMissingAtPeer(reply DigestReply) []machine.Update {
	if len(reply.Differing) == 0 || reply.Buckets <= 0 {
		return nil
	}
	var out []machine.Update
	here := n.versionsInBuckets(reply.Differing, reply.Buckets)
	for _, key := range slices.Sorted(maps.Keys(here)) {
		update := n.updates[key]
		version, known := reply.Known[key]
		if !known || update.Newer(machine.Update{Epoch: version.Epoch, Seq: version.Seq}) {
			out = append(out, update)
		}
	}
	return out
}

// missingKeys lists the keys of which this daemon has an older version than the given one, or none.
func (n *Node) missingKeys(versions map[string]Version) []string {
	missing := make([]string, 0)
	for key, version := range versions {
		if known, ok := n.updates[key]; !ok || version.isNewerThan(known) {
			missing = append(missing, key)
		}
	}
	slices.Sort(missing)
	return missing
}

func (m DigestFetch) handle(n *Node, from string, _ clock.Micros) {
	n.Emit(machine.Send{To: from, Body: DigestUpdates{Updates: n.updatesOf(m.Keys), Stamp: m.Stamp}})
}

// handle records updates that were missing here. The answer to a DigestFetch completes the
// comparison, whether or not each of its updates is kept here.
func (m DigestUpdates) handle(n *Node, from string, now clock.Micros) {
	n.UpdatesRepaired += int64(len(m.Updates))
	n.receive(m.Updates, now)
	if compared, pending := n.comparisons[from]; pending && compared.stamp == m.Stamp {
		delete(n.comparisons, from)
		n.completeComparison(compared, from, now)
	}
}

// completeComparison advances the time up to which this daemon's updates are complete.
func (n *Node) completeComparison(compared comparison, from string, now clock.Micros) {
	if len(n.voters) > 0 && !n.InjectedFaults.SkipVoterMajority {
		n.mergeAges(compared.ages, compared.stamp, now)
		return
	}
	// Without voters, an answer from another zone advances freshness.
	if n.inOtherZone(from) {
		n.advanceFreshness(compared.stamp)
	}
}

// removeStaleComparisons drops the comparisons whose updates did not arrive within
// SuspicionTimeout.
func (n *Node) removeStaleComparisons(now clock.Micros) {
	maps.DeleteFunc(n.comparisons, func(_ string, pending comparison) bool {
		return now-pending.stamp > n.settings.SuspicionTimeout
	})
}
