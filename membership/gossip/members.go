package gossip

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// forget drops the directory entries of daemons long dead.
func (c *Node) forget(now clock.Micros) {
	for _, member := range c.sortedMembers() {
		if member.Status >= identity.Dead && now-c.statusSince[member.ID] > c.set.Forget {
			delete(c.members, member.ID)
			delete(c.statusSince, member.ID)
			delete(c.updates, identity.Key(member.ID))
		}
	}
	kept := c.view[:0]
	for _, peer := range c.view {
		sound := true
		for _, member := range c.members {
			if member.Peer == peer && member.Status >= identity.Dead {
				sound = false
			}
		}
		if sound {
			kept = append(kept, peer)
		}
	}
	c.view = kept
	for _, member := range c.live() {
		if len(c.view) >= c.set.View {
			break
		}
		c.addToView(member.Peer)
	}
}

func (c *Node) sortedMembers() []identity.Member {
	out := make([]identity.Member, 0, len(c.members))
	for _, member := range c.members {
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (c *Node) live() []identity.Member {
	var out []identity.Member
	for _, member := range c.sortedMembers() {
		if member.Status <= identity.Suspect && member.ID != c.self.ID {
			out = append(out, member)
		}
	}
	return out
}

// Members is a copy of the directory in the agreed order.
func (c *Node) Members() []identity.Member { return c.sortedMembers() }
