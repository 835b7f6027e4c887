package simulation

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/ledger/replication"
	"tuliprudder/membership/identity"
)

// Settled tells whether every slot and the control state have all their copies, as
// many as the tolerance asks for, and all of them live.
func (w *World) Settled() bool {
	for _, name := range w.Names(identity.Core) {
		n := w.Nodes[name]
		if !n.up || n.frozen || !n.Core.Serving() {
			continue
		}
		c := n.Core.State()
		if len(c.Slots) == 0 {
			return false
		}
		for _, pairing := range c.Slots {
			if !pairing.Complete || len(membersOf(pairing)) < w.Size.copies(w.Size.Stores) {
				return false
			}
			for _, id := range membersOf(pairing) {
				if !w.live(id) {
					return false
				}
			}
		}
		if len(membersOf(n.Core.Vote().Committed)) < w.Size.copies(w.Size.Cores) {
			return false
		}
		for _, core := range n.Core.Vote().Voters {
			if !w.live(core.ID) {
				return false
			}
		}
		return true
	}
	return false
}

// membersOf are the daemons that hold a copy under an assignment.
func membersOf(a replication.Assignment) []string {
	return a.IDs()
}

// holders are the daemons that hold a copy of a slot, as the primary has it.
func (w *World) holders(slot int) []*Node {
	var out []*Node
	primary := w.primary()
	if !primary.up || primary.Core == nil || slot >= len(primary.Core.State().Slots) {
		return nil
	}
	for _, id := range membersOf(primary.Core.State().Slots[slot]) {
		if n := w.byID(id); n != nil {
			out = append(out, n)
		}
	}
	return out
}

func (w *World) live(id string) bool {
	for _, name := range w.names {
		if n := w.Nodes[name]; n.ID == id {
			return n.up && !n.frozen
		}
	}
	return false
}

// Describe is what the fleet looks like, for a breach.
func (w *World) Describe() string {
	var out []string
	for _, name := range w.Names(identity.Core) {
		n := w.Nodes[name]
		if !n.up {
			out = append(out, name+" down")
			continue
		}
		o := n.Core.Vote()
		out = append(out, fmt.Sprintf("%s(%s) %s term %d pending %v committed %d %v", name, n.ID, n.Core.Groups().Group("core").Role, o.Term, o.Pending.IDs(), o.Committed.Epoch, o.Committed.IDs()))
		if n.Core.Serving() {
			for slot, p := range n.Core.State().Slots {
				if !p.Complete || slices.ContainsFunc(membersOf(p), func(id string) bool { return !w.live(id) }) {
					out = append(out, fmt.Sprintf("slot %d %+v", slot, p))
				}
			}
		}
	}
	return strings.Join(out, "; ")
}

func (w *World) slots() int {
	for _, name := range w.Names(identity.Edge) {
		if n := w.Nodes[name]; n.edge != nil && len(n.edge.Reader.Map().Slots) > 0 {
			return len(n.edge.Reader.Map().Slots)
		}
	}
	return 1
}
