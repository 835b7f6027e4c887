package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"tuliprudder/core/control"
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/path/reader"
	"tuliprudder/path/requests"
	"tuliprudder/proof/modelcontent"
)

// Handed is a bundle as its caller saw it, with the servers' log of its items.
type Handed struct {
	ID       string
	Key      string
	Items    int
	Accepted clock.Micros
	Maybe    bool
	GivenUp  bool
	Ended    clock.Micros
	Starts   int
	Tries    int
	Asked    clock.Micros
	begun    int                  // items that have started at least once
	starts   map[string]int       // by item
	done     map[int]clock.Micros // when an item's result was whole on a server, last
	lists    int                  // rows that a waiting reader has seen
}

// Put is a plan as its operator saw it.
type Put struct {
	Number  int
	Body    string
	Base    uint64
	HasBase bool
	Called  clock.Micros
	Told    clock.Micros
	Version uint64 // 0: turned away
	Stale   bool
	Refused bool
	Unknown bool
}

// Claimed is one claim as its edge saw it.
type Claimed struct {
	Key, Order   string
	Called, Told clock.Micros
	Yours        bool
	Winner       string
	Unknown      bool
	Refused      bool
}

// Watch is the callers and the checks of a simulated fleet.
type Watch struct {
	w        *World
	Breaches []Breach
	Checked  map[Promise]int
	Bundles  []*Handed
	byID     map[string]*Handed
	byKey    map[string]*Handed
	Orders   []*Order
	byInput  map[string]*Order
	open     []*Order // live orders without a word yet
	holds    map[string]string
	feedSeen map[string]int
	feedLast map[string]int64
	FeedRows int
	token    string
	Reading  bool
	Calling  bool
	plans    map[uint64]string
	Puts     []*Put
	Claims   []*Claimed
	winners  map[string]string
	Entries  []*Entry
	marks    map[string][]mark
	words    map[string]int          // the platform's words on each server, counted
	Served   map[string]clock.Micros // by edge and route: the last whole answer
	Counts   map[string]int
	Started  int // orders that began on servers
	// MostWaiting is the most that waited of each customer, SlowestRow the longest
	// from a whole result to a waiting reader with no fault near, SlowestBack the
	// longest until a kind of service was back after the day's last fault.
	MostWaiting map[string]int
	SlowestRow  clock.Micros
	SlowestBack clock.Micros
	SlowestKind string
	// AfterReceipt is told of each bundle as its caller hears that it is accepted.
	AfterReceipt func(h *Handed, keeper string)
	Busy         int
	number       int
	Faults       int
}

func newWatch(w *World) *Watch {
	return &Watch{w: w, Checked: map[Promise]int{}, byID: map[string]*Handed{}, byKey: map[string]*Handed{}, byInput: map[string]*Order{}, holds: map[string]string{}, feedSeen: map[string]int{}, feedLast: map[string]int64{}, plans: map[uint64]string{}, winners: map[string]string{},
		marks: map[string][]mark{}, words: map[string]int{}, Served: map[string]clock.Micros{}, Counts: map[string]int{}, MostWaiting: map[string]int{}}
}

const (
	customer  = "caller"
	callerKey = "key-caller"
)

