// Package store is the machine of a store daemon (DESIGN §6): it holds slots
// as owner or backup, gives positions to results, and announces its
// persisted-up-to position to the readers itself.
package store

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/positions"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/token"
)

// Settings of a keeper; the defaults are ours.
type Settings struct {
	MostItems     int          // items that wait, over all its slots
	FoldAfter     int          // stores between two views on disk
	KeepDone      clock.Micros // how long a finished bundle stays readable
	BeatEvery     clock.Micros
	AnnounceEvery clock.Micros
	DiskPatience  clock.Micros // a write that takes longer means a stalled disk
	DiskProof     clock.Micros // how long it has to keep up before it counts again
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MostItems: 50_000, FoldAfter: 2000, KeepDone: 48 * 3600 * clock.Second,
		BeatEvery: 300 * clock.Millisecond, AnnounceEvery: 15 * clock.Millisecond,
		DiskPatience: 1500 * clock.Millisecond, DiskProof: 5 * clock.Second}
}

// Self says who the keeper is.
type Self struct {
	ID, Zone, Peer string
	Life           uint64
	Name           string // the operator's name of the machine; "": none
}

// ItemOrder is one item to be run on a server.
type ItemOrder struct {
	Slot     int
	Epoch    uint64
	Bundle   string
	Item     int
	Customer string
	Route    string
	ItemID   string
	Input    string
	Request  *shard.Request // passed on unchanged; nil where there is an input
	Enrolled clock.Micros
	Plan     uint64 // version of the plan it was handed in under
}

// Revoke tells the path to drop what it still has of a bundle, or of a slot.
type Revoke struct {
	Bundle string
	Slot   int // -1 when a bundle is meant
}

type place struct {
	slot  int
	state *shard.Slot
}

type waiting struct {
	call   uint64
	expiry clock.Micros
	answer any
}

type orphan struct {
	slot      int
	epoch     uint64
	positions []int64
}

type finished struct {
	slot int
	row  shard.Row
}

// Store is the machine.
type Store struct {
	machine.Out
	set       Settings
	self      Self
	groups    *replication.Groups
	places    map[string]*place
	fleet     string
	writer    int
	stairs    *positions.Ladder
	asking    bool // a reservation is being written
	placement state.Map
	cairns    []string
	waits     map[string]map[uint64][]waiting
	given     map[string]map[uint64]int64 // unit, entry -> position
	news      map[string]map[uint64]string
	orphans   []orphan
	left      []lingering // slots that passed on, counted for a while
	held      []finished  // results that wait for a position or a serving pair
	seq       uint64
	dirty     bool
	stores    int
	writes    map[uint64]clock.Micros // on their way to the disk, since when
	stalled   clock.Micros            // the disk was last seen stalled
	disk      machine.DiskState
	next      struct{ beat, announce, forget, resume clock.Micros }
	drain     bool
	// Counters for the operators.
	Listed, Enrolled, Unknown, Takeovers, Entries, Reads int64
	// EarlyAnnounce is a fault planted by tests: positions count as finished
	// before they are durable.
	EarlyAnnounce bool
	// RefuseLate is a fault planted by tests: a bundle is turned away after its
	// entry was written.
	RefuseLate bool
	// NoLease is a fault planted by tests: asks are answered without a lease.
	NoLease   bool
	BadRecord error
	shelf     Shelf
	file      uint64 // last file put on the shelf
	files     map[uint64]bool
	// Shelved counts bundles put away; Damaged is told of one that can't be read.
	Shelved int64
	Damaged func(error)
}

// Unit is the name of a slot's pair.
func Unit(slot int) string { return fmt.Sprintf("slot/%03d", slot) }

func slotOf(unit string) int {
	slot, _ := strconv.Atoi(strings.TrimPrefix(unit, "slot/"))
	return slot
}

const (
	unitSelf     = "self"
	kindReserved = "reserved"
	kindWriter   = "writer"
)

type identity struct {
	Fleet  string `json:"fleet"`
	Writer int    `json:"writer"`
}

