package eventloop

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/transport"
)

// maxQuorumContactAge is the age of this daemon's updates beyond which it accepts no changes
// to the endpoint list, since they might not reach a majority of the voters.
const maxQuorumContactAge = 2500 * clock.Millisecond

// enqueueGossip puts a command for the gossip node on its ring; it returns false if the ring
// is full or closed.
func (l *Loop) enqueueGossip(command gossip.Command) bool {
	return l.gossipThread.enqueue(func(now clock.Micros) []machine.Effect { return l.gossip.Do(command, now) })
}

func (l *Loop) enqueueGossipMessage(message transport.Envelope) {
	l.enqueueGossip(gossip.Message{From: message.From, Body: message.Body})
}

// Publish spreads an update that originates at this daemon.
func (l *Loop) Publish(update machine.Update) { l.enqueueGossip(gossip.Publish{Update: update}) }

// Broadcast spreads an update that originates at this daemon and waits until a majority of the
// voters have acknowledged it. The error is errs.OutcomeUnknown if they have not within the
// timeout, or if the daemon stops first.
func (l *Loop) Broadcast(update machine.Update, timeout clock.Micros) error {
	callNumber, reply := l.calls.open()
	if !l.enqueueGossip(gossip.Broadcast{Update: update, Call: callNumber, Timeout: timeout}) {
		l.calls.abandon(callNumber)
		return errRingFull()
	}
	select {
	case got := <-reply:
		return got.Err
	case <-l.stopping:
		l.calls.abandon(callNumber)
		return errs.New(errs.OutcomeUnknown, "read back what is in force", "this daemon is stopping, and the update has not been acknowledged yet")
	}
}

// SetSeeds replaces the seed addresses.
func (l *Loop) SetSeeds(seeds []string) { l.enqueueGossip(gossip.SetSeeds{Seeds: seeds}) }

// AnnounceDraining tells the members that this daemon will stop soon.
func (l *Loop) AnnounceDraining() { l.enqueueGossip(gossip.Drain{}) }

// AnnounceLeft tells the members that this daemon has stopped on purpose.
func (l *Loop) AnnounceLeft() { l.enqueueGossip(gossip.Leave{}) }

// CheckQuorumContact returns nil if this daemon has recently had contact with a majority of
// the voters, and errs.NotReady otherwise.
func (l *Loop) CheckQuorumContact() error {
	l.gossipThread.mu.Lock()
	age := l.Now() - l.gossip.FreshUntil()
	l.gossipThread.mu.Unlock()
	if age > maxQuorumContactAge {
		return errs.NewWithRetry(errs.NotReady, clock.Second, "send it to another daemon, or retry", "this daemon has no contact with a majority of the voters; nothing was changed")
	}
	return nil
}

// Members lists the members as this daemon knows them, by id.
func (l *Loop) Members() []membership.Member {
	l.gossipThread.mu.Lock()
	defer l.gossipThread.mu.Unlock()
	return l.gossip.Members()
}

// Update returns the update known under a key, and false if there is none.
func (l *Loop) Update(key string) (machine.Update, bool) {
	l.gossipThread.mu.Lock()
	defer l.gossipThread.mu.Unlock()
	return l.gossip.Update(key)
}

// UpdatesWithPrefix lists the updates whose keys begin with a prefix.
func (l *Loop) UpdatesWithPrefix(prefix string) []machine.Update {
	l.gossipThread.mu.Lock()
	defer l.gossipThread.mu.Unlock()
	return l.gossip.UpdatesWithPrefix(prefix)
}
