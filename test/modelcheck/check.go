package modelcheck

import (
	"slices"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// readCall is the call number of the checks' own reads; operators' calls have lower numbers.
const readCall = 1 << 40

// checkProperties checks the state for violated properties.
func (w *World) checkProperties() {
	if w.violation != nil {
		return
	}
	leaseHolders := w.checkReads()
	for _, p := range w.processes {
		if p.up && p.isPrimary {
			w.checkElection(p)
			w.checkLeader(p, slices.Contains(leaseHolders, p))
		}
	}
	w.history.bootstrapped = w.history.bootstrapped || len(leaseHolders) > 0
	if len(leaseHolders) == 1 {
		w.recordVoters(leaseHolders[0])
		w.clearReplacedLosses(leaseHolders[0])
	}
}

// checkReads reads the latest configuration from every process that would serve it, and
// returns these processes.
func (w *World) checkReads() []*process {
	var leaseHolders []*process
	for _, p := range w.processes {
		latest, leased := w.readLatest(p)
		if !leased {
			continue
		}
		leaseHolders = append(leaseHolders, p)
		if newest := w.history.newestConfirmed(); latest < newest {
			w.addViolation(NoStaleRead, "%s answers a read with version %d; %d is confirmed", p.name, latest, newest)
		}
	}
	if len(leaseHolders) > 1 {
		one, two := leaseHolders[0], leaseHolders[1]
		w.addViolation(OneLease, "%s (epoch %d) and %s (epoch %d) would both serve a read", one.name, one.epoch, two.name, two.epoch)
	}
	return leaseHolders
}

// readLatest reads the latest configuration from a process. It returns the configuration's number
// and whether the process holds the lease required to answer. The read does not modify the state.
func (w *World) readLatest(p *process) (latest uint64, leased bool) {
	if !p.up || p.paused || !p.isServing || p.endsProbation(w.now) {
		return 0, false
	}
	read := controlplane.Call{Number: readCall, Body: controlplane.ConfigurationsRequest{Latest: true}}
	for _, effect := range p.machine(w.config).Do(read, w.now) {
		reply, ok := effect.(machine.Reply)
		if !ok || reply.Call != readCall {
			continue
		}
		if configurations, ok := reply.Body.(controlplane.ConfigurationsResponse); ok && len(configurations.Versions) == 1 {
			return configurations.Versions[0].Number, true
		}
		return 0, errs.Is(reply.Err, errs.NotFound)
	}
	return 0, false
}

// leaseHolders returns the processes that would serve a read now.
func (w *World) leaseHolders() []*process {
	var leaseHolders []*process
	for _, p := range w.processes {
		if _, leased := w.readLatest(p); leased {
			leaseHolders = append(leaseHolders, p)
		}
	}
	return leaseHolders
}

// checkLeader checks that a leader has every document confirmed before its epoch, and that a
// leader with the lease has every document ever confirmed.
func (w *World) checkLeader(p *process, leased bool) {
	for _, c := range w.history.confirmed {
		mayLack := c.epoch >= p.epoch && !leased
		if mayLack || c.isIn(p.machine(w.config)) {
			continue
		}
		if leased {
			w.addViolation(NothingLost, "%s leads in epoch %d with the lease and lacks version %d %s, confirmed in epoch %d", p.name, p.epoch, c.number, c.body, c.epoch)
		} else {
			w.addViolation(CompleteLeader, "%s leads in epoch %d and lacks version %d %s, confirmed in epoch %d", p.name, p.epoch, c.number, c.body, c.epoch)
		}
	}
}
