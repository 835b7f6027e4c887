package main

import (
	"context"

	"tuliprudder/internal/errs"
)

// diskConditionSlow is the disk_condition of a disk that is only slow; those above it
// take no writes.
const diskConditionSlow = 1

// riskCounters are the counters that say that a guarantee is at risk once they are above
// a threshold; docs/OPERATORS.md says what to do about each.
var riskCounters = []struct {
	name      string
	threshold int64
}{
	{"shards_short_of_copies", 0},
	{"oldest_unannounced_us", 1_000_000},
	{"news_age_us", 2_000_000},
	{"protocol_ring_dropped", 0},
	{"news_ring_dropped", 0},
	{"copies_missing", 0},
	{"disk_wait_us", 1_000_000},
	{"disk_condition", diskConditionSlow},
	{"disk_folds_given_up", 0},
	{"act_oldest_us", 30_000_000},
}

// listRisks gathers what puts guarantees at risk from all daemons.
type listRisks struct{}

// Apply prints a line a risk. A daemon that can't be called is one.
func (listRisks) Apply(ctx context.Context, s *session) error {
	members, err := s.fetchMembers(ctx)
	if err != nil {
		return err
	}
	t := table{{"DAEMON", "RISK", "VALUE"}}
	for _, m := range members {
		if !m.isAlive() {
			t.add(m.ID, "status", m.Status)
			continue
		}
		counters, err := getFrom[map[string]int64](ctx, s.client, m.HTTP, pathCounters)
		if err != nil {
			t.add(m.ID, "gives no counters", errs.Of(err).Message)
			continue
		}
		for _, risk := range riskCounters {
			if value := counters[risk.name]; value > risk.threshold {
				t.add(m.ID, risk.name, value)
			}
		}
	}
	if len(t) == 1 {
		s.printf("no promise is at risk\n") // as in the release before: the command kept its name
		return nil
	}
	s.printTable(t)
	return nil
}
