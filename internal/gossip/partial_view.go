package gossip

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

const (
	// shuffleSample is the number of other peers that a shuffle names; the answer names
	// shuffleAnswerSample.
	shuffleSample       = 2
	shuffleAnswerSample = 3
)

// addToView adds an address to the partial view while there is room.
func (n *Node) addToView(peer string) {
	isAddable := peer != "" && peer != n.self.Peer && !slices.Contains(n.view, peer)
	if isAddable && len(n.view) < n.settings.ViewSize {
		n.view = append(n.view, peer)
	}
}

// samplePeers picks some addresses of the partial view.
func (n *Node) samplePeers(count int) []string { return n.sampleAddresses(n.view, count) }

// shuffleView swaps a sample of the partial view, with this daemon's own address, with one peer.
func (n *Node) shuffleView() {
	if peer := n.pickRandom(n.view); peer != "" {
		sample := append(n.samplePeers(shuffleSample), n.self.Peer)
		n.Emit(machine.Send{To: peer, Body: Shuffle{Peers: sample}})
	}
}

// handle answers a shuffle and takes the peer's sample into the view, in place of random others
// where it is full.
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

// refillView drops the addresses of dead members from the partial view and fills it with live
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