// New makes a keeper from what was read back from its disk.
func New(self Self, set Settings, records []machine.Record, shelf Shelf) *Store {
	k := &Store{set: set, self: self, shelf: shelf, file: shelf.Top(), files: map[uint64]bool{}, places: map[string]*place{},
		waits: map[string]map[uint64][]waiting{}, given: map[string]map[uint64]int64{},
		news: map[string]map[uint64]string{}, writes: map[uint64]clock.Micros{}, disk: machine.DiskState{Writable: true}}
	k.groups = replication.NewGroups(&k.Out, k)
	reserved := int64(0)
	for _, record := range records {
		switch {
		case record.Unit == unitSelf && record.Kind == kindReserved:
			reserved = max(reserved, int64(record.Seq))
		case record.Unit == unitSelf && record.Kind == kindWriter:
			var who identity
			if json.Unmarshal(record.Body, &who) == nil {
				k.fleet, k.writer = who.Fleet, who.Writer
			}
		default:
			k.groups.Recover(record)
		}
	}
	k.stairs = positions.New(reserved)
	k.sweep(shelf.Held())
	return k
}

// Command is an input of the keeper.
type Command = machine.Command[*Store]

// Do applies a command and hands over the effects.
func (k *Store) Do(command Command, now clock.Micros) []machine.Effect {
	command.Apply(k, now)
	if k.stores >= k.set.FoldAfter {
		k.stores = 0
		k.Emit(machine.Fold{Records: append(k.selfRecords(), k.groups.Records()...)})
	}
	out := k.Drain()
	for _, effect := range out {
		if store, ok := effect.(machine.Store); ok {
			k.stores++
			k.writes[store.Token] = now
		}
	}
	return out
}

func (k *Store) selfRecords() []machine.Record {
	body, _ := json.Marshal(identity{k.fleet, k.writer})
	return []machine.Record{{Unit: unitSelf, Kind: kindWriter, Body: body},
		{Unit: unitSelf, Kind: kindReserved, Seq: uint64(max(k.stairs.Next()-1, k.reservedAtLeast()))}}
}

func (k *Store) reservedAtLeast() int64 { return k.stairs.Reservation() }

// State is the map of the stores as this store knows it.
func (k *Store) State() state.Map { return k.placement }

// Groups are the store's replication groups, for tests and operators.
func (k *Store) Groups() *replication.Groups { return k.groups }

// Writer is the keeper's writer id; 0 before the core gave it one.
func (k *Store) Writer() int { return k.writer }

// Fleet is the fleet the keeper belongs to.
func (k *Store) Fleet() string { return k.fleet }

// Allowed tells, right before a start on a server, whether this keeper may
// start work of a bundle: epoch, fresh lease, and the bundle still open.
func (k *Store) Allowed(slot int, bundle string, item int, now clock.Micros) bool {
	group := k.groups.Group(Unit(slot))
	if group.Role != replication.Serving || now >= group.LeaseUntil() {
		return false
	}
	found := k.place(Unit(slot)).state.Bundles[bundle]
	return found != nil && found.State == shard.Open && !found.Listed(item)
}

func (k *Store) place(unit string) *place {
	p := k.places[unit]
	if p == nil {
		p = &place{slot: slotOf(unit), state: shard.NewSlot()}
		k.places[unit] = p
	}
	return p
}

// View is the slot's whole state for a copy.
func (k *Store) View(unit string) [][]byte { return k.place(unit).state.View(k.whole) }

// Brief is its state for this daemon's own disk.
func (k *Store) Brief(unit string) [][]byte { return k.place(unit).state.View(nil) }

// Restore replaces a slot's state.
func (k *Store) Restore(unit string, parts [][]byte) {
	state, err := shard.Restore(parts)
	if err != nil {
		k.BadRecord = err
		return
	}
	k.place(unit).state = state
}

// Play applies an entry on the backup or when read back.
func (k *Store) Play(unit string, data []byte) {
	entry, err := shard.Decode(data)
	if err != nil {
		k.BadRecord = err
		return
	}
	entry.Apply(k.place(unit).state)
}

// Confirmed answers who waits, finishes the position and starts new work.
func (k *Store) Confirmed(unit string, seq uint64, _ clock.Micros) {
	k.Entries++
	if position, ok := k.given[unit][seq]; ok {
		delete(k.given[unit], seq)
		k.stairs.Finish(position)
		k.dirty = true
	}
	if bundle, ok := k.news[unit][seq]; ok {
		delete(k.news[unit], seq)
		k.start(unit, bundle)
	}
	for _, w := range k.waits[unit][seq] {
		k.Emit(machine.Answer{Call: w.call, Body: w.answer})
	}
	delete(k.waits[unit], seq)
}

