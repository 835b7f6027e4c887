package weather

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/core/chart"
	"tuliprudder/core/summit"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/daybook"
	"tuliprudder/ledger/keeper"
	"tuliprudder/path/reader"
)

// Handed is a bundle as its caller saw it.
type Handed struct {
	ID       string
	Items    int
	Accepted sundial.Micros
	Maybe    bool
	GivenUp  bool
	Ended    sundial.Micros
	Starts   int
	Tries    int
}

// Put is a plan as its operator saw it.
type Put struct {
	Body    string
	Base    uint64
	HasBase bool
	Called  sundial.Micros
	Told    sundial.Micros
	Version uint64 // 0: turned away
	Stale   bool
	Unknown bool
}

// Claimed is one claim as its edge saw it.
type Claimed struct {
	Key, Order   string
	Called, Told sundial.Micros
	Yours        bool
	Winner       string
	Unknown      bool
	Refused      bool
}

// Watch is the callers and the checks of a simulated fleet.
type Watch struct {
	w        *World
	Breaches []string
	Bundles  []*Handed
	byID     map[string]*Handed
	holds    map[string]string
	feedSeen map[string]int
	feedLast map[string]int64
	FeedRows int
	token    string
	Reading  bool
	plans    map[uint64]string
	Puts     []*Put
	Claims   []*Claimed
	winners  map[string]string
	Entries  []*Entry
	Busy     int
	number   int
	Faults   int
}

func newWatch(w *World) *Watch {
	return &Watch{w: w, byID: map[string]*Handed{}, holds: map[string]string{}, feedSeen: map[string]int{}, feedLast: map[string]int64{}, plans: map[uint64]string{}, winners: map[string]string{}}
}

func (v *Watch) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	v.w.Note("BREACH: %s", text)
	if len(v.Breaches) < 50 {
		v.Breaches = append(v.Breaches, text)
	}
}

const customer = "caller"

