package roles

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/machines"
)

// quotaSample is the quota's metrics at one moment.
type quotaSample struct{ inUse, granted, rejected int64 }

// schedulerSample is the scheduler's metrics at one moment.
type schedulerSample struct{ queueLength, assigned, deadlineExceeded, rejected int64 }

// sampleQuota is called within Loop.WithMachine.
func sampleQuota(s *machines.Scheduling, now clock.Micros) quotaSample {
	sample := quotaSample{rejected: s.Quota.Rejected}
	sample.inUse, sample.granted = s.Quota.Totals(now)
	return sample
}

// sampleScheduler is called within Loop.WithMachine.
func sampleScheduler(s *machines.Scheduling) schedulerSample {
	return schedulerSample{
		queueLength:      int64(s.Scheduler.QueueLength()),
		assigned:         s.Scheduler.Assigned,
		deadlineExceeded: s.Scheduler.DeadlineExceeded,
		rejected:         s.Scheduler.Rejected,
	}
}