// edgeNode picks a live edge.
func (v *Watch) edgeNode() *Node {
	var live []*Node
	for _, name := range v.w.Names("trailhead") {
		if n := v.w.Nodes[name]; n.up && !n.frozen {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[v.w.Chance.Intn(len(live))]
}

// here asks an edge for a caller, over a connection that breaks when it crashes;
// back is told once.
func (v *Watch) here(n *Node, body any, back func(any, error)) {
	over := false
	var forget func()
	finish := func(answer any, err error) {
		if !over {
			over = true
			forget()
			back(answer, err)
		}
	}
	lost := func() {
		finish(nil, errs.New(errs.OutcomeUnknown, "ask again with the same key", "the connection broke"))
	}
	forget = func() {}
	if !n.up {
		v.w.After(clock.Millisecond, func() { finish(nil, errs.New(errs.NotReady, "ask another edge", "no connection")) })
		return
	}
	forget = n.onCrash(lost)
	v.w.After(patience, lost)
	n.Here(body, finish)
}

// Hand hands a bundle in and goes on until it is accepted or given up.
func (v *Watch) Hand(items, tries int) *Handed {
	v.number++
	return v.HandAs(fmt.Sprintf("key-%d", v.number), items, tries)
}

// HandAs is the same under a key of the caller's choice.
func (v *Watch) HandAs(key string, items, tries int) *Handed {
	h := &Handed{ID: shard.BundleID(customer, key), Key: key, Items: items, Asked: v.w.Now, starts: map[string]int{}, done: map[int]clock.Micros{}}
	v.Bundles, v.byID[h.ID], v.byKey[key] = append(v.Bundles, h), h, h
	var list []shard.Item
	for i := 0; i < items; i++ {
		list = append(list, shard.Item{ID: strconv.Itoa(i), Input: itemInput(key, i)})
	}
	v.Busy++
	var try func()
	try = func() {
		n := v.edgeNode()
		if h.Tries >= tries || n == nil && h.Tries > 0 && tries == 1 {
			h.GivenUp = true
			v.Busy--
			return
		}
		if n == nil {
			v.w.After(100*clock.Millisecond, try)
			return
		}
		h.Tries++
		e := &Entry{ID: h.ID, Called: v.w.Now}
		v.Entries = append(v.Entries, e)
		v.here(n, requests.SubmitBundle{Caller: callerKey, Route: "r", Key: key, Items: append([]shard.Item(nil), list...)}, func(answer any, err error) {
			e.Told = v.w.Now
			e.unknown = errs.Is(err, errs.OutcomeUnknown)
			if err != nil && !e.unknown {
				v.forget(e) // turned away: it never was
			}
			if receipt, ok := answer.(store.Receipt); ok && err == nil {
				e.repeated = receipt.Repeated
				h.Accepted = v.w.Now
				v.Busy--
				v.saw(kept)
				v.w.Note("bundle %s accepted by %s", h.ID, receipt.Store)
				if v.Reading && v.w.Chance.Intn(3) == 0 {
					v.wait(h, "")
				}
				if v.AfterReceipt != nil {
					v.AfterReceipt(h, receipt.Store)
				}
				return
			}
			if errs.Of(err).Kind == errs.OutcomeUnknown {
				h.Maybe = true
			}
			v.w.After(v.w.between(80, 400)*clock.Millisecond, try)
		})
	}
	try()
	return h
}

func itemInput(key string, item int) string { return key + "#" + strconv.Itoa(item) }

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
		n := v.edgeNode()
		if n == nil {
			v.w.After(100*clock.Millisecond, try)
			return
		}
		v.here(n, requests.BundleStatus{Caller: callerKey, Bundle: h.ID, End: true}, func(answer any, err error) {
			if _, ok := answer.(store.Status); ok && err == nil {
				h.Ended = v.w.Now
				v.Busy--
				v.w.Note("bundle %s ended", h.ID)
				return
			}
			v.w.After(200*clock.Millisecond, try)
		})
	}
	try()
}

// Look asks any edge how an accepted bundle stands: it may not know yet, but it
// may not say that there is none.
func (v *Watch) Look() {
	n := v.edgeNode()
	if n == nil || len(v.Bundles) == 0 {
		return
	}
	h := v.Bundles[v.w.Chance.Intn(len(v.Bundles))]
	if h.Accepted == 0 {
		return
	}
	e := &Entry{ID: h.ID, Called: v.w.Now, entered: entered{look: true}}
	v.Entries = append(v.Entries, e)
	v.here(n, requests.BundleStatus{Caller: callerKey, Bundle: h.ID}, func(_ any, err error) {
		if e.found = err == nil; e.found || errs.Is(err, errs.NotFound) {
			e.Told = v.w.Now
		}
		v.saw(kept)
		if errs.Is(err, errs.NotFound) {
			v.breach(kept, "%s is told that there is no accepted bundle %s", n.Name, h.ID)
		}
	})
}