// start hands a bundle's open items to the path.
func (k *Store) start(unit, id string) {
	p := k.place(unit)
	bundle := p.state.Bundles[id]
	if bundle == nil || bundle.State != shard.Open {
		return
	}
	epoch := k.groups.Group(unit).Epoch
	for i, item := range bundle.Items {
		if !bundle.Listed(i) {
			k.Emit(machine.Work{Order: ItemOrder{Slot: p.slot, Epoch: epoch, Bundle: id, Item: i,
				Customer: bundle.Customer, Route: bundle.Route, ItemID: item.ID, Input: item.Input, Request: item.Request, Enrolled: bundle.Enrolled, Plan: bundle.Plan}})
		}
	}
}

// Ready tells the cores that a copy is on two disks.
func (k *Store) Ready(_ string, _ uint64, now clock.Micros) { k.beat(now) }

// Deposed says "outcome unknown" to who waits and leaves the slot's unfinished
// positions open until its new owner has settled.
func (k *Store) Deposed(unit string, epoch uint64, now clock.Micros) {
	k.lose(unit, "the slot passed to another keeper")
	k.leave(unit, now)
	slot := slotOf(unit)
	var positions []int64
	for _, position := range k.given[unit] {
		positions = append(positions, position)
	}
	delete(k.given, unit)
	delete(k.news, unit)
	if len(positions) > 0 {
		sort.Slice(positions, func(i, j int) bool { return positions[i] < positions[j] })
		k.orphans = append(k.orphans, orphan{slot: slot, epoch: epoch, positions: positions})
	}
	k.Emit(machine.Work{Order: Revoke{Slot: slot}})
	k.Emit(machine.Explain{What: "slot passed on", Fields: map[string]any{"slot": slot, "unfinished": len(positions)}})
	k.dirty = true
}

func (k *Store) lose(unit, why string) {
	for _, seq := range sortedKeys(k.waits[unit]) {
		for _, w := range k.waits[unit][seq] {
			k.unknown(w.call, why)
		}
	}
	delete(k.waits, unit)
}

func (k *Store) unknown(call uint64, why string) {
	k.Unknown++
	k.Emit(machine.Answer{Call: call, Err: errs.Later(errs.OutcomeUnknown, clock.Second, "ask again with the same idempotency key", "it is not known whether this was made durable: %s", why)})
}

// Stored is the disk's word.
type Stored struct{ Token uint64 }

// Apply passes the word on to the pair.
func (s Stored) Apply(k *Store, now clock.Micros) {
	delete(k.writes, s.Token)
	k.groups.Stored(s.Token, now)
	k.flush(now)
}

// Letter is a message that came in.
type Letter struct {
	From string
	Body any
}

// Apply takes the pair's messages and the core's welcome.
func (l Letter) Apply(k *Store, now clock.Micros) {
	if k.leftUntaken(l.Body) || k.groups.Take(l.From, l.Body, now) {
		return
	}
	if no, ok := l.Body.(Unwelcome); ok && no.ID == k.self.ID && no.Life == k.self.Life {
		k.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "start with an empty data folder, which the fleet fills from the pairs, or correct -seeds", "this data folder does not belong here: %s", no.Why)})
		return
	}
	if welcome, ok := l.Body.(Welcome); ok && welcome.Writer > 0 {
		if k.fleet != "" && k.fleet != welcome.Fleet {
			k.Emit(machine.Explain{What: "a core of another fleet spoke; its word is passed over; check -seeds", Fields: map[string]any{"fleet": welcome.Fleet, "from": l.From}})
			return
		}
		if k.writer == 0 {
			k.fleet, k.writer = welcome.Fleet, welcome.Writer
			body, _ := json.Marshal(identity{k.fleet, k.writer})
			k.groups.Store([]machine.Record{{Unit: unitSelf, Kind: kindWriter, Body: body}}, nil)
			k.reserve()
			k.dirty = true
		}
	}
}

