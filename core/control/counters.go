package control

import (
	"tuliprudder/kernel/clock"
)

// Counters are this core's figures for its operators (docs/OPERATORS.md).
func (s *Core) Counters(now clock.Micros) map[string]int64 {
	out := map[string]int64{
		"core_term":           int64(s.vote.Term),
		"core_claims":         s.Claims,
		"core_takeovers":      s.Takeovers,
		"core_changes":        s.Changes,
		"core_orders_unclear": s.Unclear,
		"core_voters":         int64(len(s.vote.Voters)),
		"core_voters_silent":  s.silentVoters(now),
		"core_copy_pieces":    int64(s.group().CopyLeft()),
	}
	if s.Leading(now) {
		out["core_leading"] = 1
		out["core_lease_left_us"] = int64(min(s.group().LeaseUntil()-now, clock.Second))
	}
	if s.Serving() {
		out["core_primary"] = 1
		out["core_copies_missing"] = int64(max(0, s.copies(len(s.vote.Voters))-len(s.vote.Committed.Members())))
		out["shards_short_of_copies"] = s.shortShards()
	}
	return out
}

// silentVoters counts the voters that are not heard.
func (s *Core) silentVoters(now clock.Micros) int64 {
	silent := int64(0)
	for _, ref := range s.vote.Voters {
		if _, heard := s.lifeOf(ref.ID, now); !heard {
			silent++
		}
	}
	return silent
}

// shortShards counts the shards with fewer complete copies than there should be.
func (s *Core) shortShards() int64 {
	short := int64(0)
	for _, assignment := range s.state.Slots {
		if !assignment.Complete || len(assignment.Members()) < s.shardCopies() {
			short++
		}
	}
	return short
}
