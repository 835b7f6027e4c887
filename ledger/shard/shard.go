// Package shard is the state of one slot (DESIGN §6): its bundles with their
// one ordered list of results each, and the claims on one-shot orders.
package shard

import (
	"encoding/json"
	"hash/fnv"
	"sort"

	"github.com/pkg/errors"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// SlotOf is the slot a bundle or claim belongs to.
func SlotOf(id string, slots int) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return int(sum % uint64(slots))
}

// Item is one order of a bundle: an input for the route's model, or a request to
// be passed on to a server unchanged.
type Item struct {
	ID      string   `json:"id"`
	Input   string   `json:"input,omitempty"`
	Request *Request `json:"request,omitempty"`
}

// Request is an item that is passed on to a server unchanged (DESIGN §12.5).
type Request struct {
	Target string            `json:"target"` // path and query
	Host   string            `json:"host"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Size   int               `json:"size,omitempty"` // of a body that lies behind an entry (raw.go)
	Tokens int64             `json:"tokens"`         // what it counts for in the route's bound on waiting tokens
}

// Weight is what an item counts for while it waits: a request's tokens, else one.
func (r *Request) Weight() int {
	if r == nil || r.Tokens < 1 {
		return 1
	}
	return int(r.Tokens)
}

// letGo drops what only a run needs. The request is replaced, not changed: a run
// that is under way still holds it.
func (i *Item) letGo() {
	i.Input = ""
	if r := i.Request; r != nil {
		i.Request = &Request{Target: r.Target, Host: r.Host, Tokens: r.Tokens}
	}
}

// Row is one result with its position and its writer.
type Row struct {
	Writer   int    `json:"writer"`
	Position int64  `json:"position"`
	Bundle   string `json:"bundle"`
	Item     int    `json:"item"`
	ItemID   string `json:"item_id"`
	Status   string `json:"status"`
	Output   string `json:"output"`
	Server   string `json:"server,omitempty"`
}

// State of a bundle.
type State string

// Bundle is one bundle and its list. Inputs and bodies go once their row is in.
type Bundle struct {
	ID       string       `json:"id"`
	Customer string       `json:"customer"`
	Key      string       `json:"key"`
	Hash     string       `json:"hash"`
	Route    string       `json:"route"`
	Plan     uint64       `json:"plan,omitempty"` // version of the plan it was handed in under
	Items    []Item       `json:"items"`
	State    State        `json:"state"`
	Enrolled clock.Micros `json:"enrolled"`
	Changed  clock.Micros `json:"changed"`
	Rows     []Row        `json:"rows"`
	Shelved  *Place       `json:"shelved,omitempty"`
	listed   map[int]bool
	moving   bool
}

// Place is where a settled bundle's rows lie on this daemon's own disk, and what
// has to be known of them without looking.
type Place struct {
	File  uint64        `json:"file"`
	Items int           `json:"items"`
	Rows  int           `json:"rows"`
	Last  map[int]int64 `json:"last"` // highest position of each writer
}

// Counts are the bundle's items and rows, shelved or not.
func (b *Bundle) Counts() (items, rows int) {
	if b.Shelved != nil {
		return b.Shelved.Items, b.Shelved.Rows
	}
	return len(b.Items), len(b.Rows)
}

// Settled tells whether the bundle may be shelved.
func (b *Bundle) Settled() bool { return b.State != Open && b.Shelved == nil && !b.moving }

// Move marks the bundle as on its way to the shelf.
func (b *Bundle) Move() { b.moving = true }

// Moving tells whether it is on its way there.
func (b *Bundle) Moving() bool { return b.moving }

// Encode is the whole bundle, for the shelf.
func (b *Bundle) Encode() []byte {
	whole := *b
	whole.Shelved = nil
	data, _ := json.Marshal(whole)
	return data
}

// Shelve lets go of rows and items that are on the shelf now.
func (b *Bundle) Shelve(file uint64) {
	place := &Place{File: file, Items: len(b.Items), Rows: len(b.Rows), Last: map[int]int64{}}
	for _, row := range b.Rows {
		place.Last[row.Writer] = max(place.Last[row.Writer], row.Position)
	}
	b.Shelved, b.moving, b.Rows, b.Items, b.listed = place, false, nil, nil, nil
}

// Unshelved reads a whole bundle from what the shelf holds.
func Unshelved(data []byte) (*Bundle, error) {
	var b Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrap(err, "reading a shelved bundle")
	}
	return &b, nil
}

// Listed tells whether an item has its row.
func (b *Bundle) Listed(item int) bool { return b.listed[item] }

// Waiting finds an item by its id that has no row yet and may still get one.
func (b *Bundle) Waiting(id string) (*Item, bool) {
	if b.State != Open {
		return nil, false
	}
	for i := range b.Items {
		if b.Items[i].ID == id && !b.listed[i] {
			return &b.Items[i], true
		}
	}
	return nil, false
}

// Claim is one caller's key on a one-shot order.
type Claim struct {
	Customer string       `json:"customer"`
	Key      string       `json:"key"`
	Hash     string       `json:"hash"`
	Order    string       `json:"order"`
	State    string       `json:"state"` // claimed, answered, turned-away
	Answer   []byte       `json:"answer,omitempty"`
	At       clock.Micros `json:"at"`
}

// Tenure is one writer's run of rows in a slot; the next one's rows all lie
// above it.
type Tenure struct {
	Writer int   `json:"writer"`
	First  int64 `json:"first"`
	Last   int64 `json:"last"`
}

// mostTenures is how many runs are kept; older ones were settled long ago.
const mostTenures = 12

// Slot is the state one pair replicates.
type Slot struct {
	Bundles map[string]*Bundle
	Claims  map[string]*Claim
	Last    map[int]int64 // highest position of each writer in this slot
	Tenures []Tenure      // the newest runs, in the order of their positions
}

// NewSlot is an empty slot.
func NewSlot() *Slot {
	return &Slot{Bundles: map[string]*Bundle{}, Claims: map[string]*Claim{}, Last: map[int]int64{}}
}

// Open tells whether any bundle of the slot is open.
func (s *Slot) Open() bool {
	for _, bundle := range s.Bundles {
		if bundle.State == Open {
			return true
		}
	}
	return false
}

// Top is the highest position any row of the slot holds.
func (s *Slot) Top() int64 {
	top := int64(0)
	for _, position := range s.Last {
		top = max(top, position)
	}
	return top
}

// Entry is one change of a slot: a command on it.
type Entry interface {
	Apply(slot *Slot)
	kind() string
}

// The changes there are. Their JSON is on the disks of the stores; the keys never change.
type (
	// Enrol takes a bundle in.
	Enrol struct {
		Bundle Bundle `json:"Bundle"`
	}
	// List puts a result into its bundle's list.
	List struct {
		Row Row `json:"Row"`
	}
	// End stops a bundle for good.
	End struct {
		Bundle string       `json:"Bundle"`
		At     clock.Micros `json:"At"`
	}
	// Claiming claims a key before its one-shot order starts.
	Claiming struct {
		Claim Claim `json:"Claim"`
	}
	// Settling notes how a claimed order went.
	Settling struct {
		ID     string `json:"ID"`
		State  string `json:"State"`
		Answer []byte `json:"Answer"`
	}
	// Forget drops what is past its keeping.
	Forget struct {
		Bundles []string `json:"Bundles"`
		Claims  []string `json:"Claims"`
	}
)

// ClaimID is the name of a claim; BundleID of a bundle. Both come from the
// customer and the key alone, so a repeated key meets itself at any daemon.
func ClaimID(customer, key string) string { return claimPrefix + digest(customer, key) }

// BundleID is the name of the bundle of a customer's key.
func BundleID(customer, key string) string { return bundlePrefix + digest(customer, key) }

// Apply takes the bundle in.
func (e Enrol) Apply(s *Slot) {
	bundle := e.Bundle
	bundle.listed = map[int]bool{}
	s.Bundles[bundle.ID] = &bundle
}

// Apply lists the row, unless its item already has one or the bundle is gone.
func (e List) Apply(s *Slot) {
	s.Last[e.Row.Writer] = max(s.Last[e.Row.Writer], e.Row.Position)
	s.tenure(e.Row.Writer, e.Row.Position)
	bundle := s.Bundles[e.Row.Bundle]
	if bundle == nil || bundle.State != Open || bundle.listed[e.Row.Item] {
		return
	}
	bundle.Rows = append(bundle.Rows, e.Row)
	bundle.listed[e.Row.Item] = true
	bundle.Items[e.Row.Item].letGo()
	if len(bundle.Rows) == len(bundle.Items) {
		bundle.State = Done
	}
}

// tenure goes on with the newest run or begins the next one.
func (s *Slot) tenure(writer int, position int64) {
	if n := len(s.Tenures); n > 0 && s.Tenures[n-1].Writer == writer {
		s.Tenures[n-1].Last = position
		return
	}
	s.Tenures = append(s.Tenures, Tenure{Writer: writer, First: position, Last: position})
	if extra := len(s.Tenures) - mostTenures; extra > 0 {
		s.Tenures = append([]Tenure(nil), s.Tenures[extra:]...)
	}
}

// Apply ends the bundle; results listed so far stay.
func (e End) Apply(s *Slot) {
	if bundle := s.Bundles[e.Bundle]; bundle != nil && bundle.State == Open {
		bundle.State, bundle.Changed = Ended, e.At
		for i := range bundle.Items {
			bundle.Items[i].letGo()
		}
	}
}

// Apply notes the claim.
func (e Claiming) Apply(s *Slot) {
	claim := e.Claim
	s.Claims[ClaimID(claim.Customer, claim.Key)] = &claim
}

// Apply settles the claim once.
func (e Settling) Apply(s *Slot) {
	if claim := s.Claims[e.ID]; claim != nil && claim.State == Claimed {
		claim.State, claim.Answer = e.State, e.Answer
	}
}

// Apply drops what is named.
func (e Forget) Apply(s *Slot) {
	for _, id := range e.Bundles {
		delete(s.Bundles, id)
	}
	for _, id := range e.Claims {
		delete(s.Claims, id)
	}
}

func (Enrol) kind() string    { return kindEnrol }
func (List) kind() string     { return kindList }
func (End) kind() string      { return kindEnd }
func (Claiming) kind() string { return kindClaim }
func (Settling) kind() string { return kindSettle }
func (Forget) kind() string   { return kindForget }

var entries = machine.Entries[Entry]{
	kindEnrol:  machine.Decoder(func(e Enrol) Entry { return e }),
	kindList:   machine.Decoder(func(e List) Entry { return e }),
	kindEnd:    machine.Decoder(func(e End) Entry { return e }),
	kindClaim:  machine.Decoder(func(e Claiming) Entry { return e }),
	kindSettle: machine.Decoder(func(e Settling) Entry { return e }),
	kindForget: machine.Decoder(func(e Forget) Entry { return e }),
}

// Encode writes an entry for the pair.
func Encode(e Entry) []byte {
	if enrol, ok := e.(Enrol); ok {
		return encodeRaw(enrol)
	}
	return entries.Encode(e.kind(), e)
}

// Decode reads an entry.
func Decode(data []byte) (Entry, error) {
	if len(data) > 0 && data[0] == rawMark {
		return decodeRaw(data)
	}
	return entries.Decode(data)
}

type part struct {
	Bundle *Bundle       `json:"bundle,omitempty"`
	Claim  *Claim        `json:"claim,omitempty"`
	Last   map[int]int64 `json:"last,omitempty"`
	Runs   []Tenure      `json:"tenures,omitempty"`
}

// View is the whole slot in parts, in a fixed order; whole brings in what is
// shelved, or is nil to leave it where it lies.
func (s *Slot) View(whole func(*Bundle) *Bundle) [][]byte {
	var out [][]byte
	add := func(p part) {
		data, _ := json.Marshal(p)
		out = append(out, data)
	}
	add(part{Last: s.Last, Runs: s.Tenures})
	for _, id := range sortedKeys(s.Bundles) {
		bundle := s.Bundles[id]
		if bundle.Shelved != nil && whole != nil {
			bundle = whole(bundle)
		}
		add(part{Bundle: bundle})
	}
	for _, id := range sortedKeys(s.Claims) {
		add(part{Claim: s.Claims[id]})
	}
	return out
}

// Restore makes a slot from parts.
func Restore(parts [][]byte) (*Slot, error) {
	s := NewSlot()
	for _, data := range parts {
		var p part
		if err := json.Unmarshal(data, &p); err != nil {
			return nil, errors.Wrap(err, "reading a part of a slot")
		}
		if p.Last != nil {
			s.Last, s.Tenures = p.Last, p.Runs
		}
		if p.Bundle != nil {
			p.Bundle.listed = map[int]bool{}
			for _, row := range p.Bundle.Rows {
				p.Bundle.listed[row.Item] = true
			}
			s.Bundles[p.Bundle.ID] = p.Bundle
		}
		if p.Claim != nil {
			s.Claims[ClaimID(p.Claim.Customer, p.Claim.Key)] = p.Claim
		}
	}
	return s, nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