func (k *Store) reserve() {
	wanted := k.stairs.Wanted()
	if wanted == 0 || k.asking || k.writer == 0 {
		return
	}
	k.asking = true
	k.groups.Store([]machine.Record{{Unit: unitSelf, Kind: kindReserved, Seq: uint64(wanted)}}, func(now clock.Micros) {
		k.asking = false
		k.stairs.Reserved(wanted)
		k.flush(now)
	})
}

// Cairns tells the keeper the cores' addresses.
type Cairns struct{ Peers []string }

// Apply notes them.
func (c Cairns) Apply(k *Store, _ clock.Micros) { k.cairns = c.Peers }

// News is a rumour from the acquaintance.
type News struct{ Rumour machine.Update }

// Apply takes a new map, and the announcements that settle orphans.
func (n News) Apply(k *Store, now clock.Micros) {
	if n.Rumour.Key == state.MapKey {
		var m state.Map
		if json.Unmarshal(n.Rumour.Value, &m) == nil && m.Seq > k.placement.Seq && (k.fleet == "" || m.Fleet == k.fleet) {
			was := k.placement
			k.placement = m
			k.free(was)
			k.follow(now)
		}
		return
	}
	var a token.Announcement
	if strings.HasPrefix(n.Rumour.Key, "writer/") && len(k.orphans) > 0 && json.Unmarshal(n.Rumour.Value, &a) == nil {
		for _, claimed := range a.Slots {
			k.settleOrphans(claimed.Slot, claimed.Epoch)
		}
	}
}

func (k *Store) settleOrphans(slot int, epoch uint64) {
	kept := k.orphans[:0]
	for _, o := range k.orphans {
		if o.slot == slot && epoch > o.epoch {
			for _, position := range o.positions {
				k.stairs.Finish(position)
			}
			k.dirty = true
			continue
		}
		kept = append(kept, o)
	}
	k.orphans = kept
}

// free gives up the leases granted to lives that have ended: a store that has started
// again is another life, and the one before starts nothing more (DESIGN §4.4).
func (k *Store) free(was state.Map) {
	for slot, pairing := range was.Slots {
		group := k.groups.Group(Unit(slot))
		if pairing.Epoch == group.Epoch && pairing.Primary.ID != k.self.ID && k.placement.Stores[pairing.Primary.ID].Life > pairing.Primary.Life {
			k.groups.Void(group.Unit)
		}
	}
}

// follow works out the difference between the map and what this keeper does.
func (k *Store) follow(now clock.Micros) {
	me := replication.Member{ID: k.self.ID, Life: k.self.Life}
	for slot, pairing := range k.placement.Slots {
		unit := Unit(slot)
		group := k.groups.Group(unit)
		switch {
		case pairing.Epoch < group.Epoch || pairing.Zero():
		case pairing.Epoch == group.Epoch:
			if pairing.Primary == me && pairing.Complete && k.groups.Complete(unit, pairing.Epoch, now) {
				k.serve(unit, now)
			}
			if pairing.Complete && !pairing.Holds(k.self.ID) && group.Seq > 0 {
				k.groups.Drop(unit, pairing.Epoch, now)
			}
		case pairing.Primary == me:
			k.Takeovers++
			k.Emit(machine.Explain{What: "owning a slot", Fields: map[string]any{"slot": slot, "epoch": pairing.Epoch, "replicas": pairing.IDs()[1:], "from_role": group.Role.String()}})
			k.groups.Own(unit, pairing.Epoch, k.peers(pairing.Replicas), now)
			k.dirty = true
		case pairing.Replicates(me):
			k.groups.Back(unit, pairing.Epoch, k.placement.Stores[pairing.Primary.ID].Peer, now)
			k.dirty = true
		case pairing.Holds(k.self.ID):
			k.groups.Release(unit, pairing.Epoch, now)
		case pairing.Complete:
			k.groups.Drop(unit, pairing.Epoch, now)
		default:
			k.groups.Release(unit, pairing.Epoch, now)
		}
	}
}

// peers are the addresses of members of a group.
func (k *Store) peers(members []replication.Member) []string {
	var out []string
	for _, member := range members {
		out = append(out, k.placement.Stores[member.ID].Peer)
	}
	return out
}

