package gossip

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Broadcast publishes an update that counts as delivered once a majority of the voters know it.
// Every daemon whose updates become fresh after that knows it, because the two majorities share a
// voter (docs/DESIGN.md, section 3.4). The call is then answered with Body, or with
// errs.OutcomeUnknown after Timeout.
type Broadcast struct {
	Update  machine.Update
	Call    uint64
	Body    any
	Timeout clock.Micros // microseconds
}

// outstandingPush is a broadcast that no majority of the voters has acknowledged yet.
type outstandingPush struct {
	Broadcast
	deadline, nextSend clock.Micros
	acknowledged       map[string]bool // by voter ID
}

const (
	// firstVersionWithPush is the first protocol version with PushUpdate.
	firstVersionWithPush = 2
	// pushInterval is the time between pushes of an update to the voters that have not acknowledged
	// it.
	pushInterval = 120 * clock.Millisecond
)

// Apply publishes the update and pushes it to the voters.
func (b Broadcast) Apply(n *Node, now clock.Micros) {
	n.publish(b.Update, now)
	n.sendPending()
	n.pushes[n.nextNonce()] = &outstandingPush{
		Broadcast:    b,
		deadline:     now + b.Timeout,
		acknowledged: map[string]bool{n.self.ID: true},
	}
	n.checkPushes(now)
}

// checkPushes answers the broadcasts that are delivered or timed out, and repeats the pushes of the
// others when due.
func (n *Node) checkPushes(now clock.Micros) {
	for _, nonce := range sortedNonces(n.pushes) {
		push := n.pushes[nonce]
		switch {
		case n.isMajority(func(id string) bool { return push.acknowledged[id] }):
			delete(n.pushes, nonce)
			n.Emit(machine.Reply{Call: push.Call, Body: push.Body})
		case now >= push.deadline:
			delete(n.pushes, nonce)
			n.Emit(machine.Reply{Call: push.Call, Err: errNotAcknowledged()})
		case now >= push.nextSend:
			push.nextSend = now + pushInterval
			n.pushToVoters(nonce, push)
		}
	}
}

func errNotAcknowledged() error {
	return errs.NewWithRetry(errs.OutcomeUnknown, clock.Second,
		"read the value that is in force, or send the update again to another daemon",
		"the update was sent, but no majority of the voters acknowledged it in time")
}

// pushToVoters sends an update to the voters that have not acknowledged it.
func (n *Node) pushToVoters(nonce uint64, push *outstandingPush) {
	for _, member := range n.sortedMembers() {
		if n.isVoter(member.ID) && !push.acknowledged[member.ID] {
			n.pushTo(member, nonce, push)
		}
	}
}

// pushTo sends an update to a voter. The previous release does not know PushUpdate and would drop
// the messages that are sent together with it. Such a voter is sent the update as Gossip and counts as
// having acknowledged it.
func (n *Node) pushTo(voter membership.Member, nonce uint64, push *outstandingPush) {
	if voter.Version < firstVersionWithPush {
		push.acknowledged[voter.ID] = true
		n.Emit(machine.Send{To: voter.Peer, Body: Gossip{Updates: []machine.Update{push.Update}}})
		return
	}
	n.Emit(machine.Send{To: voter.Peer, Body: PushUpdate{Update: push.Update, Nonce: nonce}})
}

// handle records the update, forwards it and acknowledges it.
func (m PushUpdate) handle(n *Node, from string, now clock.Micros) {
	n.receive([]machine.Update{m.Update}, now)
	n.sendPending()
	n.Emit(machine.Send{To: from, Body: PushAck{Nonce: m.Nonce, ID: n.self.ID}})
}

func (m PushAck) handle(n *Node, _ string, now clock.Micros) {
	if push := n.pushes[m.Nonce]; push != nil {
		push.acknowledged[m.ID] = true
		n.checkPushes(now)
	}
}
