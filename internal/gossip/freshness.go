package gossip

import (
	"hash/fnv"
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Freshness (docs/DESIGN.md, section 3.4). The reply to a digest says, for each voter, how long ago
// the responder's updates last included everything that the voter knew. It has ages instead of times,
// so that clocks need not be synchronised. This daemon subtracts an age from the time at which it
// sent the digest, so the result is never too late. In a partitioned fleet at most one side has a
// majority of the voters, so at most one side's updates stay fresh.

// FreshUntil returns the time up to which this daemon's updates include everything that a majority of
// the voters knew; 0 while that is unknown.
func (n *Node) FreshUntil() clock.Micros { return n.freshUntil }

func (n *Node) advanceFreshness(at clock.Micros) {
	if at > n.freshUntil {
		n.freshUntil = at
		n.Emit(machine.Freshness{At: at})
	}
}

// currentAges returns the ages of this daemon's updates, for another daemon to merge with its own.
func (n *Node) currentAges(now clock.Micros) Ages {
	ids := n.sortedVoters()
	ages := Ages{Voters: checksumOf(ids)}
	for _, id := range ids {
		counted, raw := ageOf(n.knownUntil, id, now), ageOf(n.knownUntilRaw, id, now)
		if id == n.self.ID {
			raw = 0
			if n.caughtUp {
				counted = 0
			}
		}
		ages.Counted = append(ages.Counted, counted)
		ages.Raw = append(ages.Raw, raw)
	}
	return ages
}

// unknownAge is the age in Ages of a voter of which nothing is known.
const unknownAge clock.Micros = -1

func ageOf(knownUntil map[string]clock.Micros, id string, now clock.Micros) clock.Micros {
	at, known := knownUntil[id]
	if !known {
		return unknownAge
	}
	return now - at
}

// checksumOf returns a checksum of IDs, which depends on their order.
func checksumOf(ids []string) uint64 {
	h := fnv.New64a()
	for _, id := range ids {
		h.Write([]byte(id))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// mergeAges merges the ages of another daemon's reply to a digest that was sent at sentAt: everything
// that its updates included is now included here.
func (n *Node) mergeAges(ages Ages, sentAt, now clock.Micros) {
	ids := n.sortedVoters()
	isComplete := len(ages.Counted) == len(ids) && len(ages.Raw) == len(ids)
	if len(ids) == 0 || !isComplete || ages.Voters != checksumOf(ids) {
		return
	}
	n.mergeKnownUntil(n.knownUntil, ids, ages.Counted, sentAt)
	n.mergeKnownUntil(n.knownUntilRaw, ids, ages.Raw, sentAt)
	n.updateCaughtUp(now)
	n.advanceFreshness(n.majorityFreshness(now))
}

func (n *Node) mergeKnownUntil(known map[string]clock.Micros, ids []string, ages []clock.Micros, sentAt clock.Micros) {
	for i, id := range ids {
		if age := ages[i]; age != unknownAge && id != n.self.ID {
			known[id] = max(known[id], sentAt-age)
		}
	}
}

// updateCaughtUp sets caughtUp once this daemon has compared digests with a majority of the voters. A
// voter that restarted may lack what it knew before, and does not count towards a majority until then.
func (n *Node) updateCaughtUp(now clock.Micros) {
	if n.caughtUp {
		return
	}
	n.caughtUp = n.isMajority(func(id string) bool {
		at := n.knownUntilRaw[id]
		return id == n.self.ID || at > 0 && now-at < n.settings.SuspicionTimeout
	})
}

// majorityFreshness returns the time up to which this daemon's updates include everything that a
// majority of the voters knew; 0 while that is unknown.
func (n *Node) majorityFreshness(now clock.Micros) clock.Micros {
	type stamp struct {
		at     clock.Micros
		weight int
	}
	var stamps []stamp
	total := 0
	for id, weight := range n.voters {
		total += weight
		if id == n.self.ID && n.caughtUp {
			stamps = append(stamps, stamp{now, weight})
		} else if at := n.knownUntil[id]; at > 0 {
			stamps = append(stamps, stamp{at, weight})
		}
	}
	sort.Slice(stamps, func(i, j int) bool { return stamps[i].at > stamps[j].at })
	counted := 0
	for _, candidate := range stamps {
		counted += candidate.weight
		if 2*counted > total {
			return candidate.at
		}
	}
	return 0
}