// itemBegan is a server's word that an item has started there.
func (v *Watch) itemBegan(key string, start modelcontent.Start) {
	h := v.byKey[key]
	if h == nil {
		v.breach(mixed, "%s starts work of an unknown bundle %s", start.Server, key)
		return
	}
	h.Starts++
	if h.starts[start.Input]++; h.starts[start.Input] == 1 {
		h.begun++
	}
	if h.GivenUp && !h.Maybe {
		v.breach(refused, "bundle %s was refused at every try and %s starts on %s", key, start.Input, start.Server)
	}
	if h.Ended > 0 {
		v.saw(ended)
		if v.w.Now > h.Ended+3*clock.Second+about {
			v.breach(ended, "%s starts on %s %d us after its bundle ended", start.Input, start.Server, v.w.Now-h.Ended)
		}
	}
}

// ready is a server's word that an item's result is whole.
func (v *Watch) ready(key, item string) {
	if number, err := strconv.Atoi(item); err == nil && v.byKey[key] != nil {
		v.byKey[key].done[number] = v.w.Now
	}
}

// quiet tells whether nothing was done to any daemon since a time.
func (v *Watch) quiet(since clock.Micros) bool {
	for _, name := range v.w.names {
		if !v.w.Nodes[name].well(since) {
			return false
		}
	}
	return true
}

// wait follows one bundle's list at edges that change only when one gives no
// answer, as a waiting reader does, and times each row.
func (v *Watch) wait(h *Handed, token string) {
	n := v.edgeNode()
	if !v.Reading || h.Ended > 0 || h.lists >= h.Items {
		return
	}
	if n == nil {
		v.w.After(100*clock.Millisecond, func() { v.wait(h, token) })
		return
	}
	v.number++
	read := reader.Read{Name: fmt.Sprintf("r-%d", v.number), Bundle: h.ID, Token: token, Most: 100, Wait: 2 * clock.Second}
	v.here(n, requests.Page{Caller: callerKey, Read: read}, func(answer any, err error) {
		page, _ := answer.(reader.Page)
		if err != nil {
			v.w.After(50*clock.Millisecond, func() { v.wait(h, token) })
			return
		}
		for _, row := range page.Rows {
			h.lists++
			v.row(row, "list")
			done := h.done[row.Item]
			if done == 0 {
				continue
			}
			// Nobody can wait for a list before its receipt.
			lag := v.w.Now - max(done, h.Accepted)
			v.saw(soon)
			switch {
			case v.quiet(max(done, h.Accepted) - 15*clock.Second):
				v.SlowestRow = max(v.SlowestRow, lag)
				if lag > clock.Second {
					v.breach(soon, "%s/%d was whole %d us before a waiting reader at %s could have it", h.ID, row.Item, lag, n.Name)
				}
			case lag > 13*clock.Second && v.quiet(max(done, h.Accepted)+clock.Second):
				v.breach(soon, "%s/%d was whole %d us before a waiting reader at %s could have it", h.ID, row.Item, lag, n.Name)
			}
		}
		v.wait(h, page.Next)
	})
}

func (v *Watch) row(row shard.Row, where string) {
	key := fmt.Sprintf("%d@%d", row.Writer, row.Position)
	what := fmt.Sprintf("%s/%d", row.Bundle, row.Item)
	v.saw(exact)
	if h := v.byID[row.Bundle]; h != nil && row.Status == shard.StatusOK {
		v.saw(mixed)
		if want := modelcontent.Answer(itemInput(h.Key, row.Item), pieces); row.Output != want {
			v.breach(mixed, "%s: %s holds %q, not its answer %q", where, what, row.Output, want)
		}
	}
	if known, ok := v.holds[key]; ok && known != what {
		v.breach(exact, "%s: position %s held %s and now holds %s", where, key, known, what)
	}
	v.holds[key] = what
}

