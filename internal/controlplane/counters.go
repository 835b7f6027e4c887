package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/exclusive"
)

// Counters returns this core's metrics for operators (docs/OPERATORS.md).
func (c *Core) Counters(now clock.Micros) map[string]int64 {
	status := c.election.Status(now)
	counters := map[string]int64{
		"core_term":           int64(status.Term),
		"core_claims":         status.CampaignsStarted,
		"core_takeovers":      status.TermsWon,
		"core_changes":        c.Changes,
		"core_orders_unclear": c.UnknownOutcomes,
		"core_voters":         int64(status.Voters),
		"core_voters_silent":  int64(status.UnreachableVoters),
		"core_copy_pieces":    int64(c.group().ChunksLeft()),
	}
	if c.HoldsLease(now) {
		counters["core_leading"] = 1
		counters["core_lease_left_us"] = int64(min(c.group().LeaseUntil()-now, clock.Second))
	}
	if c.IsServing() {
		counters["core_primary"] = 1
		counters["core_copies_missing"] = int64(status.ReplicasMissing)
		counters["shards_short_of_copies"] = c.underReplicatedShards()
		c.addActCounters(counters, now)
		c.addUsageCounters(counters)
	}
	return counters
}

// addActCounters adds the counters of acts on external systems, if there are any.
func (c *Core) addActCounters(counters map[string]int64, now clock.Micros) {
	table := &c.state.Acts
	if len(c.actSources) == 0 && table.IsZero() {
		return
	}
	counters["acts_open"] = int64(table.OpenActCount())
	counters["act_oldest_us"] = table.OldestOpenAge(now)
	counters["acts_abandoned"] = int64(table.Abandoned)
	counters["act_permits"] = c.arbiter.Permits
	counters["act_holder_changes"] = c.arbiter.HolderChanges
	counters["acts_done"] = c.arbiter.Outcomes[exclusive.Done]
	counters["acts_no_answer"] = c.arbiter.Outcomes[exclusive.NoAnswer]
	counters["acts_postponed"] = c.arbiter.Outcomes[exclusive.RetryLater]
	counters["acts_refused"] = c.arbiter.Outcomes[exclusive.Refused]
}

// addUsageCounters adds the counters of usage reports, if usage is reported.
func (c *Core) addUsageCounters(counters map[string]int64) {
	if c.usage == nil {
		return
	}
	status := c.usage.Status()
	counters["usage_edges_unreported"] = status.UnreportedEdges
	counters["usage_clocks_skewed"] = status.SkewedClocks
	counters["usage_late"] = c.usage.Late
	counters["usage_misdated"] = c.usage.Misdated
	counters["usage_windows_skipped"] = c.usage.Skipped
}

// underReplicatedShards counts the shards with fewer complete copies than the settings require.
func (c *Core) underReplicatedShards() int64 {
	count := int64(0)
	replicas := c.settings.placement().GroupSize()
	for _, assignment := range c.state.Shards {
		if !assignment.Complete || len(assignment.Members()) < replicas {
			count++
		}
	}
	return count
}
