// Package reader follows the writers' lists for callers (DESIGN §6.5): per
// bundle, and as one feed over all of a caller's bundles.
package reader

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"tuliprudder/core/chart"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/stride"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/daybook"
	"tuliprudder/ledger/keeper"
	"tuliprudder/ledger/waypost"
)

// Asker asks a daemon by its address.
type Asker func(peer string, body any, expiry sundial.Micros) (any, error)

// Reader is one reading daemon's side of the ledgers.
type Reader struct {
	mu     sync.Mutex
	view   *waypost.View
	chart  chart.Map
	turned chan struct{} // closed and replaced whenever the view turns
	ask    Asker
}

// New makes a reader.
func New(ask Asker) *Reader {
	return &Reader{view: waypost.NewView(), turned: make(chan struct{}), ask: ask}
}

// Hear takes the news that concern reading.
func (r *Reader) Hear(rumour stride.Rumour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case rumour.Key == chart.MapKey:
		var m chart.Map
		if json.Unmarshal(rumour.Value, &m) != nil || m.Seq <= r.chart.Seq {
			return
		}
		r.chart = m
		epochs := make([]uint64, len(m.Slots))
		for i, pairing := range m.Slots {
			epochs[i] = pairing.Epoch
		}
		r.view.SetMap(epochs)
	case strings.HasPrefix(rumour.Key, "writer/"):
		if !r.view.Hear(rumour) {
			return
		}
	default:
		return
	}
	close(r.turned)
	r.turned = make(chan struct{})
}

// Map is the map as heard last.
func (r *Reader) Map() chart.Map {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chart
}

// Turned is closed at the next change of the view.
func (r *Reader) Turned() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.turned
}

// Ready tells whether every slot has a keeper that serves it.
func (r *Reader) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, whole := r.view.UpTo()
	return whole
}

// Keeper is the slot of a bundle or claim and who serves it.
func (r *Reader) Keeper(id string) (int, waypost.Owner, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.chart.Slots) == 0 {
		return 0, waypost.Owner{}, mishap.Later(mishap.NotReady, sundial.Second, "ask again; the daemon has just started", "no map of the stores has arrived yet")
	}
	slot := daybook.SlotOf(id, len(r.chart.Slots))
	owner, ok := r.view.Owner(slot)
	if !ok {
		return slot, owner, mishap.Later(mishap.NotReady, sundial.Second, "ask again; the slot passes to another keeper", "slot %d has no keeper with two disks now", slot)
	}
	return slot, owner, nil
}

// Page is what a caller gets.
type Page struct {
	Rows  []daybook.Row
	Next  string
	State string
	Items int
	More  bool
}

func scope(fleet, what string) string { return fleet + "/" + what }

const readExpiry = 2 * sundial.Second

// Bundle reads one bundle's list after a token.
func (r *Reader) Bundle(customer, id, token string, most int) (Page, error) {
	fleet := r.Map().Fleet
	slot, owner, err := r.Keeper(id)
	if err != nil {
		return Page{}, err
	}
	from, err := waypost.Parse(scope(fleet, id), token)
	if err != nil {
		return Page{}, err
	}
	r.mu.Lock()
	bound := r.view.Effective(slot)
	r.mu.Unlock()
	after := from.Vector()
	answer, err := r.ask(owner.Peer, keeper.ReadAsk{Slots: map[int]uint64{slot: owner.Epoch}, Bundle: id, Customer: customer,
		After: after, Bound: map[int]waypost.Vector{slot: bound}, Most: most}, readExpiry)
	if err != nil {
		return Page{}, reading(err)
	}
	rows, ok := answer.(keeper.Rows)
	if !ok {
		return Page{}, mishap.New(mishap.ServerFault, "run the same release on all daemons", "the keeper answered %T", answer)
	}
	for _, row := range rows.Rows {
		after[row.Writer] = max(after[row.Writer], row.Position)
	}
	return Page{Rows: rows.Rows, Next: waypost.NewToken(scope(fleet, id), after).String(), State: rows.State, Items: rows.Items, More: rows.More}, nil
}

// reading turns what went wrong into words for a reader: reading changes
// nothing, so asking again is always safe.
func reading(err error) error {
	if m := mishap.Of(err); m.Kind != mishap.OutcomeUnknown {
		return err
	}
	return mishap.Later(mishap.NotReady, sundial.Second, "ask again with the same token", "the keeper gave no answer: %v", err)
}

// Feed reads all of a customer's bundles after a token.
func (r *Reader) Feed(customer, token string, most int) (Page, error) {
	fleet := r.Map().Fleet
	if fleet == "" {
		return Page{}, mishap.Later(mishap.NotReady, sundial.Second, "ask again; the daemon has just started", "no map of the stores has arrived yet")
	}
	from, err := waypost.Parse(scope(fleet, "feed/"+customer), token)
	if err != nil {
		return Page{}, err
	}
	r.mu.Lock()
	after := from.Vector()
	asks, upTo, whole := FeedAsks(r.view, len(r.chart.Slots), customer, after, most)
	r.mu.Unlock()
	if !whole {
		return Page{}, mishap.Later(mishap.NotReady, sundial.Second, "ask again with the same token", "a slot passes to another keeper; the feed goes on when it has")
	}
	type part struct {
		rows keeper.Rows
		err  error
	}
	parts := make(chan part, len(asks))
	for peer, ask := range asks {
		go func() {
			answer, err := r.ask(peer, ask, readExpiry)
			rows, _ := answer.(keeper.Rows)
			parts <- part{rows, err}
		}()
	}
	var page Page
	var failed error
	for range asks {
		p := <-parts
		if p.err != nil {
			failed = reading(p.err)
		}
		page.Rows = append(page.Rows, p.rows.Rows...)
		page.More = page.More || p.rows.More
	}
	if failed != nil {
		return Page{}, failed
	}
	page.Next = waypost.NewToken(scope(fleet, "feed/"+customer), Cut(&page, after, upTo, most)).String()
	return page, nil
}

// FeedAsks works out whom to ask for what: each keeper for the slots it serves,
// up to the vector that may be read now.
func FeedAsks(view *waypost.View, slots int, customer string, after waypost.Vector, most int) (map[string]keeper.ReadAsk, waypost.Vector, bool) {
	upTo, whole := view.UpTo()
	asks := map[string]keeper.ReadAsk{}
	for slot := 0; slot < slots; slot++ {
		owner, ok := view.Owner(slot)
		if !ok {
			continue
		}
		ask, known := asks[owner.Peer]
		if !known {
			ask = keeper.ReadAsk{Slots: map[int]uint64{}, Customer: customer, After: after, Bound: map[int]waypost.Vector{}, Most: most}
		}
		ask.Slots[slot], ask.Bound[slot] = owner.Epoch, upTo
		asks[owner.Peer] = ask
	}
	return asks, upTo, whole
}

// Cut orders a page, cuts it, and works out the vector after it: where it was
// cut, each writer's last row on it; otherwise all that was readable.
func Cut(page *Page, after, upTo waypost.Vector, most int) waypost.Vector {
	sort.SliceStable(page.Rows, func(i, j int) bool {
		if page.Rows[i].Position != page.Rows[j].Position {
			return page.Rows[i].Position < page.Rows[j].Position
		}
		return page.Rows[i].Writer < page.Rows[j].Writer
	})
	if most > 0 && len(page.Rows) > most {
		page.Rows, page.More = page.Rows[:most], true
	}
	next := waypost.Vector{}
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
