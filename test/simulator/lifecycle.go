package simulator

import (
	"fmt"
	"maps"
	"slices"

	"tuliprudder/internal/machine"
)

// Crash ends a node as a loss of power does: what was not synced is lost, but a prefix of it
// may have reached the disk without an acknowledgement.
func (n *Node) Crash() {
	if !n.up {
		return
	}
	w := n.world
	w.Tracef("%s crashes with %d writes under way", n.Name, len(n.disk.queue))
	if count := len(n.disk.queue); count > 0 {
		n.persist(n.disk.queue[:w.Random.Intn(count+1)])
	}
	n.up, n.lastFaultAt = false, w.Now
	n.generation++
	n.disk.queue, n.disk.syncing, n.disk.unsynced = nil, false, nil
	hooks := n.crashHooks
	n.crashHooks = map[uint64]func(){}
	for _, number := range slices.Sorted(maps.Keys(hooks)) {
		hooks[number]()
	}
}

// ChangeAddress gives a node that is down a new address: the seeds of others still name the
// old one.
func (w *World) ChangeAddress(n *Node) {
	delete(w.nodeByPeer, n.Peer)
	n.moveCount++
	old := n.Peer
	n.Peer = fmt.Sprintf("10.%d.%s:1", n.moveCount, n.Name)
	// Nodes that boot from now on get the new address; those that run keep the old one.
	seeds := append([]string(nil), w.seeds...)
	for i, seed := range seeds {
		if seed == old {
			seeds[i] = n.Peer
		}
	}
	w.seeds = seeds
	w.nodeByPeer[n.Peer] = n
	w.Tracef("%s moves to %s", n.Name, n.Peer)
}

// CloneNode makes another node whose disk is a copy of this one's, as it is now.
func (w *World) CloneNode(n *Node, name string) *Node {
	c := &Node{world: w, Name: name, Kind: n.Kind, Zone: n.Zone, Peer: "10.99." + name + ":1", ID: n.ID, incarnation: n.incarnation}
	c.disk.durable = append([]machine.Record(nil), n.disk.durable...)
	w.Nodes[name], w.nodeByPeer[c.Peer] = c, c
	w.nodeNames = append(w.nodeNames, name)
	return c
}

// Wipe empties the disk of a node that is down: it boots as a new identity.
func (n *Node) Wipe() {
	n.wipeCount++
	n.world.Tracef("%s is wiped", n.Name)
	n.disk.durable, n.disk.archive = nil, nil
	n.ID = fmt.Sprintf("%s-%02d%c", n.Kind, n.number(), 'a'+n.wipeCount%26)
	n.incarnation = 0
}

func (n *Node) number() int {
	for i, name := range n.world.Names(n.Kind) {
		if name == n.Name {
			return i + 1
		}
	}
	return 0
}

// Freeze stops a node without ending it; what arrives is deferred until Thaw.
func (n *Node) Freeze() {
	n.frozen, n.lastFaultAt = true, n.world.Now
	n.world.Tracef("%s freezes", n.Name)
}

// Thaw lets a frozen node go on with what arrived meanwhile.
func (n *Node) Thaw() {
	if !n.frozen {
		return
	}
	n.world.Tracef("%s thaws", n.Name)
	n.frozen, n.lastFaultAt = false, n.world.Now
	deferred := n.deferred
	n.deferred = nil
	for _, do := range deferred {
		n.runOrDefer(do)
	}
}
