package machines

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
	"tuliprudder/membership/identity"
)

// Stores share the servers' room for items by what each has to run (DESIGN §12.6):
// each tells the others its demand, and takes the part that is its own. An old word
// or a lost one only makes the parts less even.

// Demand is a store's word on how many items it has to run.
type Demand struct {
	ID    string
	Items int
}

func init() { transport.Register(Demand{}) }

const (
	demandEvery = 250 * clock.Millisecond // when it changed
	demandLate  = clock.Second            // when it did not
	demandKept  = 3 * clock.Second        // a store not heard for so long has none
)

type demand struct {
	items int
	at    clock.Micros
}

// demands is what a store knows of the others' demands.
type demands struct {
	self  string
	heard map[string]demand
	said  int
	at    clock.Micros
}

func (d *demands) hear(word Demand, now clock.Micros) {
	d.heard[word.ID] = demand{word.Items, now}
}

// part is this store's part of the room, by its own demand and the others'.
func (d *demands) part(own int, now clock.Micros) float64 {
	sum := max(1, own)
	for id, one := range d.heard {
		if now-one.at > demandKept {
			delete(d.heard, id)
			continue
		}
		sum += one.items
	}
	return float64(max(1, own)) / float64(sum)
}

// tell tells the other stores, when there is something to tell.
func (d *demands) tell(own int, members map[string]identity.Member, emit func(machine.Effect), now clock.Micros) {
	if own == d.said && now-d.at < demandLate || now-d.at < demandEvery {
		return
	}
	d.said, d.at = own, now
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		if member := members[id]; member.Kind == identity.Store && id != d.self && member.Status <= identity.Suspect {
			emit(machine.Send{To: member.Peer, Body: Demand{ID: d.self, Items: own}})
		}
	}
}
