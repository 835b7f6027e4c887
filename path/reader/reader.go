// Package reader follows the writers' lists for callers (DESIGN §6.5): per
// bundle, and as one feed over all of a caller's bundles. It is a part of the
// daemon's machine.
package reader

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/ledger/token"
)

// Reader is one reading daemon's side of the ledgers.
type Reader struct {
	wire  *machine.Wire
	view  *token.View
	state state.Map
	open  map[string]*reading // reads that wait for rows, by name
	order []string            // the same in the order they came
	// PollRest is the least time between two asks of one reader that waits: every
	// writer's word turns the view, and many readers must not ask at each of them.
	PollRest clock.Micros
	// SkipWakeups is a fault planted by tests: the view's turns wake nobody.
	SkipWakeups bool
}

// Read is a page that a caller wants: of one bundle's list, or of the feed over
// all its bundles. An empty page waits for rows until Wait is over.
type Read struct {
	Name     string // to give it up by
	Customer string
	Bundle   string // "" for the feed
	Token    string
	Most     int
	Wait     clock.Micros
	// Indexed reads one bundle's list from the index From on, without a token: at
	// most MostBytes of outputs (0: no bound), but at least one row.
	Indexed   bool
	From      int
	MostBytes int
	Anyone    bool // the caller carries no key: a bundle without one is found by its name alone
}

type reading struct {
	Read
	back   func(Page, error, clock.Micros)
	expiry clock.Micros
	due    clock.Micros // not asked again before; 0: only once the view turns
	asked  clock.Micros
	busy   bool
	lost   int // asks in a row that no store answered in time
}

// pollRest is PollRest where nothing else is set.
const pollRest = 40 * clock.Millisecond

// passRest is the same while a slot passes on, where no word need turn the view.
const passRest = 100 * clock.Millisecond

// New makes a reader.
func New(wire *machine.Wire) *Reader {
	return &Reader{wire: wire, view: token.NewView(), open: map[string]*reading{}, PollRest: pollRest}
}

// Receive takes the updates that concern reading.
func (r *Reader) Receive(update machine.Update, now clock.Micros) {
	switch {
	case update.Key == state.MapKey:
		var m state.Map
		if json.Unmarshal(update.Value, &m) != nil || m.Seq <= r.state.Seq {
			return
		}
		r.state = m
		epochs := make([]uint64, len(m.Slots))
		for i, pairing := range m.Slots {
			epochs[i] = pairing.Epoch
		}
		r.view.SetMap(epochs)
	case strings.HasPrefix(update.Key, token.KeyPrefix):
		if !r.view.Hear(update) {
			return
		}
	default:
		return
	}
	for _, name := range r.order {
		if one := r.open[name]; !r.SkipWakeups && one != nil && (one.due == 0 || one.due > one.asked+r.PollRest) {
			one.due = max(now, one.asked+r.PollRest)
		}
	}
	r.again(now)
}

// Start reads a page; back is told once.
func (r *Reader) Start(read Read, now clock.Micros, back func(Page, error, clock.Micros)) {
	one := &reading{Read: read, back: back, expiry: now + read.Wait}
	if read.Wait > 0 {
		r.open[read.Name] = one
		r.order = append(r.order, read.Name)
	}
	r.ask(one, now)
}

// Left tells that a read's caller has gone.
type Left struct{ Name string }

// Leave gives a read up.
func (r *Reader) Leave(left Left) {
	if one := r.open[left.Name]; one != nil {
		r.close(left.Name)
		if one.Wait = 0; !one.busy {
			one.back(Page{}, errs.New(errs.NotReady, "ask again with the same token", "the reader left"), 0)
		}
	}
}

func (r *Reader) close(name string) {
	if r.open[name] == nil {
		return
	}
	delete(r.open, name)
	for i, one := range r.order {
		if one == name {
			r.order = append(r.order[:i], r.order[i+1:]...)
			return
		}
	}
}

// Open is how many reads wait.
func (r *Reader) Open() int { return len(r.open) }

// ClockEvent asks again for whom it is due, and ends the waits that are over.
func (r *Reader) ClockEvent(now clock.Micros) { r.again(now) }

