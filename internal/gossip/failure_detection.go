package gossip

import (
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

const (
	// maxIndirectProbes is the maximum number of peers that are asked to probe a member that has not
	// replied.
	maxIndirectProbes = 2
	// maxProbeTimeouts is the duration of a probe in ProbeTimeouts: one for the direct reply, the rest
	// for the requests to the indirect probers, the time that they wait, and their results.
	maxProbeTimeouts = 4
)

// outstandingProbe is a probe by this daemon that has not been answered.
type outstandingProbe struct {
	id, peer           string
	sentAt             clock.Micros
	indirectProbesSent bool
	// failedIndirect is the number of indirect probers that did not reach the member either.
	failedIndirect int
}

// indirectProbe is a probe on behalf of another daemon.
type indirectProbe struct {
	requester string // address of that daemon
	nonce     uint64 // nonce of the requester's probe
	deadline  clock.Micros
}

// probeNext probes the next member of the cycle. A cycle has every live member, in random order.
func (n *Node) probeNext(now clock.Micros) {
	if len(n.probeSequence) == 0 {
		n.beginProbeCycle()
	}
	if len(n.probeSequence) == 0 {
		return
	}
	id := n.probeSequence[0]
	n.probeSequence = n.probeSequence[1:]
	member, known := n.members[id]
	if !known || !isLive(member) {
		return
	}
	nonce := n.nextNonce()
	n.probes[nonce] = &outstandingProbe{id: id, peer: member.Peer, sentAt: now}
	n.Emit(machine.Send{To: member.Peer, Body: Probe{Nonce: nonce}})
}

func (n *Node) beginProbeCycle() {
	for _, member := range n.liveMembers() {
		n.probeSequence = append(n.probeSequence, member.ID)
	}
	n.random.Shuffle(len(n.probeSequence), func(i, j int) {
		n.probeSequence[i], n.probeSequence[j] = n.probeSequence[j], n.probeSequence[i]
	})
}

func (m Probe) handle(n *Node, from string, _ clock.Micros) {
	n.Emit(machine.Send{To: from, Body: ProbeReply(m)})
}

// handle ends this daemon's probe, or reports success to the daemon that requested an indirect probe.
func (m ProbeReply) handle(n *Node, _ string, _ clock.Micros) {
	if m.For == "" {
		delete(n.probes, m.Nonce)
		return
	}
	if probe, ok := n.indirectProbes[m.Nonce]; ok {
		delete(n.indirectProbes, m.Nonce)
		n.Emit(machine.Send{To: probe.requester, Body: IndirectResult{Nonce: probe.nonce, Reached: true}})
	}
}

// handle probes a target on behalf of the sender.
func (m IndirectProbe) handle(n *Node, from string, now clock.Micros) {
	nonce := n.nextNonce()
	n.indirectProbes[nonce] = indirectProbe{requester: from, nonce: m.Nonce, deadline: now + n.settings.ProbeTimeout}
	n.Emit(machine.Send{To: m.Target, Body: Probe{Nonce: nonce, For: from}})
}

func (m IndirectResult) handle(n *Node, _ string, _ clock.Micros) {
	probe := n.probes[m.Nonce]
	if probe == nil {
		return
	}
	if m.Reached {
		delete(n.probes, m.Nonce)
	} else {
		probe.failedIndirect++
	}
}

// checkProbes requests indirect probes of members that have not replied directly, suspects members
// that no prober reached, and declares suspects dead.
func (n *Node) checkProbes(now clock.Micros) {
	n.reportFailedIndirectProbes(now)
	for _, nonce := range sortedNonces(n.probes) {
		probe := n.probes[nonce]
		waited := now - probe.sentAt
		switch {
		case !probe.indirectProbesSent && waited >= n.settings.ProbeTimeout:
			probe.indirectProbesSent = true
			n.sendIndirectProbes(nonce, probe.peer)
		case probe.indirectProbesSent && waited >= maxProbeTimeouts*n.settings.ProbeTimeout:
			delete(n.probes, nonce)
			n.suspect(probe, now)
		}
	}
	n.declareDead(now)
}

// suspect marks a member as suspect after its probe ended without a reply, if at least one indirect
// prober reported that it did not reach the member either.
func (n *Node) suspect(probe *outstandingProbe, now clock.Micros) {
	member, known := n.members[probe.id]
	if known && probe.failedIndirect > 0 && member.Status == membership.Alive {
		n.Suspected++
		n.setStatus(member, membership.Suspect, now)
	}
}

// reportFailedIndirectProbes reports failure to the daemons that requested an indirect probe of a
// member that has not replied in time.
func (n *Node) reportFailedIndirectProbes(now clock.Micros) {
	for _, nonce := range sortedNonces(n.indirectProbes) {
		probe := n.indirectProbes[nonce]
		if now >= probe.deadline {
			delete(n.indirectProbes, nonce)
			n.Emit(machine.Send{To: probe.requester, Body: IndirectResult{Nonce: probe.nonce}})
		}
	}
}

func (n *Node) sendIndirectProbes(nonce uint64, target string) {
	sent := 0
	for _, i := range n.random.Perm(len(n.view)) {
		if peer := n.view[i]; peer != target && sent < maxIndirectProbes {
			sent++
			n.Emit(machine.Send{To: peer, Body: IndirectProbe{Nonce: nonce, Target: target}})
		}
	}
}

// declareDead declares suspects dead that have not refuted the suspicion in time, but not while this
// daemon's own updates are stale: it may have missed a refutation.
func (n *Node) declareDead(now clock.Micros) {
	for _, member := range n.sortedMembers() {
		if member.Status != membership.Suspect || member.ID == n.self.ID {
			continue
		}
		isOverdue := now-n.statusSince[member.ID] >= n.settings.SuspicionTimeout
		isFresh := now-n.freshUntil < n.settings.SuspicionTimeout
		if isOverdue && isFresh {
			n.setStatus(member, membership.Dead, now)
		}
	}
}

// sortedNonces returns the keys of a map in increasing order, so that the order of effects does not
// depend on Go's map iteration order.
func sortedNonces[T any](m map[uint64]T) []uint64 {
	out := make([]uint64, 0, len(m))
	for nonce := range m {
		out = append(out, nonce)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
