package gossip

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Two daemons compare their updates in up to four messages:
//
//	Digest         checksums of all updates of the one that begins
//	DigestReply    what differs, and what the other one knows of it, with its ages
//	DigestUpdates  what the other one lacks; and
//	DigestFetch    what the one that began lacks, answered by DigestUpdates
//
// The ages count once everything that the other one knew when it replied is known here.

// comparison is one whose missing updates were asked for.
type comparison struct {
	stamp clock.Micros // of the digest
	ages  Ages
}

func (n *Node) digest(now clock.Micros) Digest {
	return Digest{Sums: newBucketSums(n.updates, bucketCount(len(n.updates)), now), Stamp: now}
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

// handle answers a digest with the versions that are known here where the two differ.
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

// handle sends what the answerer lacks, and asks for what is missing here. Where nothing is, it
// notes up to when this daemon's updates are now complete.
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

// updatesMissingAtPeer are the updates in the buckets that differ of which the answerer has an older
// one, or none, in the order of their keys.
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

// missingKeys lists the keys of which this daemon has an older update than given, or none.
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

// handle records the updates that were missing here. Those that were asked for complete a
// comparison, whether each of them is kept here or not.
func (m DigestUpdates) handle(n *Node, from string, now clock.Micros) {
	n.UpdatesRepaired += int64(len(m.Updates))
	n.receive(m.Updates, now)
	if compared, pending := n.comparisons[from]; pending && compared.stamp == m.Stamp {
		delete(n.comparisons, from)
		n.completeComparison(compared, from, now)
	}
}

// completeComparison notes up to when this daemon's updates are now complete.
func (n *Node) completeComparison(compared comparison, from string, now clock.Micros) {
	if len(n.voters) > 0 && !n.InjectedFaults.SkipVoterMajority {
		n.mergeAges(compared.ages, compared.stamp, now)
		return
	}
	// Without voters another zone's answer counts.
	if n.inOtherZone(from) {
		n.advanceFreshness(compared.stamp)
	}
}

// removeStaleComparisons drops the comparisons whose updates have not come for long.
func (n *Node) removeStaleComparisons(now clock.Micros) {
	maps.DeleteFunc(n.comparisons, func(_ string, pending comparison) bool {
		return now-pending.stamp > n.settings.SuspicionTimeout
	})
}