// edge picks a live edge.
func (v *Watch) edge() *Edge {
	var live []*Edge
	for _, name := range v.w.Names("trailhead") {
		if n := v.w.Nodes[name]; n.up && !n.frozen {
			live = append(live, n.edge)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[v.w.Chance.Intn(len(live))]
}

// Hand hands a bundle in and goes on until it is accepted or given up.
func (v *Watch) Hand(items, tries int) *Handed {
	v.number++
	key := fmt.Sprintf("key-%d", v.number)
	h := &Handed{ID: daybook.BundleID(customer, key), Items: items}
	v.Bundles, v.byID[h.ID] = append(v.Bundles, h), h
	b := daybook.Bundle{ID: h.ID, Customer: customer, Key: key, Hash: daybook.Hash(key), Route: "r"}
	for i := 0; i < items; i++ {
		b.Items = append(b.Items, daybook.Item{ID: strconv.Itoa(i), Input: "in"})
	}
	v.Busy++
	var try func()
	try = func() {
		edge := v.edge()
		if h.Tries >= tries || edge == nil && h.Tries > 0 && tries == 1 {
			h.GivenUp = true
			v.Busy--
			return
		}
		if edge == nil {
			v.w.After(100*sundial.Millisecond, try)
			return
		}
		h.Tries++
		e := &Entry{ID: h.ID, Called: v.w.Now}
		v.Entries = append(v.Entries, e)
		edge.enrol(b, func(answer any, err error) {
			e.Told = v.w.Now
			e.unknown = mishap.Is(err, mishap.OutcomeUnknown)
			if err != nil && !e.unknown {
				v.forget(e) // turned away: it never was
			}
			if receipt, ok := answer.(keeper.Receipt); ok && err == nil {
				e.repeated = receipt.Repeated
				h.Accepted = v.w.Now
				v.Busy--
				v.w.Note("bundle %s accepted by %s", h.ID, receipt.Keeper)
				return
			}
			if mishap.Of(err).Kind == mishap.OutcomeUnknown {
				h.Maybe = true
			}
			v.w.After(v.w.between(80, 400)*sundial.Millisecond, try)
		})
	}
	try()
	return h
}

// forget takes an operation out of the history.
func (v *Watch) forget(e *Entry) {
	for i, one := range v.Entries {
		if one == e {
			v.Entries = append(v.Entries[:i], v.Entries[i+1:]...)
			return
		}
	}
}

// End ends an accepted bundle, trying until it is told.
func (v *Watch) End(h *Handed) {
	v.Busy++
	var try func()
	try = func() {
		edge := v.edge()
		if edge == nil {
			v.w.After(100*sundial.Millisecond, try)
			return
		}
		edge.end(h.ID, customer, func(answer any, err error) {
			if _, ok := answer.(keeper.Status); ok && err == nil {
				h.Ended = v.w.Now
				v.Busy--
				return
			}
			v.w.After(200*sundial.Millisecond, try)
		})
	}
	try()
}

// Look asks any edge how an accepted bundle stands: it may not know yet, but it
// may not say that there is none.
func (v *Watch) Look() {
	edge := v.edge()
	if edge == nil || len(v.Bundles) == 0 {
		return
	}
	h := v.Bundles[v.w.Chance.Intn(len(v.Bundles))]
	if h.Accepted == 0 {
		return
	}
	slot, owner, err := edge.keeper(h.ID)
	if err != nil {
		return
	}
	e := &Entry{ID: h.ID, Called: v.w.Now, entered: entered{look: true}}
	v.Entries = append(v.Entries, e)
	v.w.Ask(edge.node, owner.Peer, keeper.StatusAsk{Slot: slot, Bundle: h.ID, Customer: customer}, 2*sundial.Second, func(_ any, err error) {
		if e.found = err == nil; e.found || mishap.Is(err, mishap.NotFound) {
			e.Told = v.w.Now
		}
		if mishap.Is(err, mishap.NotFound) {
			v.breach("%s asks %s, which says there is no accepted bundle %s", edge.node.Name, owner.Peer, h.ID)
		}
	})
}

func (v *Watch) started(n *Node, id string, item int) {
	h := v.byID[id]
	if h == nil {
		v.breach("%s starts work of an unknown bundle %s", n.Name, id)
		return
	}
	h.Starts++
	if h.Ended > 0 && v.w.Now > h.Ended+3*sundial.Second {
		v.breach("%s starts %s/%d %d us after the bundle ended", n.Name, id, item, v.w.Now-h.Ended)
	}
}

func (v *Watch) row(row daybook.Row, where string) {
	key := fmt.Sprintf("%d@%d", row.Writer, row.Position)
	what := fmt.Sprintf("%s/%d", row.Bundle, row.Item)
	if known, ok := v.holds[key]; ok && known != what {
		v.breach("%s: position %s held %s and now holds %s", where, key, known, what)
	}
	v.holds[key] = what
}

// Follow reads the feed over changing edges for as long as Reading is true.
func (v *Watch) Follow() {
	v.Reading = true
	var turn func()
	turn = func() {
		edge := v.edge()
		if !v.Reading {
			return
		}
		if edge == nil || edge.fleet == "" {
			v.w.After(100*sundial.Millisecond, turn)
			return
		}
		edge.feed(customer, v.token, 1+v.w.Chance.Intn(20), func(page reader.Page, err error) {
			if err == nil {
				v.token = page.Next
				for _, row := range page.Rows {
					v.FeedRows++
					v.row(row, "feed")
					item := fmt.Sprintf("%s/%d", row.Bundle, row.Item)
					if v.feedSeen[item]++; v.feedSeen[item] > 1 {
						v.breach("feed: %s seen twice", item)
					}
					if row.Position <= v.feedLast[row.Bundle] {
						v.breach("feed: bundle %s goes back from position %d to %d", row.Bundle, v.feedLast[row.Bundle], row.Position)
					}
					v.feedLast[row.Bundle] = row.Position
				}
			}
			v.w.After(v.w.between(20, 150)*sundial.Millisecond, turn)
		})
	}
	turn()
}

// PutPlan puts a plan with or without a base.
func (v *Watch) PutPlan(withBase bool) {
	edge := v.edge()
	if edge == nil || edge.core.Peer == "" {
		return
	}
	v.number++
	body, _ := json.Marshal(map[string]int{"plan": v.number})
	p := &Put{Body: string(body), Called: v.w.Now, HasBase: withBase, Base: edge.plan}
	v.Puts = append(v.Puts, p)
	v.Busy++
	v.w.Ask(edge.node, edge.core.Peer, summit.PutPlanAsk{Body: body, Base: p.Base, HasBase: withBase, By: "sim", Expiry: 4 * sundial.Second}, 5*sundial.Second, func(answer any, err error) {
		v.Busy--
		p.Told = v.w.Now
		receipt, ok := answer.(summit.PlanReceipt)
		switch {
		case err == nil && ok:
			p.Version = receipt.Version
			if known, taken := v.plans[receipt.Version]; taken && known != p.Body {
				v.breach("plan version %d confirmed as %s and as %s", receipt.Version, known, p.Body)
			}
			v.plans[receipt.Version] = p.Body
		case mishap.Is(err, mishap.StaleBase):
			p.Stale = true
		case mishap.Is(err, mishap.OutcomeUnknown):
			p.Unknown = true
		}
	})
}

// Retire asks the primary to retire a store, or takes it back, until it is told.
func (v *Watch) Retire(id string, back bool) {
	v.Busy++
	tries := 0
	var try func()
	try = func() {
		edge := v.edge()
		if tries++; tries > 60 {
			v.Busy--
			return
		}
		if edge == nil || edge.core.Peer == "" {
			v.w.After(200*sundial.Millisecond, try)
			return
		}
		v.w.Ask(edge.node, edge.core.Peer, summit.RetireAsk{ID: id, Back: back, Expiry: 4 * sundial.Second}, 5*sundial.Second, func(answer any, err error) {
			if _, ok := answer.(summit.RetireReceipt); err == nil && ok || mishap.Is(err, mishap.Refused) || mishap.Is(err, mishap.NotFound) {
				v.w.Note("retire %s back %v: %v %v", id, back, answer, err)
				v.Busy--
				return
			}
			v.w.After(300*sundial.Millisecond, try)
		})
	}
	try()
}

func (v *Watch) planHeard(e *Edge, version chart.Version) {
	if version.Number < e.plan {
		v.breach("%s goes back from plan %d to %d", e.node.Name, e.plan, version.Number)
	}
	e.plan = version.Number
	if known, ok := v.plans[version.Number]; ok && known != string(version.Body) {
		v.breach("plan version %d is %s at %s and was %s", version.Number, version.Body, e.node.Name, known)
	}
	v.plans[version.Number] = string(version.Body)
}

// Claim claims one key for two orders at two edges.
func (v *Watch) Claim() {
	v.number++
	key := fmt.Sprintf("claim-%d", v.number)
	for i := 0; i < 2; i++ {
		order := fmt.Sprintf("%s/%d", key, i)
		v.Busy++
		tries := 0
		var try func()
		try = func() {
			edge := v.edge()
			if tries++; edge == nil || tries > 6 {
				v.Busy--
				return
			}
			c := &Claimed{Key: key, Order: order, Called: v.w.Now}
			v.Claims = append(v.Claims, c)
			edge.claim(daybook.Claim{Customer: customer, Key: key, Hash: "h", Order: order}, func(answer any, err error) {
				c.Told = v.w.Now
				got, ok := answer.(keeper.ClaimAnswer)
				switch {
				case err == nil && ok:
					c.Yours, c.Winner = got.Yours, got.Claim.Order
					if known := v.winners[key]; known != "" && known != got.Claim.Order {
						v.breach("claim %s was won by %s and by %s", key, known, got.Claim.Order)
					}
					v.winners[key] = got.Claim.Order
					v.Busy--
					return
				case mishap.Is(err, mishap.OutcomeUnknown):
					c.Unknown = true
				default:
					c.Refused = true
				}
				v.w.After(v.w.between(50, 600)*sundial.Millisecond, try)
			})
		}
		v.w.After(v.w.between(0, 50)*sundial.Millisecond, try)
	}
}

// Settled tells whether every slot and the core have their two copies.
func (w *World) Settled() bool {
	for _, name := range w.Names("cairn") {
		n := w.Nodes[name]
		if !n.up || n.frozen || !n.Summit.Serving() {
			continue
		}
		c := n.Summit.Chart()
		if len(c.Slots) == 0 {
			return false
		}
		for _, pairing := range c.Slots {
			if !pairing.Complete {
				return false
			}
			for _, id := range []string{pairing.Owner.ID, pairing.Backup.ID} {
				if !w.live(id) {
					return false
				}
			}
		}
		for _, core := range n.Summit.Oath().Sworn {
			if !w.live(core.ID) {
				return false
			}
		}
		return true
	}
	return false
}

func (w *World) live(id string) bool {
	for _, name := range w.names {
		if n := w.Nodes[name]; n.ID == id {
			return n.up && !n.frozen
		}
	}
	return false
}

// Last is the day's end: everything healed, every receipt, result and plan is
// read back.
func (v *Watch) Last(most sundial.Micros) {
	w := v.w
	if !w.Until(12*sundial.Second, w.Settled) {
		v.breach("the fleet has not settled 12 s after the last fault: %s", w.Standing())
		return
	}
	if !w.Until(most, func() bool { return v.Busy == 0 }) {
		v.breach("%d callers still wait at the day's end", v.Busy)
	}
	missing := func() string {
		for _, h := range v.Bundles {
			if h.Accepted == 0 || h.Ended > 0 {
				continue
			}
			for i := 0; i < h.Items; i++ {
				if v.feedSeen[fmt.Sprintf("%s/%d", h.ID, i)] == 0 {
					return fmt.Sprintf("%s/%d", h.ID, i)
				}
			}
		}
		return ""
	}
	if !w.Until(most, func() bool { return missing() == "" }) {
		v.breach("an accepted bundle's result was never read in the feed: %s", missing())
	}
	v.Reading = false
	for _, h := range v.Bundles {
		if h.Accepted == 0 {
			if !h.Maybe && h.Starts > 0 {
				v.breach("bundle %s was refused at every try and %d of its items started", h.ID, h.Starts)
			}
			continue
		}
		if h.Ended == 0 {
			v.readAll(h)
		}
	}
	w.Run(4 * sundial.Second)
	v.planEnd()
	v.CheckHistories()
}

// readAll reads a bundle's list page by page from the start.
func (v *Watch) readAll(h *Handed) {
	w := v.w
	token, count, done, tries := "", 0, false, 0
	seen := map[int]bool{}
	last := int64(0)
	for !done && tries < 200 {
		tries++
		answered := false
		edge := v.edge()
		edge.bundle(customer, h.ID, token, 1+w.Chance.Intn(30), func(page reader.Page, err error) {
			answered = true
			if err != nil {
				return
			}
			token = page.Next
			for _, row := range page.Rows {
				v.row(row, "list")
				if seen[row.Item] || row.Position <= last {
					v.breach("list of %s: item %d at position %d after %d", h.ID, row.Item, row.Position, last)
				}
				seen[row.Item], last = true, row.Position
				count++
			}
			done = count >= h.Items && page.State != string(daybook.Open)
		})
		w.Until(3*sundial.Second, func() bool { return answered })
		if !done {
			w.Run(30 * sundial.Millisecond)
		}
	}
	if count != h.Items || !done {
		v.breach("list of %s: %d of %d results at the day's end", h.ID, count, h.Items)
	}
}

// planEnd checks that every confirmed plan stands, and is in force everywhere.
func (v *Watch) planEnd() {
	w := v.w
	for _, name := range w.Names("cairn") {
		n := w.Nodes[name]
		if !n.up || !n.Summit.Serving() {
			continue
		}
		c := n.Summit.Chart()
		for _, p := range v.Puts {
			if p.Version == 0 {
				continue
			}
			if int(p.Version) > len(c.Plans) || string(c.Plans[p.Version-1].Body) != p.Body {
				v.breach("confirmed plan %d does not read back", p.Version)
			}
		}
		latest, ok := c.Latest()
		for _, edge := range w.Names("trailhead") {
			if e := w.Nodes[edge]; ok && e.up && e.edge.plan != latest.Number {
				v.breach("%s has plan %d in force, not %d", edge, e.edge.plan, latest.Number)
			}
		}
	}
}

// Standing is what the fleet looks like, for a breach.
func (w *World) Standing() string {
	var out []string
	for _, name := range w.Names("cairn") {
		n := w.Nodes[name]
		if !n.up {
			out = append(out, name+" down")
			continue
		}
		o := n.Summit.Oath()
		out = append(out, fmt.Sprintf("%s(%s) %s granted %d owner %s backup %s done %d", name, n.ID, n.Summit.Gang().Rope("core").Role, o.Granted, o.Grant.Owner.ID, o.Grant.Backup.ID, o.Done.Epoch))
		if n.Summit.Serving() {
			for slot, p := range n.Summit.Chart().Slots {
				if !p.Complete || !w.live(p.Owner.ID) || !w.live(p.Backup.ID) {
					out = append(out, fmt.Sprintf("slot %d %+v", slot, p))
				}
			}
		}
	}
	return strings.Join(out, "; ")
}

// slotOf is the slot of an item at work.
func (n *Node) slotOf(key string) int {
	id, _, _ := strings.Cut(key, "/")
	return daybook.SlotOf(id, n.world.slots())
}

func (w *World) slots() int {
	for _, name := range w.Names("trailhead") {
		if n := w.Nodes[name]; n.edge != nil && n.edge.slots > 0 {
			return n.edge.slots
		}
	}
	return 1
}
