package machines

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
	"tuliprudder/membership/identity"
)

// Stores share the servers' room for items by what each has to run (DESIGN §12.6):
// each tells the others its demand, and takes the part that is its own. An old or a
// lost message only makes the parts less even.

// Demand tells how many items a store has to run.
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

// demands holds the latest demand of each other store.
type demands struct {
	self   string
	others map[string]demand
	sent   int
	at     clock.Micros
}

func (d *demands) receive(message Demand, now clock.Micros) {
	d.others[message.ID] = demand{message.Items, now}
}

// part is this store's part of the room, by its own demand and the others'.
func (d *demands) part(own int, now clock.Micros) float64 {
	sum := max(1, own)
	for id, one := range d.others {
		if now-one.at > demandKept {
			delete(d.others, id)
			continue
		}
		sum += one.items
	}
	return float64(max(1, own)) / float64(sum)
}

// send tells the other stores this one's demand, when it changed or is due.
func (d *demands) send(own int, members map[string]identity.Member, emit func(machine.Effect), now clock.Micros) {
	if own == d.sent && now-d.at < demandLate || now-d.at < demandEvery {
		return
	}
	d.sent, d.at = own, now
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