// Follow reads the feed over changing edges for as long as Reading is true.
func (v *Watch) Follow() {
	v.Reading = true
	var turn func()
	turn = func() {
		n := v.edgeNode()
		if !v.Reading {
			return
		}
		if n == nil {
			v.w.After(100*clock.Millisecond, turn)
			return
		}
		v.number++
		v.here(n, requests.Page{Caller: callerKey, Read: reader.Read{Name: fmt.Sprintf("f-%d", v.number), Token: v.token, Most: 1 + v.w.Chance.Intn(20)}}, func(answer any, err error) {
			if page, ok := answer.(reader.Page); ok && err == nil {
				v.token = page.Next
				v.Served[n.Name+" feed"] = v.w.Now
				for _, row := range page.Rows {
					v.FeedRows++
					v.row(row, "feed")
					v.saw(goesOn)
					item := fmt.Sprintf("%s/%d", row.Bundle, row.Item)
					if v.feedSeen[item]++; v.feedSeen[item] > 1 {
						v.breach(goesOn, "feed: %s seen twice", item)
					}
					if row.Position <= v.feedLast[row.Bundle] {
						v.breach(goesOn, "feed: bundle %s goes back from position %d to %d", row.Bundle, v.feedLast[row.Bundle], row.Position)
					}
					v.feedLast[row.Bundle] = row.Position
				}
			}
			v.w.After(v.w.between(20, 150)*clock.Millisecond, turn)
		})
	}
	turn()
}

// PutPlan puts a plan with or without a base.
func (v *Watch) PutPlan(withBase bool) {
	n := v.edgeNode()
	if n == nil || n.core.Peer == "" {
		return
	}
	number := len(v.Puts) + 1
	body := planOf(number)
	p := &Put{Number: number, Body: string(body), Called: v.w.Now, HasBase: withBase, Base: n.plan}
	v.Puts = append(v.Puts, p)
	v.Busy++
	v.w.Ask(n, n.core.Peer, control.PutPlanAsk{Body: body, Base: p.Base, HasBase: withBase, By: "sim", Expiry: 4 * clock.Second}, 5*clock.Second, func(answer any, err error) {
		v.Busy--
		p.Told = v.w.Now
		v.w.Note("plan number %d (base %d %v): %v %v", p.Number, p.Base, withBase, answer, err)
		receipt, ok := answer.(control.PlanReceipt)
		switch {
		case err == nil && ok:
			p.Version = receipt.Version
			v.Served["plan"] = v.w.Now
			if known, taken := v.plans[receipt.Version]; taken && known != p.Body {
				v.breach(inForce, "plan version %d confirmed as %s and as %s", receipt.Version, known, p.Body)
			}
			v.plans[receipt.Version] = p.Body
			v.w.After(2*clock.Second, func() { v.planDue(p) })
		case errs.Is(err, errs.StaleBase):
			p.Stale = true
		case errs.Is(err, errs.OutcomeUnknown):
			p.Unknown = true
		default:
			p.Refused = true
		}
	})
}

// planDue looks, 2 s after a plan was confirmed, whether it is in force at every
// edge and store that nothing was done to meanwhile.
func (v *Watch) planDue(p *Put) {
	for _, name := range v.w.names {
		n := v.w.Nodes[name]
		if !n.well(p.Told - clock.Second) {
			continue
		}
		var inside uint64
		switch {
		case n.edge != nil && n.edge.Scheduler.Plan() != nil:
			inside = n.edge.Scheduler.Plan().Version
		case n.ledger != nil && n.ledger.Scheduler.Plan() != nil:
			inside = n.ledger.Scheduler.Plan().Version
		case n.Core != nil:
			continue
		}
		v.saw(inForce)
		if inside < p.Version {
			v.breach(inForce, "%s acts by plan %d, 2 s after %d was confirmed", n.Name, inside, p.Version)
		}
	}
}

