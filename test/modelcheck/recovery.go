package modelcheck

import "tuliprudder/internal/clock"

const (
	// recoveryTimeout is how long a healed fleet may take until it confirms again.
	recoveryTimeout = 60 * clock.Second
	// confirmTimeout is how long a stable leader may take to confirm a request.
	confirmTimeout = 2 * clock.Second
	// stableRounds is for how many seconds in a row one process has to hold the lease.
	stableRounds = 4
)

// CheckRecovery heals all links, starts what is down, lets delayed messages travel, and
// lets time go by fairly: then a majority has to confirm a request. The state itself stays
// as it is. It returns the violation, or nil.
func (w *World) CheckRecovery() *Violation {
	next := w.clone()
	next.endFaults()
	next.awaitStableLeader()
	next.checkProperties()
	if next.violation != nil {
		return next.violation
	}
	leaseHolders := next.leaseHolders()
	if len(leaseHolders) != 1 {
		return &Violation{Progress, "nobody holds the lease a minute after all faults ended"}
	}
	return next.checkConfirms(leaseHolders[0])
}

// endFaults ends each fault that is in force.
func (w *World) endFaults() {
	clear(w.blockedLinks)
	for processIndex, p := range w.processes {
		switch {
		case p.draining:
			w.processes[processIndex] = p.stopped(len(p.unsynced)).restarted(w.config)
			continue
		case !p.up:
			w.processes[processIndex] = p.restarted(w.config)
			continue
		case p.paused:
			w.setPaused(processIndex, false)
		}
		if p.diskBlocked {
			w.setDiskBlocked(processIndex, false)
		}
	}
	for i := range w.inFlight {
		w.inFlight[i].delayed = false
	}
}

// awaitStableLeader lets time go by until one process has held the lease for stableRounds.
func (w *World) awaitStableLeader() {
	rounds := 0
	for end := w.now + recoveryTimeout; w.now < end && w.violation == nil && rounds < stableRounds; {
		w.passTime(clock.Second)
		rounds++
		if len(w.leaseHolders()) != 1 {
			rounds = 0
		}
	}
}

// checkConfirms puts a request that can't be rejected and waits for its acknowledgement.
func (w *World) checkConfirms(leader *process) *Violation {
	confirmedBefore := len(w.history.confirmed)
	w.submit(w.indexByName(leader.name), requestIndex(finalRequest))
	w.passTime(confirmTimeout)
	if w.violation != nil {
		return w.violation
	}
	if len(w.history.confirmed) == confirmedBefore {
		return &Violation{Progress, "a request is not confirmed within two seconds after all faults ended"}
	}
	return nil
}