func (r *Reader) again(now clock.Micros) {
	for _, name := range append([]string(nil), r.order...) {
		one := r.open[name]
		switch {
		case one == nil || one.busy:
		case now >= one.expiry:
			// A last look: the caller hears what there is now.
			r.close(name)
			one.Wait = 0
			r.ask(one, now)
		case one.due > 0 && now >= one.due:
			r.ask(one, now)
		}
	}
}

func (r *Reader) ask(one *reading, now clock.Micros) {
	one.busy, one.due, one.asked = true, 0, now
	r.page(one.Read, one.patience(), now, func(page Page, err error, now clock.Micros) {
		one.busy = false
		if one.lost++; err == nil {
			one.lost = 0
		}
		passing := errs.Is(err, errs.NotReady)
		whole := err == nil && (len(page.Rows) > 0 || (page.State != "" && page.State != string(shard.Open)))
		if one.Wait == 0 || whole || (err != nil && !passing) {
			r.close(one.Name)
			one.back(page, err, now)
			return
		}
		if passing {
			one.due = now + passRest
		}
	})
}

// Map is the map as heard last.
func (r *Reader) Map() state.Map { return r.state }

// Ready tells whether every slot has a store that serves it.
func (r *Reader) Ready() bool {
	_, whole := r.view.UpTo()
	return whole
}

// StoreOf is the slot of a bundle or claim and who serves it.
func (r *Reader) StoreOf(id string) (int, token.Owner, error) {
	if len(r.state.Slots) == 0 {
		return 0, token.Owner{}, errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no map of the stores has arrived yet")
	}
	slot := shard.SlotOf(id, len(r.state.Slots))
	owner, ok := r.view.Owner(slot)
	if !ok {
		return slot, owner, errs.Later(errs.NotReady, clock.Second, "ask again; the slot passes to another store", "slot %d has no store with two disks now", slot)
	}
	return slot, owner, nil
}

// Page is what a caller gets.
type Page struct {
	Rows  []shard.Row
	Next  string
	State string
	Items int
	More  bool
	Index int // of the first row, where the list is read by index
}

func scope(fleet, what string) string { return fleet + "/" + what }

// readExpiry is how long a store may take. Reading changes nothing, so one that
// waits anyway asks anew sooner, and later each time: a lost message must not
// hold its rows back for longer than users bear.
const (
	readExpiry  = 2 * clock.Second
	soonExpiry  = 400 * clock.Millisecond
	mostDoubles = 3
)

func (one *reading) patience() clock.Micros {
	if one.Wait == 0 {
		return readExpiry
	}
	return min(readExpiry, soonExpiry<<min(one.lost, mostDoubles))
}

func (r *Reader) page(read Read, patience, now clock.Micros, back func(Page, error, clock.Micros)) {
	if read.Bundle != "" {
		r.bundle(read, patience, now, back)
		return
	}
	r.feed(read, patience, now, back)
}

// bundle reads one bundle's list after a token, or from an index on.
func (r *Reader) bundle(read Read, patience, now clock.Micros, back func(Page, error, clock.Micros)) {
	fleet := r.state.Fleet
	slot, owner, err := r.StoreOf(read.Bundle)
	if err != nil {
		back(Page{}, err, now)
		return
	}
	from, err := token.Parse(scope(fleet, read.Bundle), read.Token)
	if err != nil {
		back(Page{}, err, now)
		return
	}
	after := from.Vector()
	r.wire.Ask(owner.Peer, store.ReadAsk{Slots: map[int]uint64{slot: owner.Epoch}, Bundle: read.Bundle, Customer: read.Customer, Anyone: read.Anyone,
		After: after, Bound: map[int]token.Vector{slot: r.view.Effective(slot)}, Most: read.Most,
		Indexed: read.Indexed, From: read.From, MostBytes: read.MostBytes}, patience, func(answer any, err error, now clock.Micros) {
		rows, err := rowsOf(answer, err)
		if err != nil {
			back(Page{}, err, now)
			return
		}
		page := Page{Rows: rows.Rows, State: rows.State, Items: rows.Items, More: rows.More, Index: rows.Index}
		if read.Indexed {
			back(page, nil, now)
			return
		}
		for _, row := range rows.Rows {
			after[row.Writer] = max(after[row.Writer], row.Position)
		}
		page.Next = token.NewToken(scope(fleet, read.Bundle), after).String()
		back(page, nil, now)
	})
}

