package store

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/token"
)

// Call is an ask that came in; its answer carries the number.
type Call struct {
	Number uint64
	Body   any
}

// Apply answers the ask by its type.
func (c Call) Apply(k *Store, now clock.Micros) {
	if k.turnedAway(c) {
		return
	}
	switch ask := c.Body.(type) {
	case EnrolAsk:
		k.enrol(c.Number, ask, now)
	case EndAsk:
		k.end(c.Number, ask, now)
	case StatusAsk:
		k.status(c.Number, ask, now)
	case ReadAsk:
		k.Reads++
		k.read(c.Number, ask, now)
	case ItemAsk:
		k.item(c.Number, ask, now)
	case ClaimAsk:
		k.claim(c.Number, ask, now)
	case SettleAsk:
		k.settle(c.Number, ask, now)
	case ShowAsk:
		k.Emit(machine.Answer{Call: c.Number, Body: k.show()})
	default:
		k.Emit(machine.Answer{Call: c.Number, Err: errs.New(errs.BadInput, "run the same release on all daemons", "a store knows no such ask: %T", ask)})
	}
}

func (k *Store) fail(call uint64, err error) { k.Emit(machine.Answer{Call: call, Err: err}) }

// serving turns away what this keeper can't serve; nothing was written by then.
// Without a fresh lease it may have been deposed without knowing: then it would
// deny bundles that its successor has accepted.
func (k *Store) serving(call uint64, slot int, now clock.Micros) (*place, *replication.Group, bool) {
	unit := Unit(slot)
	group := k.groups.Group(unit)
	if group.Role != replication.Serving {
		k.fail(call, errs.Later(errs.NotReady, clock.Second, "ask again: the slot is passing to a keeper with two disks", "store %s does not serve slot %d now (%s)", k.self.ID, slot, group.Role))
		return nil, nil, false
	}
	if now >= group.LeaseUntil() && !k.NoLease {
		k.fail(call, errs.Later(errs.NotReady, clock.Second, "ask again: the slot passes on, or its backup answers again", "store %s has no fresh lease on slot %d", k.self.ID, slot))
		return nil, nil, false
	}
	return k.place(unit), group, true
}

func (k *Store) enrol(call uint64, ask EnrolAsk, now clock.Micros) {
	p, group, ok := k.serving(call, ask.Slot, now)
	if !ok {
		return
	}
	receipt := Receipt{Bundle: ask.Bundle.ID, Items: len(ask.Bundle.Items), Store: k.self.ID}
	if known := p.state.Bundles[ask.Bundle.ID]; known != nil {
		if known.Hash != ask.Bundle.Hash {
			k.fail(call, errs.New(errs.Conflict, "use a new idempotency key for another body", "the key was used for another body (bundle %s)", known.ID))
			return
		}
		receipt.Repeated = true
		// Its entry may still be open: the receipt waits for the last one.
		if group.Open() > 0 {
			k.await(group.Unit, group.Seq, call, now+ask.Expiry, receipt)
		} else {
			k.Emit(machine.Answer{Call: call, Body: receipt})
		}
		return
	}
	if k.drain {
		k.fail(call, errs.Later(errs.NotReady, 2*clock.Second, "ask again: the slot passes on", "store %s is draining", k.self.ID))
		return
	}
	if k.openItems()+len(ask.Bundle.Items) > k.set.MostItems {
		k.fail(call, errs.Later(errs.Busy, 5*clock.Second, "come back after the time given", "store %s has as many waiting items as it may", k.self.ID))
		return
	}
	bundle := ask.Bundle
	bundle.State, bundle.Enrolled, bundle.Rows = shard.Open, now, nil
	seq := k.put(group.Unit, shard.Enrol{Bundle: bundle}, now)
	k.Enrolled++
	if k.news[group.Unit] == nil {
		k.news[group.Unit] = map[uint64]string{}
	}
	k.news[group.Unit][seq] = bundle.ID
	if k.RefuseLate && len(bundle.Items)%2 == 0 {
		k.fail(call, errs.Later(errs.NotReady, clock.Second, "ask again", "turned away too late"))
		return
	}
	k.await(group.Unit, seq, call, now+ask.Expiry, receipt)
}

// Knows tells whether a bundle is in a slot's ledger here, confirmed or not.
func (k *Store) Knows(slot int, bundle string) bool {
	p := k.places[Unit(slot)]
	return p != nil && p.state.Bundles[bundle] != nil
}

func (k *Store) openItems() int {
	count := 0
	for _, group := range k.groups.All() {
		if !group.Leads() {
			continue
		}
		for _, bundle := range k.place(group.Unit).state.Bundles {
			if bundle.State == shard.Open {
				count += len(bundle.Items) - len(bundle.Rows)
			}
		}
	}
	return count
}

