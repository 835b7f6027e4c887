package gossip

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

const (
	// shuffleSample is the number of peers in a shuffle beside the sender; its answer has
	// shuffleAnswerSample.
	shuffleSample       = 2
	shuffleAnswerSample = 3
)

// addToView adds an address to the partial view unless the view is full.
func (n *Node) addToView(peer string) {
	isAddable := peer != "" && peer != n.self.Peer && !slices.Contains(n.view, peer)
	if isAddable && len(n.view) < n.settings.ViewSize {
		n.view = append(n.view, peer)
	}
}

// samplePeers returns up to count random addresses of the partial view.
func (n *Node) samplePeers(count int) []string { return n.sampleAddresses(n.view, count) }

// shuffleView exchanges samples of the partial view with a random peer. This daemon's sample includes
// its own address.
func (n *Node) shuffleView() {
	if peer := n.pickRandom(n.view); peer != "" {
		sample := append(n.samplePeers(shuffleSample), n.self.Peer)
		n.Emit(machine.Send{To: peer, Body: Shuffle{Peers: sample}})
	}
}

// handle answers a shuffle and adds the peer's sample to the partial view. If the view is full, each
// new address replaces a random one.
func (m Shuffle) handle(n *Node, from string, _ clock.Micros) {
	if !m.Answer {
		n.Emit(machine.Send{To: from, Body: Shuffle{Peers: n.samplePeers(shuffleAnswerSample), Answer: true}})
	}
	for _, peer := range m.Peers {
		if peer == n.self.Peer || slices.Contains(n.view, peer) {
			continue
		}
		if len(n.view) < n.settings.ViewSize {
			n.view = append(n.view, peer)
		} else {
			n.view[n.random.Intn(len(n.view))] = peer
		}
	}
}

// refillView removes the addresses of dead members from the partial view and fills it up with live
// members.
func (n *Node) refillView() {
	remaining := n.view[:0]
	for _, peer := range n.view {
		if !n.hasDeadMemberAt(peer) {
			remaining = append(remaining, peer)
		}
	}
	n.view = remaining
	for _, member := range n.liveMembers() {
		n.addToView(member.Peer)
	}
}

func (n *Node) hasDeadMemberAt(peer string) bool {
	for _, member := range n.members {
		if member.Peer == peer && member.Status >= membership.Dead {
			return true
		}
	}
	return false
}
