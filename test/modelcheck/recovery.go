package modelcheck

import "tuliprudder/internal/clock"

const (
	// recoveryTimeout is how long a healed fleet may take to get a stable lease holder.
	recoveryTimeout = 60 * clock.Second
	// confirmTimeout is how long a stable leader may take to confirm a request.
	confirmTimeout = 2 * clock.Second
	// stableRounds is for how many consecutive seconds there must be exactly one lease holder.
	stableRounds = 4
)

// CheckRecovery heals all links, starts processes that are down, releases delayed messages, and lets
// time pass: then a majority must confirm a request. It works on a copy and does not modify w. It
// returns the violation, or nil.
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
		return &Violation{Progress, "no process holds the lease a minute after all faults ended"}
	}
	return next.checkConfirms(leaseHolders[0])
}

// endFaults ends each active fault.
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

// awaitStableLeader lets time pass until there has been exactly one lease holder for stableRounds
// seconds, at most for recoveryTimeout.
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

// checkConfirms submits a request that cannot be rejected and checks that it is confirmed within
// confirmTimeout.
func (w *World) checkConfirms(leader *process) *Violation {
	confirmedBefore := len(w.history.confirmed)
	w.submit(w.indexByName(leader.name), requestIndex(finalRequest))
	w.passTime(confirmTimeout)
	if w.violation != nil {
		return w.violation
	}
	if len(w.history.confirmed) == confirmedBefore {
		return &Violation{Progress, "the stable leader did not confirm a request within two seconds after all faults ended"}
	}
	return nil
}