// bundle finds a customer's bundle. Anyone finds one that was handed in without a
// key, by its name; a customer's stays its own.
func (k *Store) bundle(call uint64, p *place, id, customer string, anyone bool) (*shard.Bundle, bool) {
	found := p.state.Bundles[id]
	if found == nil || !(anyone && found.Key == "") && found.Customer != customer {
		k.fail(call, errs.New(errs.NotFound, "check the bundle's name and the customer's key", "no bundle %s of this customer", id))
		return nil, false
	}
	return found, true
}

func (k *Store) end(call uint64, ask EndAsk, now clock.Micros) {
	p, group, ok := k.serving(call, ask.Slot, now)
	if !ok {
		return
	}
	bundle, ok := k.bundle(call, p, ask.Bundle, ask.Customer, ask.Anyone)
	if !ok {
		return
	}
	seq := group.Seq
	if bundle.State == shard.Open {
		seq = k.put(group.Unit, shard.End{Bundle: ask.Bundle, At: now}, now)
		k.Emit(machine.Work{Order: Revoke{Bundle: ask.Bundle, Slot: -1}})
	}
	answer := k.statusOf(p, group, bundle)
	if group.Open() > 0 {
		k.await(group.Unit, seq, call, now+ask.Expiry, answer)
		return
	}
	k.Emit(machine.Answer{Call: call, Body: answer})
}

func (k *Store) statusOf(p *place, group *replication.Group, b *shard.Bundle) Status {
	items, rows := b.Counts()
	return Status{Bundle: b.ID, Route: b.Route, State: string(b.State), Items: items, Listed: rows,
		Store: k.self.ID, Writer: k.writer, Slot: p.slot, Epoch: group.Epoch, Replicas: group.Peers(), Enrolled: b.Enrolled, Customer: b.Customer}
}

func (k *Store) status(call uint64, ask StatusAsk, now clock.Micros) {
	p, group, ok := k.serving(call, ask.Slot, now)
	if !ok {
		return
	}
	if known := p.state.Bundles[ask.Bundle]; ask.Operator && known != nil {
		ask.Customer = known.Customer
	}
	if bundle, ok := k.bundle(call, p, ask.Bundle, ask.Customer, ask.Anyone); ok {
		status := k.statusOf(p, group, bundle)
		if ask.Operator {
			for _, row := range k.rows(bundle, func(int) int64 { return 0 }) {
				row.Output = ""
				status.Rows = append(status.Rows, row)
			}
		}
		k.Emit(machine.Answer{Call: call, Body: status})
	}
}

// item answers with the body of an item that may still run; once it is listed, or
// its bundle has ended, the body is let go.
func (k *Store) item(call uint64, ask ItemAsk, now clock.Micros) {
	p, _, ok := k.serving(call, ask.Slot, now)
	if !ok {
		return
	}
	if found := p.state.Bundles[ask.Bundle]; found != nil {
		if item, waits := found.Waiting(ask.Item); waits && item.Request != nil {
			k.Emit(machine.Answer{Call: call, Body: ItemAnswer{Body: item.Request.Body}})
			return
		}
	}
	k.fail(call, errs.New(errs.NotFound, "nothing to do: it has its result, its bundle has ended, or there never was such an item", "no item %s of bundle %s waits", ask.Item, ask.Bundle))
}

// read answers "all rows after the token", within the reader's bounds. The
// slots' epochs have to be the reader's: a deposed keeper would leave rows out.
func (k *Store) read(call uint64, ask ReadAsk, now clock.Micros) {
	var out Rows
	upTo := k.positions.UpTo()
	slots := make([]int, 0, len(ask.Slots))
	for slot := range ask.Slots {
		slots = append(slots, slot)
	}
	sort.Ints(slots)
	for _, slot := range slots {
		p, group, ok := k.serving(call, slot, now)
		if !ok {
			return
		}
		if group.Epoch != ask.Slots[slot] {
			k.fail(call, errs.Later(errs.NotReady, 200*clock.Millisecond, "ask again: the reader hears of the new epoch soon", "slot %d is at epoch %d, not %d", slot, group.Epoch, ask.Slots[slot]))
			return
		}
		if ask.Bundle != "" {
			bundle, ok := k.bundle(call, p, ask.Bundle, ask.Customer, ask.Anyone)
			if !ok {
				return
			}
			if ask.Indexed {
				k.list(bundle, ask, slot, upTo, &out)
			} else {
				k.collect(bundle, ask, slot, upTo, &out)
			}
			out.State = string(bundle.State)
			out.Items, _ = bundle.Counts()
			if k.hidden(bundle, ask, slot, upTo) {
				out.State = string(shard.Open) // not whole to this reader yet
			}
			continue
		}
		for _, id := range sortedBundles(p.state) {
			if bundle := p.state.Bundles[id]; bundle.Customer == ask.Customer {
				k.collect(bundle, ask, slot, upTo, &out)
			}
		}
	}
	if !ask.Indexed { // a list read by index is in its own order, and cut already
		sort.SliceStable(out.Rows, func(i, j int) bool { return out.Rows[i].Position < out.Rows[j].Position })
	}
	if !ask.Indexed && ask.Most > 0 && len(out.Rows) > ask.Most {
		out.Rows, out.More = out.Rows[:ask.Most], true
	}
	k.Emit(machine.Answer{Call: call, Body: out})
}

