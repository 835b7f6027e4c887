package gossip

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Command is an input of a Node.
type Command = machine.Command[*Node]

// Message is a message from the daemon at address From. A body that is not a message of this package
// is ignored.
type Message struct {
	From string
	Body any
}

// Apply handles the message.
func (m Message) Apply(n *Node, now clock.Micros) {
	n.addToView(m.From)
	if body, ok := m.Body.(message); ok {
		body.handle(n, m.From, now)
	}
}

// Publish publishes an update that originates at this daemon.
type Publish struct{ Update machine.Update }

// Apply records the update. It is sent with the next pending updates, at the latest at the next tick.
func (p Publish) Apply(n *Node, now clock.Micros) { n.publish(p.Update, now) }

// SetSeeds replaces the seed addresses.
type SetSeeds struct{ Seeds []string }

// Apply replaces the seed addresses.
func (r SetSeeds) Apply(n *Node, _ clock.Micros) { n.seeds = r.Seeds }

// Drain announces that this daemon is about to stop.
type Drain struct{}

// Apply announces that this daemon is about to stop.
func (Drain) Apply(n *Node, now clock.Micros) {
	n.self.Draining = true
	n.self.Statement++
	n.announceSelf(now)
	n.sendPending()
}

// Leave announces that this daemon has stopped intentionally.
type Leave struct{}

// Apply announces that this daemon has stopped intentionally.
func (Leave) Apply(n *Node, now clock.Micros) {
	n.self.Status = membership.Left
	n.announceSelf(now)
	n.sendPending()
}

// Tick runs the periodic tasks that are due. It is applied every few tens of milliseconds.
type Tick struct{}

// schedule holds the times at which the periodic tasks are due next.
type schedule struct{ probe, digest, shuffle, join clock.Micros }

const (
	// joinInterval is the time between digests to a seed and to dead members, in a daemon that knows
	// at least minLiveMembers live members.
	joinInterval = 3 * clock.Second
	// isolatedJoinInterval is the joinInterval of a daemon that knows fewer.
	isolatedJoinInterval = 200 * clock.Millisecond
	minLiveMembers       = 2
)

// Apply runs the periodic tasks that are due.
func (Tick) Apply(n *Node, now clock.Micros) {
	n.checkProbes(now)
	n.checkPushes(now)
	if now >= n.nextDue.probe {
		n.nextDue.probe = now + n.settings.ProbeInterval
		n.probeNext(now)
	}
	if now >= n.nextDue.digest {
		n.nextDue.digest = now + n.settings.DigestInterval
		n.exchangeDigest(now)
	}
	if now >= n.nextDue.shuffle {
		n.nextDue.shuffle = now + n.settings.ShuffleInterval
		n.shuffleView()
		n.removeDeadMembers(now)
		n.removeStaleComparisons(now)
	}
	if now >= n.nextDue.join {
		n.nextDue.join = now + n.joinInterval()
		n.contactSeed(now)
		n.contactDead(now)
	}
	n.sendPending()
}

func (n *Node) joinInterval() clock.Micros {
	if len(n.liveMembers()) < minLiveMembers {
		return isolatedJoinInterval
	}
	return joinInterval
}