// Retire asks the primary to retire a store, or takes it back, until it is told.
func (v *Watch) Retire(id string, back bool) {
	v.Busy++
	tries := 0
	var try func()
	try = func() {
		n := v.edgeNode()
		if tries++; tries > 60 {
			v.Busy--
			return
		}
		if n == nil || n.core.Peer == "" {
			v.w.After(200*clock.Millisecond, try)
			return
		}
		v.w.Ask(n, n.core.Peer, control.RetireAsk{ID: id, Back: back, Expiry: 4 * clock.Second}, 5*clock.Second, func(answer any, err error) {
			if _, ok := answer.(control.RetireReceipt); err == nil && ok || errs.Is(err, errs.Refused) || errs.Is(err, errs.NotFound) {
				v.w.Note("retire %s back %v: %v %v", id, back, answer, err)
				v.Busy--
				return
			}
			v.w.After(300*clock.Millisecond, try)
		})
	}
	try()
}

func (v *Watch) planHeard(n *Node, version state.Version) {
	if version.Number < n.plan {
		v.breach(inForce, "%s goes back from plan %d to %d", n.Name, n.plan, version.Number)
	}
	n.plan = version.Number
	if known, ok := v.plans[version.Number]; ok && known != string(version.Body) {
		v.breach(inForce, "plan version %d is %s at %s and was %s", version.Number, version.Body, n.Name, known)
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
			n := v.edgeNode()
			if tries++; n == nil || tries > 6 {
				v.Busy--
				return
			}
			slot, owner, err := n.edge.Reader.StoreOf(shard.ClaimID(customer, key))
			if err != nil {
				v.w.After(v.w.between(50, 600)*clock.Millisecond, try)
				return
			}
			c := &Claimed{Key: key, Order: order, Called: v.w.Now}
			v.Claims = append(v.Claims, c)
			v.w.Ask(n, owner.Peer, store.ClaimAsk{Slot: slot, Claim: shard.Claim{Customer: customer, Key: key, Hash: "h", Order: order}, Expiry: 3 * clock.Second}, 4*clock.Second, func(answer any, err error) {
				c.Told = v.w.Now
				got, ok := answer.(store.ClaimAnswer)
				switch {
				case err == nil && ok:
					c.Yours, c.Winner = got.Yours, got.Claim.Order
					if known := v.winners[key]; known != "" && known != got.Claim.Order {
						v.breach(onceOnly, "claim %s was won by %s and by %s", key, known, got.Claim.Order)
					}
					v.winners[key] = got.Claim.Order
					v.Busy--
					return
				case errs.Is(err, errs.OutcomeUnknown):
					c.Unknown = true
				default:
					c.Refused = true
				}
				v.w.After(v.w.between(50, 600)*clock.Millisecond, try)
			})
		}
		v.w.After(v.w.between(0, 50)*clock.Millisecond, try)
	}
}