// hidden tells whether the list has rows that the reader may not read yet.
func (k *Store) hidden(bundle *shard.Bundle, ask ReadAsk, slot int, upTo int64) bool {
	if bundle.Shelved != nil {
		for writer, last := range bundle.Shelved.Last {
			if last > ask.Bound[slot][writer] {
				return true
			}
		}
		return false
	}
	for _, row := range bundle.Rows {
		if !k.readable(row, ask.Bound[slot], upTo) {
			return true
		}
	}
	return false
}

// readable tells whether the reader may have a row: it never reads past the last
// position it has seen of a writer.
func (k *Store) readable(row shard.Row, bound token.Vector, upTo int64) bool {
	return row.Position <= bound[row.Writer] && (row.Writer != k.writer || row.Position <= upTo)
}

// list reads a bundle's list from an index on: an index stays the same row's for
// good, so it stops at the first row that the reader may not have yet (DESIGN §12.5).
func (k *Store) list(bundle *shard.Bundle, ask ReadAsk, slot int, upTo int64, out *Rows) {
	from := max(0, ask.From)
	out.Index = from
	if _, count := bundle.Counts(); from >= count {
		return
	}
	rows := bundle.Rows
	if bundle.Shelved != nil {
		rows = k.whole(bundle).Rows
	}
	size := 0
	for i, row := range rows {
		if !k.readable(row, ask.Bound[slot], upTo) {
			return
		}
		if i < from {
			continue
		}
		size += len(row.Output)
		if n := len(out.Rows); ask.Most > 0 && n >= ask.Most || ask.MostBytes > 0 && n > 0 && size > ask.MostBytes {
			out.More = true
			return
		}
		out.Rows = append(out.Rows, row)
	}
}

func (k *Store) collect(bundle *shard.Bundle, ask ReadAsk, slot int, upTo int64, out *Rows) {
	bound := ask.Bound[slot]
	for _, row := range k.rows(bundle, func(writer int) int64 { return ask.After[writer] }) {
		if row.Position > ask.After[row.Writer] && k.readable(row, bound, upTo) {
			out.Rows = append(out.Rows, row)
		}
	}
}

func (k *Store) claim(call uint64, ask ClaimAsk, now clock.Micros) {
	p, group, ok := k.serving(call, ask.Slot, now)
	if !ok {
		return
	}
	id := shard.ClaimID(ask.Claim.Customer, ask.Claim.Key)
	if known := p.state.Claims[id]; known != nil && known.State != shard.Void {
		if known.Hash != ask.Claim.Hash {
			k.fail(call, errs.New(errs.Conflict, "use a new idempotency key for another body", "the key was used for another body"))
			return
		}
		answer := ClaimAnswer{Yours: known.Order == ask.Claim.Order, Claim: *known}
		if group.Open() > 0 {
			k.await(group.Unit, group.Seq, call, now+ask.Expiry, answer)
		} else {
			k.Emit(machine.Answer{Call: call, Body: answer})
		}
		return
	}
	claim := ask.Claim
	claim.State, claim.At = shard.Claimed, now
	seq := k.put(group.Unit, shard.Claiming{Claim: claim}, now)
	k.await(group.Unit, seq, call, now+ask.Expiry, ClaimAnswer{Yours: true, Claim: claim})
}

func (k *Store) settle(call uint64, ask SettleAsk, now clock.Micros) {
	_, group, ok := k.serving(call, ask.Slot, now)
	if !ok {
		return
	}
	seq := k.put(group.Unit, shard.Settling{ID: ask.ID, State: ask.State, Answer: ask.Answer}, now)
	k.await(group.Unit, seq, call, now+ask.Expiry, Settled{})
}

func (k *Store) show() Shown {
	shown := Shown{Store: k.self.ID, Zone: k.self.Zone, Writer: k.writer, Life: k.self.Life,
		UpTo: k.positions.UpTo(), Next: k.positions.Next(), Unfinished: k.positions.Open()}
	for _, group := range k.groups.All() {
		shown.Slots = append(shown.Slots, SlotShown{Slot: slotOf(group.Unit), Role: group.Role.String(), Epoch: group.Epoch, Seq: group.Seq, Open: group.Open(), Bundles: len(k.place(group.Unit).state.Bundles), Peer: group.Peer()})
	}
	return shown
}
