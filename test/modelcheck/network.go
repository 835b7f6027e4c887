package modelcheck

import (
	"slices"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/replication"
)

// message is a message in flight.
type message struct {
	from, to string // addresses
	body     any
	delayed  bool // stays in flight until an event names it
}

// isRoutine reports whether a message only renews existing state. Such messages are sent
// periodically, and runs that are not fine-grained do not make each delivery an event of its own.
func (m message) isRoutine() bool {
	switch m.body.(type) {
	case election.Heartbeat, replication.LeaseRequest, replication.LeaseGrant:
		return true
	}
	return false
}

// maxInFlight bounds the messages in flight; above it, the oldest routine message is dropped.
const maxInFlight = 120

// maxDeliveryRounds bounds the rounds of deliveries at one point in time.
const maxDeliveryRounds = 40

// link is one direction between two processes, given by their indexes, for one kind of message, or
// for all kinds if messageType is empty.
type link struct {
	from, to    int
	messageType string
}

func (w *World) send(m message) {
	w.checkSender(m)
	w.inFlight = append(w.inFlight, m)
	if len(w.inFlight) <= maxInFlight {
		return
	}
	oldest := max(0, slices.IndexFunc(w.inFlight, message.isRoutine))
	w.inFlight = slices.Delete(w.inFlight, oldest, oldest+1)
}

// deliver passes a message to its receiver; it returns false if the message cannot arrive now.
func (w *World) deliver(m message) bool {
	from, to := w.indexByAddress(m.from), w.indexByAddress(m.to)
	if to < 0 || !w.processes[to].up || w.processes[to].paused || w.isBlocked(from, to, m.kind()) {
		return false
	}
	w.execute(to, controlplane.Message{From: m.from, Body: m.body})
	return true
}

// isBlocked reports whether a link loses all messages or those of the given kind.
func (w *World) isBlocked(from, to int, kind string) bool {
	return w.blockedLinks[link{from, to, ""}] || w.blockedLinks[link{from, to, kind}]
}

// staysInFlight reports whether a message stays in flight when all others are delivered.
func (w *World) staysInFlight(m message) bool {
	to := w.indexByAddress(m.to)
	receiverPaused := to >= 0 && w.processes[to].up && w.processes[to].paused
	return m.delayed || receiverPaused
}

// deliverAll delivers all messages that are not delayed and syncs all writes, until none are left
// or after maxDeliveryRounds.
func (w *World) deliverAll() {
	for range maxDeliveryRounds {
		synced := w.syncAll()
		delivered := w.deliverInFlight()
		if !synced && !delivered {
			return
		}
	}
}

// syncAll syncs the writes of all processes that are not paused; it returns false if there were
// none.
func (w *World) syncAll() bool {
	synced := false
	for processIndex, p := range w.processes {
		for !p.paused && w.syncOldestWrite(processIndex) {
			synced = true
		}
	}
	return synced
}

// deliverInFlight delivers the messages in flight, but not those sent meanwhile; it returns false if
// all stay in flight.
func (w *World) deliverInFlight() bool {
	sent := w.inFlight
	w.inFlight = nil
	delivered := false
	for _, m := range sent {
		if w.staysInFlight(m) {
			w.inFlight = append(w.inFlight, m)
			continue
		}
		delivered = true
		w.deliver(m)
	}
	return delivered
}

// findMessage returns the index of the message in flight that an event names by its link, kind and
// index among those, or -1.
func (w *World) findMessage(e Event) int {
	from, to := w.indexByName(e.Processes[0]), w.indexByName(e.Processes[1])
	if from < 0 || to < 0 {
		return -1
	}
	sameKind := 0
	for i, m := range w.inFlight {
		if w.indexByAddress(m.from) != from || w.indexByAddress(m.to) != to || m.kind() != e.Message {
			continue
		}
		if sameKind == e.Index {
			return i
		}
		sameKind++
	}
	return -1
}
