package gossip

import (
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Freshness (docs/DESIGN.md, section 3.4). A digest's answer says up to how long ago the
// answerer's updates include all that each voter knew. Ages travel in place of times, so that the
// clocks need not agree; an age counts from the time at which this daemon sent its digest, which
// is too early rather than too late. Of a partitioned fleet at most one part has a majority of
// the voters, so at most one part's updates stay fresh.

// FreshUntil is the time up to which this daemon's updates include what a majority of the voters
// knew; 0 before it is known.
func (n *Node) FreshUntil() clock.Micros { return n.freshUntil }

func (n *Node) advanceFreshness(at clock.Micros) {
	if at > n.freshUntil {
		n.freshUntil = at
		n.Emit(machine.Freshness{At: at})
	}
}

// currentAges is what this daemon's updates include, for another one to add to its own.
func (n *Node) currentAges(now clock.Micros) Ages {
	ages := Ages{Counted: map[string]clock.Micros{}, Raw: map[string]clock.Micros{}}
	for id, at := range n.knownUntil {
		ages.Counted[id] = now - at
	}
	for id, at := range n.knownUntilRaw {
		ages.Raw[id] = now - at
	}
	if n.isVoter(n.self.ID) {
		ages.Raw[n.self.ID] = 0
		if n.caughtUp {
			ages.Counted[n.self.ID] = 0
		}
	}
	return ages
}

// learnAges adds what another daemon's updates included when it answered a digest that was sent
// at sentAt: this daemon's include it now.
func (n *Node) learnAges(ages Ages, sentAt, now clock.Micros) {
	if len(n.voters) == 0 {
		return
	}
	n.learnKnownUntil(n.knownUntil, ages.Counted, sentAt)
	n.learnKnownUntil(n.knownUntilRaw, ages.Raw, sentAt)
	n.updateCaughtUp(now)
	n.advanceFreshness(n.majorityFreshness(now))
}

func (n *Node) learnKnownUntil(known, ages map[string]clock.Micros, sentAt clock.Micros) {
	for id, age := range ages {
		if n.isVoter(id) && id != n.self.ID {
			known[id] = max(known[id], sentAt-age)
		}
	}
}

// updateCaughtUp notes once this daemon has compared digests with a majority of the voters. A
// voter that restarted may lack what it knew before and counts for nothing until then.
func (n *Node) updateCaughtUp(now clock.Micros) {
	if n.caughtUp {
		return
	}
	n.caughtUp = n.isMajority(func(id string) bool {
		at := n.knownUntilRaw[id]
		return id == n.self.ID || at > 0 && now-at < n.settings.SuspicionTimeout
	})
}

// majorityFreshness is the time up to which this daemon's updates include what a majority of the
// voters knew.
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
