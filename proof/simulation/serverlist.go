package simulation

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/gossip"
	"tuliprudder/path/registry"
	"tuliprudder/proof/modelcontent"
)

// mark is a server's leaving mark as the platform put it.
type mark struct {
	from, to clock.Micros // to 0: still leaving
}

// List puts the platform's whole list of servers at an edge.
func (v *Watch) List(n *Node) {
	for _, s := range v.w.Servers {
		v.tell(n, s.Listed(), func() {})
	}
}

// tell spreads the platform's word on a server from one daemon, as its office
// does: it is told once most of the fleet know it, or tells elsewhere again.
func (v *Watch) tell(n *Node, server registry.Server, told func()) {
	again := func() {
		v.w.After(200*clock.Millisecond, func() {
			if other := v.edgeNode(); other != nil {
				v.tell(other, server, told)
			} else {
				v.tell(n, server, told)
			}
		})
	}
	if v.words[server.Name]++; !n.up {
		again()
		return
	}
	word := v.words[server.Name]
	n.take(func() {
		if word != v.words[server.Name] {
			return // the platform has said something else since
		}
		known, _ := n.gossip.Update(registry.ServerKey(server.Name))
		n.number++
		era := n.era
		n.calls[n.number] = func(a machine.Answer) {
			switch {
			case word != v.words[server.Name]:
			case a.Err == nil:
				told()
			default:
				again()
			}
		}
		forget := n.onCrash(again)
		n.do(n.gossip.Do(gossip.Broadcast{Update: registry.ServerUpdate(server, known, v.w.Now), Call: n.number, Expiry: 2 * clock.Second}, v.w.Now))
		v.w.After(3*clock.Second, func() {
			if n.era == era {
				forget()
			}
		})
	})
}

// Leave marks a server as leaving, or takes the mark back.
func (v *Watch) Leave(s *Server, leaves bool) {
	n := v.edgeNode()
	if n == nil {
		return
	}
	server := s.Listed()
	server.Leaving = leaves
	if marks := v.marks[s.Name]; !leaves && len(marks) > 0 && marks[len(marks)-1].to == 0 {
		marks[len(marks)-1].to = v.w.Now
	}
	v.tell(n, server, func() {
		v.w.Note("%s marked as leaving from %s: %v", s.Name, n.Name, leaves)
		if leaves {
			v.marks[s.Name] = append(v.marks[s.Name], mark{from: v.w.Now})
		}
	})
}

func (v *Watch) isLeaving(start modelcontent.Start) {
	for _, m := range v.marks[start.Server] {
		if m.to > 0 {
			continue
		}
		v.saw(leaving)
		if start.At > m.from+3*clock.Second+about {
			v.breach(leaving, "%s was marked as leaving %d us ago and gets %s", start.Server, start.At-m.from, start.Input)
		}
	}
}