// serve begins to confirm, list and start work under a complete pair.
func (k *Store) serve(unit string, now clock.Micros) {
	p := k.place(unit)
	k.stairs.Raise(p.state.Top())
	k.reserve()
	k.settleOrphans(p.slot, k.groups.Group(unit).Epoch)
	k.dirty = true
	for _, id := range sortedBundles(p.state) {
		k.start(unit, id)
	}
	k.Emit(machine.Explain{What: "serving a slot", Fields: map[string]any{"slot": p.slot, "epoch": k.groups.Group(unit).Epoch, "first_position": k.stairs.Next()}})
	k.flush(now)
}

func sortedBundles(s *shard.Slot) []string { return sortedKeys(s.Bundles) }

// sortedKeys gives a map an order, so that the same inputs have the same
// effects in the same order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Ran is the path's word that an item has its result.
type Ran struct {
	Slot   int
	Bundle string
	Item   int
	Status string
	Output string
	Server string
}

// Apply gives the result its position and lists it.
func (r Ran) Apply(k *Store, now clock.Micros) {
	k.held = append(k.held, finished{slot: r.Slot, row: shard.Row{Bundle: r.Bundle, Item: r.Item, Status: r.Status, Output: r.Output, Server: r.Server}})
	k.flush(now)
}

// flush lists held results as far as pairs serve and positions are reserved.
func (k *Store) flush(now clock.Micros) {
	if len(k.held) == 0 {
		return
	}
	held := k.held
	k.held = nil
	for _, f := range held {
		unit := Unit(f.slot)
		group := k.groups.Group(unit)
		bundle := k.place(unit).state.Bundles[f.row.Bundle]
		if !group.Leads() || bundle == nil || bundle.State != shard.Open || f.row.Item < 0 || f.row.Item >= len(bundle.Items) || bundle.Listed(f.row.Item) {
			continue // another keeper runs it, or it needs no row any more
		}
		if group.Role != replication.Serving {
			k.held = append(k.held, f)
			continue
		}
		position, ok := k.stairs.Give()
		if !ok {
			k.reserve()
			k.held = append(k.held, f)
			continue
		}
		row := f.row
		row.Writer, row.Position, row.ItemID = k.writer, position, bundle.Items[row.Item].ID
		seq := k.put(unit, shard.List{Row: row}, now)
		if k.EarlyAnnounce {
			k.stairs.Finish(position)
			k.dirty = true
		} else {
			if k.given[unit] == nil {
				k.given[unit] = map[uint64]int64{}
			}
			k.given[unit][seq] = position
		}
		k.Listed++
	}
	k.reserve()
}

// put applies an entry and appends it; the caller has seen the pair serve.
func (k *Store) put(unit string, entry shard.Entry, now clock.Micros) uint64 {
	data := shard.Encode(entry)
	entry.Apply(k.place(unit).state)
	seq, _ := k.groups.Append(unit, data, now)
	return seq
}

func (k *Store) await(unit string, seq, call uint64, expiry clock.Micros, answer any) {
	if k.waits[unit] == nil {
		k.waits[unit] = map[uint64][]waiting{}
	}
	k.waits[unit][seq] = append(k.waits[unit][seq], waiting{call: call, expiry: expiry, answer: answer})
}

// ClockEvent lets the keeper do what is due.
type ClockEvent struct{}

// Apply does what is due.
func (ClockEvent) Apply(k *Store, now clock.Micros) {
	k.groups.ClockEvent(now)
	for _, unit := range sortedKeys(k.waits) {
		bySeq := k.waits[unit]
		for _, seq := range sortedKeys(bySeq) {
			waiters := bySeq[seq]
			kept := waiters[:0]
			for _, w := range waiters {
				if now >= w.expiry {
					k.unknown(w.call, "no second disk confirmed it in time")
				} else {
					kept = append(kept, w)
				}
			}
			if len(kept) == 0 {
				delete(k.waits[unit], seq)
			} else {
				bySeq[seq] = kept
			}
		}
	}
	if now >= k.next.beat {
		k.beat(now)
	}
	if k.dirty && now >= k.next.announce && k.writer > 0 {
		k.next.announce = now + k.set.AnnounceEvery
		k.announce()
	}
	if now >= k.next.resume {
		k.next.resume = now + 2*clock.Second
		k.resume()
		k.settleDown()
	}
	if now >= k.next.forget {
		k.next.forget = now + 60*clock.Second
		k.forget(now)
	}
}

