package main

import (
	"context"

	"tuliprudder/internal/errs"
)

// diskConditionSlow is the disk_condition of a disk that is slow but still accepts writes; disks
// with higher values do not accept them.
const diskConditionSlow = 1

// riskCounters are the counters that indicate a guarantee at risk when they exceed a threshold.
// docs/OPERATORS.md says what to do about each.
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

// listRisks lists the risks to guarantees that the counters of all daemons indicate.
type listRisks struct{}

// Apply prints one row per risk. A daemon that is not alive or does not return its counters is a
// risk, too.
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
		s.printf("no promise is at risk\n") // text of the previous release, kept because the command kept its name
		return nil
	}
	s.printTable(t)
	return nil
}