// rowsOf turns a store's answer into rows, or what went wrong into words for a
// reader: reading changes nothing, so asking again is always safe.
func rowsOf(answer any, err error) (store.Rows, error) {
	if err != nil {
		if m := errs.Of(err); m.Kind != errs.OutcomeUnknown {
			return store.Rows{}, err
		}
		return store.Rows{}, errs.Later(errs.NotReady, clock.Second, "ask again with the same token", "the store gave no answer: %v", err)
	}
	rows, ok := answer.(store.Rows)
	if !ok {
		return rows, errs.New(errs.ServerFault, "run the same release on all daemons", "the store answered %T", answer)
	}
	return rows, nil
}

// feed reads all of a customer's bundles after a token.
func (r *Reader) feed(read Read, patience, now clock.Micros, back func(Page, error, clock.Micros)) {
	fleet := r.state.Fleet
	if fleet == "" {
		back(Page{}, errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no map of the stores has arrived yet"), now)
		return
	}
	from, err := token.Parse(scope(fleet, feedPrefix+read.Customer), read.Token)
	if err != nil {
		back(Page{}, err, now)
		return
	}
	after := from.Vector()
	asks, upTo, whole := FeedAsks(r.view, len(r.state.Slots), read.Customer, after, read.Most)
	if !whole {
		back(Page{}, errs.Later(errs.NotReady, clock.Second, "ask again with the same token", "a slot passes to another store; the feed goes on when it has"), now)
		return
	}
	var page Page
	var failed error
	left := len(asks)
	peers := make([]string, 0, left)
	for peer := range asks {
		peers = append(peers, peer)
	}
	sort.Strings(peers)
	for _, peer := range peers {
		r.wire.Ask(peer, asks[peer], patience, func(answer any, err error, now clock.Micros) {
			rows, err := rowsOf(answer, err)
			if err != nil {
				failed = err
			}
			page.Rows = append(page.Rows, rows.Rows...)
			page.More = page.More || rows.More
			if left--; left > 0 {
				return
			}
			if failed != nil {
				back(Page{}, failed, now)
				return
			}
			page.Next = token.NewToken(scope(fleet, feedPrefix+read.Customer), Cut(&page, after, upTo, read.Most)).String()
			back(page, nil, now)
		})
	}
}

// FeedAsks works out whom to ask for what: each store for the slots it serves,
// up to the vector that may be read now.
func FeedAsks(view *token.View, slots int, customer string, after token.Vector, most int) (map[string]store.ReadAsk, token.Vector, bool) {
	upTo, whole := view.UpTo()
	asks := map[string]store.ReadAsk{}
	for slot := 0; slot < slots; slot++ {
		owner, ok := view.Owner(slot)
		if !ok {
			continue
		}
		ask, known := asks[owner.Peer]
		if !known {
			ask = store.ReadAsk{Slots: map[int]uint64{}, Customer: customer, After: after, Bound: map[int]token.Vector{}, Most: most}
		}
		ask.Slots[slot], ask.Bound[slot] = owner.Epoch, upTo
		asks[owner.Peer] = ask
	}
	return asks, upTo, whole
}

// Cut orders a page, cuts it, and works out the vector after it: where it was
// cut, each writer's last row on it; otherwise all that was readable.
func Cut(page *Page, after, upTo token.Vector, most int) token.Vector {
	sort.SliceStable(page.Rows, func(i, j int) bool {
		if page.Rows[i].Position != page.Rows[j].Position {
			return page.Rows[i].Position < page.Rows[j].Position
		}
		return page.Rows[i].Writer < page.Rows[j].Writer
	})
	if most > 0 && len(page.Rows) > most {
		page.Rows, page.More = page.Rows[:most], true
	}
	next := token.Vector{}
	for writer, position := range after {
		next[writer] = position
	}
	if !page.More {
		for writer, position := range upTo {
			next[writer] = max(next[writer], position)
		}
	}
	for _, row := range page.Rows {
		next[row.Writer] = max(next[row.Writer], row.Position)
	}
	return next
}
