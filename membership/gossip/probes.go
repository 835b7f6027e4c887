package gossip

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
)

type outstandingProbe struct {
	id, peer    string
	sentAt      clock.Micros
	askedOthers bool
	failures    int
}

type indirectProbe struct {
	requester string
	nonce     uint64
	expiry    clock.Micros
}

func (c *Node) probe(now clock.Micros) {
	if len(c.order) == 0 {
		for _, p := range c.sortedMembers() {
			if p.ID != c.self.ID && p.Status <= identity.Suspect {
				c.order = append(c.order, p.ID)
			}
		}
		c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	if len(c.order) == 0 {
		return
	}
	id := c.order[0]
	c.order = c.order[1:]
	member, ok := c.members[id]
	if !ok || member.Status > identity.Suspect {
		return
	}
	c.nonce++
	c.probes[c.nonce] = &outstandingProbe{id: id, peer: member.Peer, sentAt: now}
	c.Emit(machine.Send{To: member.Peer, Body: Probe{Nonce: c.nonce}})
}

func (c *Node) probeAnswered(reply ProbeReply) {
	if reply.For != "" {
		if help, ok := c.indirectProbes[reply.Nonce]; ok {
			delete(c.indirectProbes, reply.Nonce)
			c.Emit(machine.Send{To: help.requester, Body: IndirectResult{Nonce: help.nonce, Reached: true}})
		}
		return
	}
	delete(c.probes, reply.Nonce)
}

// judgeProbes asks second witnesses where the direct reply stayed out, and suspects
// a daemon only when a witness could not reach it either.
func (c *Node) judgeProbes(now clock.Micros) {
	for _, nonce := range sortedNonces(c.indirectProbes) {
		if help := c.indirectProbes[nonce]; now >= help.expiry {
			delete(c.indirectProbes, nonce)
			c.Emit(machine.Send{To: help.requester, Body: IndirectResult{Nonce: help.nonce}})
		}
	}
	for _, nonce := range sortedNonces(c.probes) {
		p := c.probes[nonce]
		switch {
		case !p.askedOthers && now-p.sentAt >= c.set.ProbeWait:
			p.askedOthers = true
			helpers := 0
			for _, at := range c.random.Perm(len(c.view)) {
				if peer := c.view[at]; peer != p.peer && helpers < 2 {
					helpers++
					c.Emit(machine.Send{To: peer, Body: IndirectProbe{Nonce: nonce, Target: p.peer}})
				}
			}
		case p.askedOthers && now-p.sentAt >= 4*c.set.ProbeWait:
			delete(c.probes, nonce)
			if member, ok := c.members[p.id]; ok && p.failures > 0 && member.Status == identity.Alive {
				member.Status = identity.Suspect
				c.Suspected++
				c.receive([]machine.Update{{Key: identity.Key(member.ID), Epoch: member.Incarnation, Seq: member.Seq(), Value: member.Encode()}}, now)
			}
		}
	}
	for _, member := range c.sortedMembers() {
		if member.Status == identity.Suspect && now-c.statusSince[member.ID] >= c.set.Suspicion && member.ID != c.self.ID && now-c.lastSwap < c.set.Suspicion {
			member.Status = identity.Dead
			c.receive([]machine.Update{{Key: identity.Key(member.ID), Epoch: member.Incarnation, Seq: member.Seq(), Value: member.Encode()}}, now)
		}
	}
}

func sortedNonces[T any](m map[uint64]T) []uint64 {
	out := make([]uint64, 0, len(m))
	for nonce := range m {
		out = append(out, nonce)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
