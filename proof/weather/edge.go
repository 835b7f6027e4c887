package weather

import (
	"encoding/json"
	"strings"

	"tuliprudder/core/chart"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/stride"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/daybook"
	"tuliprudder/ledger/keeper"
	"tuliprudder/ledger/waypost"
	"tuliprudder/path/reader"
)

// Edge is a reading daemon's knowledge.
type Edge struct {
	node  *Node
	view  *waypost.View
	seq   uint64
	fleet string
	slots int
	core  chart.CoreNews
	plan  uint64
}

func newEdge(n *Node) *Edge { return &Edge{node: n, view: waypost.NewView()} }

func (e *Edge) hear(rumour stride.Rumour) {
	switch {
	case rumour.Key == chart.MapKey:
		var m chart.Map
		if json.Unmarshal(rumour.Value, &m) == nil && m.Seq > e.seq {
			epochs := make([]uint64, len(m.Slots))
			for i, pairing := range m.Slots {
				epochs[i] = pairing.Epoch
			}
			e.seq, e.fleet, e.slots = m.Seq, m.Fleet, len(m.Slots)
			e.view.SetMap(epochs)
		}
	case rumour.Key == chart.CoreKey:
		json.Unmarshal(rumour.Value, &e.core)
	case rumour.Key == chart.PlanKey:
		var version chart.Version
		if json.Unmarshal(rumour.Value, &version) == nil {
			e.node.world.Watch.planHeard(e, version)
		}
	case strings.HasPrefix(rumour.Key, "writer/"):
		e.view.Hear(rumour)
	}
}

func (e *Edge) keeper(id string) (int, waypost.Owner, error) {
	if e.slots == 0 {
		return 0, waypost.Owner{}, mishap.New(mishap.NotReady, "ask again", "no map")
	}
	slot := daybook.SlotOf(id, e.slots)
	owner, ok := e.view.Owner(slot)
	if !ok {
		return slot, owner, mishap.New(mishap.NotReady, "ask again", "no keeper")
	}
	return slot, owner, nil
}

const commit = 3 * sundial.Second

// enrol hands a bundle in once.
func (e *Edge) enrol(b daybook.Bundle, back func(any, error)) {
	slot, owner, err := e.keeper(b.ID)
	if err != nil {
		back(nil, err)
		return
	}
	b.Items = append([]daybook.Item(nil), b.Items...)
	e.node.world.Ask(e.node, owner.Peer, keeper.EnrolAsk{Slot: slot, Bundle: b, Expiry: commit}, commit+sundial.Second, back)
}

func (e *Edge) end(bundle, customer string, back func(any, error)) {
	slot, owner, err := e.keeper(bundle)
	if err != nil {
		back(nil, err)
		return
	}
	e.node.world.Ask(e.node, owner.Peer, keeper.EndAsk{Slot: slot, Bundle: bundle, Customer: customer, Expiry: commit}, commit+sundial.Second, back)
}

func (e *Edge) claim(c daybook.Claim, back func(any, error)) {
	slot, owner, err := e.keeper(daybook.ClaimID(c.Customer, c.Key))
	if err != nil {
		back(nil, err)
		return
	}
	e.node.world.Ask(e.node, owner.Peer, keeper.ClaimAsk{Slot: slot, Claim: c, Expiry: commit}, commit+sundial.Second, back)
}

// bundle reads one page of a bundle's list.
func (e *Edge) bundle(customer, id, token string, most int, back func(reader.Page, error)) {
	slot, owner, err := e.keeper(id)
	if err != nil {
		back(reader.Page{}, err)
		return
	}
	from, err := waypost.Parse(e.fleet, token)
	if err != nil {
		back(reader.Page{}, err)
		return
	}
	after := from.Vector()
	ask := keeper.ReadAsk{Slots: map[int]uint64{slot: owner.Epoch}, Bundle: id, Customer: customer, After: after, Bound: map[int]waypost.Vector{slot: e.view.Effective(slot)}, Most: most}
	e.node.world.Ask(e.node, owner.Peer, ask, 2*sundial.Second, func(answer any, err error) {
		rows, ok := answer.(keeper.Rows)
		if err != nil || !ok {
			back(reader.Page{}, mishap.New(mishap.NotReady, "ask again", "no answer"))
			return
		}
		for _, row := range rows.Rows {
			after[row.Writer] = max(after[row.Writer], row.Position)
		}
		back(reader.Page{Rows: rows.Rows, State: rows.State, Next: waypost.NewToken(e.fleet, after).String(), More: rows.More}, nil)
	})
}

// feed reads one page of the feed.
func (e *Edge) feed(customer, token string, most int, back func(reader.Page, error)) {
	from, err := waypost.Parse(e.fleet, token)
	if err != nil {
		back(reader.Page{}, err)
		return
	}
	after := from.Vector()
	asks, upTo, whole := reader.FeedAsks(e.view, e.slots, customer, after, most)
	if !whole {
		back(reader.Page{}, mishap.New(mishap.NotReady, "ask again", "a slot is in passage"))
		return
	}
	var page reader.Page
	left, failed := len(asks), false
	for _, peer := range sorted(asks) {
		e.node.world.Ask(e.node, peer, asks[peer], 2*sundial.Second, func(answer any, err error) {
			rows, ok := answer.(keeper.Rows)
			failed = failed || err != nil || !ok
			page.Rows, page.More = append(page.Rows, rows.Rows...), page.More || rows.More
			if left--; left > 0 {
				return
			}
			if failed {
				back(reader.Page{}, mishap.New(mishap.NotReady, "ask again", "no answer"))
				return
			}
			page.Next = waypost.NewToken(e.fleet, reader.Cut(&page, after, upTo, most)).String()
			back(page, nil)
		})
	}
}