// Settled tells whether every slot and the core have their two copies.
func (w *World) Settled() bool {
	for _, name := range w.Names("cairn") {
		n := w.Nodes[name]
		if !n.up || n.frozen || !n.Core.Serving() {
			continue
		}
		c := n.Core.State()
		if len(c.Slots) == 0 {
			return false
		}
		for _, pairing := range c.Slots {
			if !pairing.Complete {
				return false
			}
			for _, id := range pairing.IDs() {
				if !w.live(id) {
					return false
				}
			}
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

func (w *World) live(id string) bool {
	for _, name := range w.names {
		if n := w.Nodes[name]; n.ID == id {
			return n.up && !n.frozen
		}
	}
	return false
}

// Last is the day's end: everything healed, service of every kind is back, and
// every receipt, result and plan is read back.
func (v *Watch) Last(most clock.Micros) {
	w := v.w
	healed := w.Now
	v.serviceBack(healed)
	if !w.Until(max(0, healed+12*clock.Second-w.Now), w.Settled) {
		v.breach(back, "the fleet has not settled 12 s after the last fault: %s", w.Standing())
		return
	}
	v.Calling = false
	if !w.Until(most, func() bool { return v.Busy == 0 }) {
		v.breach(back, "%d callers still wait at the day's end", v.Busy)
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
		v.breach(kept, "an accepted bundle's result was never read in the feed: %s", missing())
	}
	v.Reading = false
	v.readBack()
	w.Run(4 * clock.Second)
	v.planEnd()
	v.CheckHistories()
}

// readBack judges every bundle at the day's end.
func (v *Watch) readBack() {
	for _, h := range v.Bundles {
		if h.Accepted == 0 {
			v.saw(refused)
			if !h.Maybe && h.Starts > 0 {
				v.breach(refused, "bundle %s was refused at every try and %d of its items started", h.ID, h.Starts)
			}
			continue
		}
		if h.Ended == 0 {
			v.readAll(h)
		}
	}
}

// serviceBack asks for every kind of service, at every edge and for every slot,
// until each is given: it has to be within about 12 s of the last fault.
func (v *Watch) serviceBack(since clock.Micros) {
	w := v.w
	want := map[string]func(n *Node, done func()){}
	for _, name := range w.Names("trailhead") {
		for _, route := range []string{"once", "flow", "long"} {
			for key, who := range customers {
				want[name+" "+route+" for "+key] = func(n *Node, done func()) {
					v.number++
					o := &Order{Customer: who, Route: route, Kind: kinds[route], Input: fmt.Sprintf("back-%d", v.number)}
					v.Orders, v.byInput[o.Input] = append(v.Orders, o), o
					v.Call(n, o, func() {
						if o.Outcome == wasOK {
							done()
						}
					})
				}
			}
		}
		want[name+" feed"] = func(n *Node, done func()) {
			v.here(n, requests.Page{Caller: callerKey, Read: reader.Read{Name: "back", Most: 1}}, func(_ any, err error) {
				if err == nil {
					done()
				}
			})
		}
		want[name+" list"] = func(n *Node, done func()) {
			for _, h := range v.Bundles {
				if h.Accepted > 0 {
					v.here(n, requests.Page{Caller: callerKey, Read: reader.Read{Name: "back", Bundle: h.ID, Most: 1}}, func(_ any, err error) {
						if err == nil {
							done()
						}
					})
					return
				}
			}
			done()
		}
	}
	for slot := 0; slot < w.slots(); slot++ {
		key := ""
		for i := 0; key == ""; i++ {
			name := fmt.Sprintf("back-%d-%d", slot, i)
			if shard.SlotOf(shard.BundleID(customer, name), w.slots()) == slot {
				key = name
			}
		}
		want[fmt.Sprintf("bundles of slot %d", slot)] = func(_ *Node, done func()) {
			if h := v.byKey[key]; h == nil {
				v.HandAs(key, 1, 500)
			} else if h.Accepted > 0 {
				done()
			}
		}
	}
	want["plans"] = func(_ *Node, done func()) {
		if v.Served["plan"] > since {
			done()
		} else {
			v.PutPlan(false)
		}
	}
	names := sorted(want)
	given := map[string]clock.Micros{}
	busy := map[string]int{}
	w.Until(12*clock.Second, func() bool {
		for _, name := range names {
			if given[name] > 0 || busy[name] > 3 {
				continue
			}
			word, _, _ := strings.Cut(name, " ")
			n := w.Nodes[word]
			busy[name]++
			want[name](n, func() {
				if given[name] == 0 {
					given[name] = w.Now
				}
			})
			w.After(500*clock.Millisecond, func() { busy[name]-- })
		}
		return len(given) == len(names)
	})
	for _, name := range names {
		v.saw(back)
		if given[name] == 0 {
			v.breach(back, "%s is not back 12 s after the last fault: %s", name, w.Standing())
		} else if span := given[name] - since; span > v.SlowestBack {
			v.SlowestBack, v.SlowestKind = span, name
		}
	}
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
		v.here(v.edgeNode(), requests.Page{Caller: callerKey, Read: reader.Read{Name: "all", Bundle: h.ID, Token: token, Most: 1 + w.Chance.Intn(30)}}, func(answer any, err error) {
			answered = true
			page, ok := answer.(reader.Page)
			if err != nil || !ok {
				return
			}
			token = page.Next
			for _, row := range page.Rows {
				v.row(row, "list")
				if seen[row.Item] || row.Position <= last {
					v.breach(exact, "list of %s: item %d at position %d after %d", h.ID, row.Item, row.Position, last)
				}
				seen[row.Item], last = true, row.Position
				count++
			}
			done = count >= h.Items && page.State != string(shard.Open)
		})
		w.Until(3*clock.Second, func() bool { return answered })
		if !done {
			w.Run(30 * clock.Millisecond)
		}
	}
	if count != h.Items || !done {
		v.breach(kept, "list of %s: %d of %d results at the day's end", h.ID, count, h.Items)
	}
}

// recognised is the document of a confirmed put where the list has its version under
// the digest of this very document, and holds only so many documents that this one
// may have given way; "" otherwise.
func recognised(list control.Plans, p *Put) string {
	digest, err := state.DigestOf([]byte(p.Body))
	if err != nil || len(list.Versions) == 0 || p.Version >= list.Versions[0].Number {
		return "" // its document has to be there still
	}
	for _, order := range list.Orders {
		if order.Number == p.Version && order.Digest == digest {
			return p.Body
		}
	}
	return ""
}

// planEnd checks that every confirmed plan stands, reads back at two edges
// (or is still recognised, once its document gave way), and
// that the newest is in force everywhere.
func (v *Watch) planEnd() {
	w := v.w
	latest := uint64(0)
	for _, p := range v.Puts {
		latest = max(latest, p.Version)
	}
	edges := w.Names("trailhead")
	for _, p := range v.Puts {
		if p.Version == 0 {
			continue
		}
		for i := 0; i < min(2, len(edges)); i++ {
			n, answered, body := w.Nodes[edges[(p.Number+i)%len(edges)]], false, ""
			for tries := 0; tries < 5 && !answered; tries++ {
				over := false
				w.Ask(n, n.core.Peer, control.PlansAsk{Version: p.Version}, 2*clock.Second, func(answer any, err error) {
					over = true
					if got, ok := answer.(control.Plans); ok && err == nil && len(got.Versions) == 1 {
						answered, body = true, string(got.Versions[0].Body)
					}
					if errs.Is(err, errs.NotFound) {
						over = false // its document may be gone, but the order is still recognised
						w.Ask(n, n.core.Peer, control.PlansAsk{}, 2*clock.Second, func(answer any, err error) {
							over = true
							if got, ok := answer.(control.Plans); ok && err == nil {
								answered, body = true, recognised(got, p)
							}
						})
					}
				})
				w.Until(6*clock.Second, func() bool { return over })
			}
			v.saw(inForce)
			if body != p.Body {
				v.breach(inForce, "confirmed plan %d does not read back at %s", p.Version, n.Name)
			}
		}
	}
	for _, name := range w.names {
		if n := w.Nodes[name]; n.up && n.plan < latest {
			v.breach(inForce, "%s has plan %d in force, not %d", name, n.plan, latest)
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
		o := n.Core.Vote()
		out = append(out, fmt.Sprintf("%s(%s) %s term %d pending %v committed %d %v", name, n.ID, n.Core.Groups().Group("core").Role, o.Term, o.Pending.IDs(), o.Committed.Epoch, o.Committed.IDs()))
		if n.Core.Serving() {
			for slot, p := range n.Core.State().Slots {
				if !p.Complete || slices.ContainsFunc(p.IDs(), func(id string) bool { return !w.live(id) }) {
					out = append(out, fmt.Sprintf("slot %d %+v", slot, p))
				}
			}
		}
	}
	return strings.Join(out, "; ")
}

func (w *World) slots() int {
	for _, name := range w.Names("trailhead") {
		if n := w.Nodes[name]; n.edge != nil && len(n.edge.Reader.Map().Slots) > 0 {
			return len(n.edge.Reader.Map().Slots)
		}
	}
	return 1
}
