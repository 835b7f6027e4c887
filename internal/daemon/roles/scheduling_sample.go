package roles

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/machines"
)

// quotaSample holds the values of the quota metrics at one point in time.
type quotaSample struct{ inUse, granted, rejected int64 }

// schedulerSample holds the values of the scheduler's metrics at one point in time.
type schedulerSample struct{ queueLength, assigned, deadlineExceeded, rejected int64 }

// sampleQuota must be called within Loop.WithMachine.
func sampleQuota(s *machines.Scheduling, now clock.Micros) quotaSample {
	sample := quotaSample{rejected: s.Quota.Rejected}
	sample.inUse, sample.granted = s.Quota.Totals(now)
	return sample
}

// sampleScheduler must be called within Loop.WithMachine.
func sampleScheduler(s *machines.Scheduling) schedulerSample {
	return schedulerSample{
		queueLength:      int64(s.Scheduler.QueueLength()),
		assigned:         s.Scheduler.Assigned,
		deadlineExceeded: s.Scheduler.DeadlineExceeded,
		rejected:         s.Scheduler.Rejected,
	}
}
