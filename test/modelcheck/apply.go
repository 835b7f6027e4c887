package modelcheck

import (
	"slices"

	"tuliprudder/internal/controlplane"
)

// Apply returns the state after an event, or w and false if the event is not possible in w.
func (w *World) Apply(e Event) (*World, bool) {
	next := w.clone()
	if !next.apply(e) {
		return w, false
	}
	next.checkProperties()
	return next, true
}

func (w *World) apply(e Event) bool {
	switch e.Kind {
	case PassTime:
		w.faultsUsed.timePasses++
		w.passTime(e.Duration)
		return true
	case AdvanceClocks:
		w.faultsUsed.timePasses++
		w.now += e.Duration
		return true
	case DeliverAll:
		w.deliverAll()
		return true
	case Deliver, Drop, Repeat, Delay:
		return w.applyToMessage(e)
	case Partition, BlockOutgoing, BlockIncoming, BlockMessageType, Heal:
		return w.applyToLinks(e)
	case CrashAll:
		w.crashAll(e.KeepWrites)
		return true
	}
	processIndex := w.indexByName(e.Processes[0])
	return processIndex >= 0 && w.applyToProcess(e, processIndex)
}

func (w *World) crashAll(keepWrites int) {
	w.faultsUsed.crashes++
	for processIndex, p := range w.processes {
		if p.up {
			w.processes[processIndex] = p.stopped(keepWrites)
		}
	}
}

func (w *World) applyToMessage(e Event) bool {
	i := w.findMessage(e)
	if i < 0 {
		return false
	}
	m := w.inFlight[i]
	if e.Kind != Deliver {
		w.faultsUsed.messageFaults++
	}
	switch e.Kind {
	case Delay:
		w.inFlight[i].delayed = true
		return !m.delayed
	case Deliver, Drop:
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	return e.Kind == Drop || w.deliver(m)
}

func (w *World) applyToLinks(e Event) bool {
	before := len(w.blockedLinks)
	if e.Kind == Heal {
		clear(w.blockedLinks)
		return before > 0
	}
	w.faultsUsed.partitions++
	if e.Kind == BlockMessageType {
		from, to := w.indexByName(e.Processes[0]), w.indexByName(e.Processes[1])
		w.blockedLinks[link{from, to, e.Message}] = true
		return from >= 0 && to >= 0 && len(w.blockedLinks) > before
	}
	for from, sender := range w.processes {
		for to, receiver := range w.processes {
			if e.blocks(sender.name, receiver.name) {
				w.blockedLinks[link{from, to, ""}] = true
			}
		}
	}
	return len(w.blockedLinks) > before
}

// blocks reports whether an event blocks the link from a sender to a receiver.
func (e Event) blocks(sender, receiver string) bool {
	fromSet, toSet := slices.Contains(e.Processes, sender), slices.Contains(e.Processes, receiver)
	switch e.Kind {
	case Partition:
		return fromSet != toSet
	case BlockOutgoing:
		return fromSet && !toSet
	case BlockIncoming:
		return toSet && !fromSet
	}
	return false
}

// applyToProcess applies an event to one process; it returns false if the event is not possible.
func (w *World) applyToProcess(e Event, processIndex int) bool {
	p := w.processes[processIndex]
	switch e.Kind {
	case Start:
		if p.up {
			return false
		}
		w.processes[processIndex] = p.restarted(w.config)
		return true
	case Wipe, Replace:
		w.wipe(processIndex, e.Kind == Replace)
		return true
	}
	return p.up && w.applyToRunning(e, processIndex)
}

// applyToRunning applies an event that requires the process to be up.
func (w *World) applyToRunning(e Event, processIndex int) bool {
	p := w.processes[processIndex]
	switch e.Kind {
	case Tick:
		if p.paused {
			return false
		}
		w.execute(processIndex, controlplane.Tick{})
	case Sync:
		return !p.paused && w.syncOldestWrite(processIndex)
	case Crash:
		w.faultsUsed.crashes++
		w.processes[processIndex] = p.stopped(e.KeepWrites)
	case Pause, Resume:
		return w.setPaused(processIndex, e.Kind == Pause)
	case BlockDisk, UnblockDisk:
		return w.setDiskBlocked(processIndex, e.Kind == BlockDisk)
	case PutConfiguration:
		return w.putConfiguration(processIndex, e.Request)
	case Drain:
		w.drain(processIndex)
	}
	return true
}

// setPaused suspends a process without terminating it, or resumes it; it returns false if the
// process is in that state already.
func (w *World) setPaused(processIndex int, paused bool) bool {
	before := w.processes[processIndex].paused
	next := *w.processes[processIndex]
	next.paused = paused
	next.cachedFingerprint = 0
	w.processes[processIndex] = &next
	if paused {
		w.faultsUsed.pauses++
	}
	return before != paused
}

// drain notifies a process that it is about to be removed.
func (w *World) drain(processIndex int) {
	w.faultsUsed.drains++
	w.execute(processIndex, controlplane.Drain{})
	next := *w.processes[processIndex]
	next.draining = true
	next.cachedFingerprint = 0
	w.processes[processIndex] = &next
}

// wipe terminates a process permanently and starts one with an empty disk in its place, at the
// same address or at a new one.
func (w *World) wipe(processIndex int, atNewAddress bool) {
	w.faultsUsed.wipes++
	p := w.processes[processIndex]
	w.history.lost = append(w.history.lost, p.id())
	w.history.wiped = append(w.history.wiped, p.id())
	address := p.address()
	if atNewAddress {
		address = w.newAddress(p.name)
	}
	next := w.config.newProcess(processIndex, p.generation+1, address)
	if w.config.fault().KeepIdentity {
		next.boot.self.ID, next.boot.incarnation = p.boot.self.ID, p.boot.incarnation
	}
	w.processes[processIndex] = next.restarted(w.config)
}

// newAddress returns an address that no process uses.
func (w *World) newAddress(processName string) string {
	address := processName + "-moved"
	for w.indexByAddress(address) >= 0 {
		address += "-again"
	}
	return address
}