func (k *Store) beat(now clock.Micros) {
	k.next.beat = now + k.set.BeatEvery
	ready, silent := map[int]uint64{}, map[int]SilentReplicas{}
	for _, group := range k.groups.All() {
		if peers := group.Silent(now); len(peers) > 0 {
			silent[slotOf(group.Unit)] = SilentReplicas{Epoch: group.Epoch, Peers: peers}
		}
		if group.Role == replication.Copied {
			ready[slotOf(group.Unit)] = group.Epoch
		}
	}
	var busy []int
	for _, group := range k.groups.All() {
		if group.Leads() && k.place(group.Unit).state.Open() {
			busy = append(busy, slotOf(group.Unit))
		}
	}
	for _, peer := range k.cairns {
		k.Emit(machine.Send{To: peer, Body: Beat{Busy: busy, Fleet: k.fleet, ID: k.self.ID, Name: k.self.Name, Zone: k.self.Zone, Peer: k.self.Peer, Life: k.self.Life, Ready: ready, Silent: silent, Draining: k.drain, Stalled: k.Stalled(now)}})
	}
}

// resume hands open items to the path again: it passes over those it has, and
// takes up those it dropped while a lease was not fresh or its backlog full.
func (k *Store) resume() {
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving || group.Open() > 0 {
			continue
		}
		for _, id := range sortedBundles(k.place(group.Unit).state) {
			k.start(group.Unit, id)
		}
	}
}

// AtRisk counts what puts promises at risk here: owned slots without their
// second copy, and how long the oldest result has waited to be announced.
func (k *Store) AtRisk(now clock.Micros) (copies int64, oldest clock.Micros) {
	for _, group := range k.groups.All() {
		if group.Leads() && group.Role != replication.Serving {
			copies++
		}
		oldest = max(oldest, group.Oldest(now))
	}
	return copies, oldest
}

// announce tells the readers this writer's persisted-up-to position.
func (k *Store) announce() {
	k.dirty = false
	a := token.Announcement{Writer: k.writer, Store: k.self.ID, Peer: k.self.Peer, UpTo: k.stairs.UpTo()}
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving {
			continue
		}
		p := k.place(group.Unit)
		claimed := token.Claimed{Slot: p.slot, Epoch: group.Epoch, Last: map[int]int64{}, Tenures: append([]shard.Tenure(nil), p.state.Tenures...)}
		for writer, last := range p.state.Last {
			if writer != k.writer {
				claimed.Last[writer] = last
			}
		}
		a.Slots = append(a.Slots, claimed)
	}
	k.seq++
	value, _ := json.Marshal(a)
	k.Emit(machine.Publish{Update: machine.Update{Key: token.Key(k.writer), Epoch: k.self.Life, Seq: k.seq, Value: value}})
}

// forget drops finished bundles and claims past their keeping.
func (k *Store) forget(now clock.Micros) {
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving {
			continue
		}
		var old shard.Forget
		state := k.place(group.Unit).state
		for _, id := range sortedBundles(state) {
			if b := state.Bundles[id]; b.State != shard.Open && now-b.Enrolled > k.set.KeepDone {
				old.Bundles = append(old.Bundles, id)
			}
		}
		for id, claim := range state.Claims {
			if now-claim.At > k.set.KeepDone {
				old.Claims = append(old.Claims, id)
			}
		}
		if len(old.Bundles)+len(old.Claims) > 0 {
			sort.Strings(old.Claims)
			k.put(group.Unit, old, now)
		}
	}
	k.sweep(nil)
}

// Owned is how many slots this keeper owns in any role of an owner.
func (k *Store) Owned() int {
	count := 0
	for _, group := range k.groups.All() {
		if group.Leads() {
			count++
		}
	}
	return count
}

// Drain lets the store say that it is about to go.
type Drain struct{}

// Apply notes it; the next beat tells the cores.
func (Drain) Apply(k *Store, now clock.Micros) {
	k.drain = true
	k.beat(now)
}
