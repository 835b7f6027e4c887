package capacitymodel

import (
	"encoding/json"
	"fmt"
	"strings"

	"tuliprudder/core/config"
	"tuliprudder/core/control"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/identity"
)

// planRounds are changes of the plan, each until it is in force everywhere.
type planRounds struct {
	pending      map[uint64]*planRound
	spans        []clock.Micros
	put, refused int
	bytes        int
	why          string // of the last that was not put, or not known to be
}

type planRound struct {
	at   clock.Micros
	left map[*daemon]bool
}

// document is a plan of the users' size; each number makes another.
func (f *Fleet) document(number int) []byte {
	classes, customers, pools, routes := []any{}, []any{}, []any{}, []any{}
	for i := range 5 {
		classes = append(classes, map[string]any{"name": fmt.Sprintf("class-%d", i), "rank": 100 * (i + 1), "allowance": 1_000_000, "labels": map[string]any{"live": "yes"}})
	}
	for i := range f.Set.Customers {
		customers = append(customers, map[string]any{"name": fmt.Sprintf("tenant-%03d", i), "key": fmt.Sprintf("key-of-tenant-%03d-%x", i, 0x9e3779b97f4a7c15*uint64(i+1)), "class": fmt.Sprintf("class-%d", i%5)})
	}
	kinds := []string{config.OneShot, config.Stream, config.Bundle}
	for i := range 20 {
		pools = append(pools, map[string]any{"name": fmt.Sprintf("pool-%02d", i), "labels": map[string]any{"use": fmt.Sprintf("model-%02d", i)}, "servers": map[string]any{"model": fmt.Sprintf("model-%02d", i)}})
	}
	for i := range f.Set.Routes {
		kind := kinds[i%3]
		route := map[string]any{"name": fmt.Sprintf("route-%03d", i), "kind": kind, "classes": map[string]any{"live": "yes"}, "pools": map[string]any{"use": fmt.Sprintf("model-%02d", i/3%20)},
			"model": fmt.Sprintf("model-%02d", i/3%20), "prefix": strings.Repeat("Answer in one word. ", 10), "max_tokens": 256}
		if kind == config.Bundle {
			route["most_items"] = 10_000
		} else {
			route["expiry_us"] = 10_000_000
		}
		routes = append(routes, route)
	}
	data, err := json.Marshal(map[string]any{"classes": classes, "customers": customers, "pools": pools, "routes": routes, "judges": map[string]any{"speed": 1 + float64(number)/1e6}})
	must(err)
	return data
}

// putPlan hands a plan to the primary.
func (f *Fleet) putPlan() {
	p := f.primary()
	f.plan.put++
	if p == nil {
		f.plan.refused++
		return
	}
	body := f.document(f.plan.put)
	f.plan.bytes = len(body)
	latest, _ := p.core.State().Latest()
	version := latest.Number + 1
	for f.plan.pending[version] != nil {
		version++
	}
	round := &planRound{at: f.Now, left: map[*daemon]bool{}}
	for _, d := range f.daemons {
		if d.up {
			round.left[d] = true
		}
	}
	if f.plan.pending == nil {
		f.plan.pending = map[uint64]*planRound{}
	}
	f.plan.pending[version] = round
	p.step(func() {
		p.call(control.PutPlanAsk{Body: body, By: "hollow", Expiry: 2 * clock.Second}, func(a machine.Answer) {
			if a.Err != nil {
				f.plan.refused++
				f.plan.why = a.Err.Error()
			}
		})
	})
}

// heard notes that a daemon has come as far as a version.
func (p *planRounds) heard(f *Fleet, d *daemon, version uint64) {
	for number, round := range p.pending {
		if number > version {
			continue
		}
		delete(round.left, d)
		for other := range round.left {
			if !other.up {
				delete(round.left, other)
			}
		}
		if len(round.left) == 0 {
			delete(p.pending, number)
			if !f.warming {
				p.spans = append(p.spans, f.Now-round.at)
			}
		}
	}
}

// bundleRounds hand bundles in at a steady pace.
type bundleRounds struct {
	handed, refused int64
	// warmHanded and warmRefused are those of the warm-up, which don't count.
	warmHanded, warmRefused int64
}

// begin ends the warm-up.
func (b *bundleRounds) begin() { b.warmHanded, b.warmRefused = b.handed, b.refused }

// counted is what was handed in and refused since the warm-up.
func (b *bundleRounds) counted() (handed, refused int64) {
	return b.handed - b.warmHanded, b.refused - b.warmRefused
}

const itemOutput = "a label and two sentences that say why it was given, about as long as an answer"

// hand hands one bundle in at the store that owns its slot, as an edge would.
func (f *Fleet) hand() {
	p := f.primary()
	f.bundles.handed++
	if p == nil || len(p.core.State().Slots) == 0 {
		f.bundles.refused++
		return
	}
	slots := p.core.State().Slots
	id := fmt.Sprintf("bundle-%d-%d", f.Set.Seed, f.bundles.handed)
	slot := shard.SlotOf(id, len(slots))
	var keeper, edge *daemon
	for _, d := range f.daemons {
		if d.id == slots[slot].Primary.ID && d.up {
			keeper = d
		}
		if d.kind == identity.Edge && d.up && (edge == nil || f.chance.Intn(4) == 0) {
			edge = d
		}
	}
	if keeper == nil || edge == nil {
		f.bundles.refused++
		return
	}
	tenant := f.chance.Int63n(f.Set.Customers)
	bundle := shard.Bundle{ID: id, Customer: fmt.Sprintf("tenant-%03d", tenant), Key: id, Hash: id, Route: fmt.Sprintf("route-%03d", 2+3*f.chance.Int63n(max(1, f.Set.Routes/3)))}
	for i := range f.Set.BundleItems {
		bundle.Items = append(bundle.Items, shard.Item{ID: fmt.Sprintf("item-%d", i), Input: "the text of one item, as long as a short note that a customer has written about something"})
	}
	edge.step(func() {
		f.ask(edge, keeper.peer, store.EnrolAsk{Slot: slot, Bundle: bundle, Expiry: 2 * clock.Second}, 3*clock.Second, func(_ any, err error) {
			if err != nil {
				f.bundles.refused++
			}
		})
	})
}
