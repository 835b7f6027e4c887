package simulation

import (
	"fmt"
	"slices"

	"tuliprudder/kernel/machine"
)

// Crash ends a node. With power lost, what was not synced is gone, but a part
// of it may have reached the disk without anyone having been told.
func (n *Node) Crash() {
	if !n.up {
		return
	}
	w := n.world
	w.Note("%s crashes with %d writes under way", n.Name, len(n.disk.queue))
	if count := len(n.disk.queue); count > 0 {
		n.persist(n.disk.queue[:w.Chance.Intn(count+1)])
	}
	n.up, n.ill = false, w.Now
	n.era++
	n.disk.queue, n.disk.busy, n.disk.cached = nil, false, nil
	told := n.crashed
	n.crashed = map[uint64]func(){}
	numbers := make([]uint64, 0, len(told))
	for number := range told {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		told[number]()
	}
}

// Move gives a dead node a new address: the seeds of others still name the old.
func (w *World) Move(n *Node) {
	delete(w.byPeer, n.Peer)
	n.moves++
	old := n.Peer
	n.Peer = fmt.Sprintf("10.%d.%s:1", n.moves, n.Name)
	// Who boots from now on is given the new address; who runs keeps the old.
	seeds := append([]string(nil), w.seeds...)
	for i, seed := range seeds {
		if seed == old {
			seeds[i] = n.Peer
		}
	}
	w.seeds = seeds
	w.byPeer[n.Peer] = n
	w.Note("%s moves to %s", n.Name, n.Peer)
}

// Copy makes another node whose disk is a copy of this one's, as it is now.
func (w *World) Copy(n *Node, name string) *Node {
	c := &Node{world: w, Name: name, Kind: n.Kind, Zone: n.Zone, Peer: "10.99." + name + ":1", ID: n.ID, life: n.life}
	c.disk.durable = append([]machine.Record(nil), n.disk.durable...)
	w.Nodes[name], w.byPeer[c.Peer] = c, c
	w.names = append(w.names, name)
	return c
}

// Wipe empties a dead node's disk: what boots next is a new identity.
func (n *Node) Wipe() {
	n.wipes++
	n.world.Note("%s is wiped", n.Name)
	n.disk.durable, n.disk.shelf.files = nil, nil
	n.ID = fmt.Sprintf("%s-%02d%c", n.Kind, n.indexOf(), 'a'+n.wipes%26)
	n.life = 0
}

func (n *Node) indexOf() int {
	for i, name := range n.world.Names(n.Kind) {
		if name == n.Name {
			return i + 1
		}
	}
	return 0
}

// Freeze and Thaw stop and go on with a node.
func (n *Node) Freeze() { n.frozen, n.ill = true, n.world.Now; n.world.Note("%s freezes", n.Name) }

// Thaw lets a frozen node go on with what arrived meanwhile.
func (n *Node) Thaw() {
	if !n.frozen {
		return
	}
	n.world.Note("%s thaws", n.Name)
	n.frozen, n.ill = false, n.world.Now
	parked := n.parked
	n.parked = nil
	for _, do := range parked {
		n.take(do)
	}
}

func crash(n *Node, slots int) func() {
	n.Crash()
	return func() { n.Boot(slots) }
}

func wipe(n *Node, slots int) func() {
	n.Crash()
	n.Wipe()
	return func() { n.Boot(slots) }
}

func freeze(n *Node) func() {
	n.Freeze()
	return n.Thaw
}

func isolate(w *World, n *Node) func() {
	w.CutOff(n.Name, true)
	w.Note("%s is cut off", n.Name)
	return func() { w.CutOff(n.Name, false); w.Note("%s is back", n.Name) }
}

func run(undos []func()) {
	for _, undo := range undos {
		undo()
	}
}

// turn lets a server go wrong in some way.
func (s *Server) turn(mode string) func() {
	s.mode = mode
	s.world.Note("%s: %s", s.Name, mode)
	return func() {
		s.mode = ""
		s.world.Note("%s is well again", s.Name)
		s.wake()
	}
}
