package replication

import (
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
)

// Role is what this end does in the current epoch.
type Role int

// The roles. Cold holds data of an earlier life or epoch and does nothing;
// Copying owns and fills its backup; Copied waits for the granter's word that
// the pair is complete; Serving confirms; Filling and Backing are the backup's.
const (
	Cold Role = iota
	Copying
	Copied
	Serving
	Filling
	Backing
)

var roleNames = map[Role]string{Cold: "cold", Copying: "copying", Copied: "copied", Serving: "serving", Filling: "filling", Backing: "backing"}

// String names the role.
func (r Role) String() string { return roleNames[r] }

// Messages between the two ends of a unit.
type (
	// Copy is one piece of the owner's whole state of a unit at the start of an
	// epoch; a few pieces are under way at a time.
	Copy struct {
		Unit      string
		Epoch     uint64
		Seq       uint64
		At, Count int
		Parts     [][]byte
	}
	// Took acknowledges a piece; it is not on disk before Ack says Copied.
	Took struct {
		Unit  string
		Epoch uint64
		At    int
	}
	// Append is one entry.
	Append struct {
		Unit  string
		Epoch uint64
		Seq   uint64
		Entry []byte
	}
	// Ack says up to which entry the backup has synced; Copied that the copy is.
	Ack struct {
		Unit   string
		Epoch  uint64
		Seq    uint64
		Copied bool
	}
	// Fenced tells a deposed owner of the higher epoch.
	Fenced struct {
		Unit  string
		Epoch uint64
	}
	// Beat asks the backup for leases on the units it backs for this owner; Leased
	// grants them from the time of asking.
	Beat struct {
		Units []Tenancy
		Stamp clock.Micros
	}
	Leased struct {
		Units []Tenancy
		Stamp clock.Micros
	}
	// Tenancy is a unit under an epoch.
	Tenancy struct {
		Unit  string
		Epoch uint64
	}
	// Yield gives a lease back: the owner of that epoch starts nothing more.
	Yield struct {
		Unit  string
		Epoch uint64
	}
)

func init() {
	transport.Register(Copy{}, Took{}, Append{}, Ack{}, Fenced{}, Beat{}, Leased{}, Yield{})
}

// Spans of the pair; the backup's wait is longer than the owner's lease by a
// margin for clocks that run unevenly.
const (
	Lease       = 1000 * clock.Millisecond
	LeaseWait   = Lease + 200*clock.Millisecond
	BeatEvery   = 250 * clock.Millisecond
	ResendAt    = 400 * clock.Millisecond
	lonelyAfter = 800 * clock.Millisecond
	resendCap   = 64
	earlyCap    = 256
	pieceSize   = 256 << 10
	pieceRun    = 4  // pieces under way at a time
	copyBudget  = 16 // of all copies of a daemon
)

// Kinds of record on disk.
const (
	KindCopy  = "copy"
	KindEntry = "entry"
	KindDrop  = "drop"
)

// Holder is the state a unit replicates, and what to do when entries confirm.
type Holder interface {
	// View is the whole state in parts; Restore starts from parts.
	View(unit string) [][]byte
	// Brief is the same for this daemon's own disk: it may refer to what is
	// shelved there already.
	Brief(unit string) [][]byte
	Restore(unit string, parts [][]byte)
	// Play applies an entry on the backup or when read back.
	Play(unit string, entry []byte)
	// Confirmed tells the owner that an entry is on two disks.
	Confirmed(unit string, seq uint64, now clock.Micros)
	// Ready tells that copy and local sync are done; the granter has to be told.
	Ready(unit string, epoch uint64, now clock.Micros)
	// Deposed tells the owner of an epoch that it no longer is.
	Deposed(unit string, epoch uint64, now clock.Micros)
}

type entry struct {
	seq    uint64
	body   []byte
	local  bool
	sentAt clock.Micros
	at     clock.Micros // when it was given
}

// Group is one end of one unit.
type Group struct {
	Unit       string
	Epoch      uint64
	Role       Role
	Seq        uint64 // last entry given (owner) or taken (backup)
	Durable    uint64 // last entry on this disk, in a row
	remote     uint64 // last entry on the backup's disk
	confirmed  uint64
	peer       string // the other end's address
	open       []entry
	copySeq    uint64
	pieces     [][][]byte     // owner: the copy, piece by piece
	pieceSent  []clock.Micros // owner: when a piece was last sent
	pieceTook  []bool
	gathered   map[int][][]byte // backup: pieces of the epoch's copy
	copyEpoch  uint64           // backup: epoch of the copy being gathered or written
	copyLocal  bool
	copyRemote bool
	copyAt     clock.Micros
	copyFirst  clock.Micros // when the copy was first sent
	servedAt   clock.Micros
	copyWait   clock.Micros // the granted lease of the former owner ends
	leaseUntil clock.Micros // owner: may start work until
	granted    clock.Micros // backup: must not own before
	grantedAt  uint64       // backup: epoch of the lease it granted
	beatAt     clock.Micros
	early      map[uint64]Append // backup: entries that came before their turn
	ackedAt    clock.Micros
}

// Peer is the other end's address; Open is how many entries wait.
func (r *Group) Peer() string { return r.peer }

// Open is how many entries are not confirmed yet.
func (r *Group) Open() int { return len(r.open) }

// LeaseUntil is when the owner's lease ends; zero for others.
func (r *Group) LeaseUntil() clock.Micros {
	if r.Role != Serving {
		return 0
	}
	return r.leaseUntil
}

// Oldest is how long the oldest entry that is not confirmed has waited.
func (r *Group) Oldest(now clock.Micros) clock.Micros {
	if len(r.open) == 0 {
		return 0
	}
	return now - r.open[0].at
}

// Lonely tells whether an owner's backup has not answered for a while: neither
// with a lease nor with the copy.
func (r *Group) Lonely(now clock.Micros) bool {
	switch r.Role {
	case Serving:
		return now > r.leaseUntil+lonelyAfter && now-r.servedAt > lonelyAfter
	case Copying:
		return r.copyLocal && !r.copyRemote && r.copyFirst > 0 && now-r.copyFirst > 2*lonelyAfter
	}
	return false
}

// Owns tells whether this end is the owner in its epoch.
func (r *Group) Owns() bool { return r.Role == Copying || r.Role == Copied || r.Role == Serving }

// Groups is all the groups of a daemon, on one disk and one set of messages.
type Groups struct {
	out    *machine.Out
	holder Holder
	groups map[string]*Group
	tokens map[uint64]func(now clock.Micros)
	token  uint64
	// SkipFence is a fault planted by tests: old epochs are not refused.
	SkipFence bool
	// SkipRemote is a fault planted by tests: one disk is taken for two.
	SkipRemote bool
}

// NewGroups makes a groups whose effects go to out.
func NewGroups(out *machine.Out, holder Holder) *Groups {
	return &Groups{out: out, holder: holder, groups: map[string]*Group{}, tokens: map[uint64]func(clock.Micros){}}
}

// Group is the end of a unit; made cold when new.
func (g *Groups) Group(unit string) *Group {
	r := g.groups[unit]
	if r == nil {
		r = &Group{Unit: unit}
		g.groups[unit] = r
	}
	return r
}

// All lists the units in order.
func (g *Groups) All() []*Group {
	out := make([]*Group, 0, len(g.groups))
	for _, r := range g.groups {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Unit < out[j].Unit })
	return out
}

// Store writes records and runs done once they are synced.
func (g *Groups) Store(records []machine.Record, done func(now clock.Micros)) {
	g.token++
	if done != nil {
		g.tokens[g.token] = done
	}
	g.out.Emit(machine.Store{Token: g.token, Records: records})
}

// Await gives a token whose store runs done.
func (g *Groups) Await(done func(now clock.Micros)) uint64 {
	g.token++
	g.tokens[g.token] = done
	return g.token
}

// Stored is the disk's word that a store is synced.
func (g *Groups) Stored(token uint64, now clock.Micros) {
	if done := g.tokens[token]; done != nil {
		delete(g.tokens, token)
		done(now)
	}
}

// Recover plays one record read back from disk. The unit stays cold: only a new
// epoch gives it a role again.
func (g *Groups) Recover(record machine.Record) {
	r := g.Group(record.Unit)
	switch record.Kind {
	case KindCopy:
		g.holder.Restore(record.Unit, decodeParts(record.Body))
		r.Epoch, r.Seq = record.Epoch, record.Seq
	case KindEntry:
		if record.Epoch == r.Epoch && record.Seq == r.Seq+1 {
			r.Seq = record.Seq
			g.holder.Play(record.Unit, record.Body)
		}
	case KindDrop:
		g.holder.Restore(record.Unit, nil)
		r.Epoch, r.Seq = record.Epoch, 0
	}
	r.Durable = r.Seq
}

// Records is the groups's state as records that say the same as all so far.
func (g *Groups) Records() []machine.Record {
	var out []machine.Record
	for _, r := range g.All() {
		if r.Epoch > 0 {
			out = append(out, machine.Record{Unit: r.Unit, Kind: KindCopy, Epoch: r.Epoch, Seq: r.Seq, Body: encodeParts(g.holder.Brief(r.Unit))})
		}
	}
	return out
}

// Own makes this end the owner under a new epoch, with the backup at an
// address. What it holds is written whole and copied; nothing is confirmed
// until both are synced and the granter knows.
func (g *Groups) Own(unit string, epoch uint64, backup string, now clock.Micros) {
	r := g.Group(unit)
	wait := clock.Micros(0)
	if r.Role == Backing || r.Role == Filling {
		wait = r.granted
	}
	r.Epoch, r.Role, r.peer = epoch, Copying, backup
	r.leaseUntil, r.copyWait = 0, wait
	r.copyLocal, r.copyRemote, r.copyAt, r.copyFirst = false, false, 0, 0
	r.copySeq = r.Seq
	for i := range r.open {
		r.open[i].local = true // the copy below carries them
	}
	copySeq := r.Seq
	parts := g.holder.View(unit)
	r.cut(parts)
	g.Store([]machine.Record{{Unit: unit, Kind: KindCopy, Epoch: epoch, Seq: copySeq, Body: encodeParts(g.holder.Brief(unit))}}, func(now clock.Micros) {
		if r.Epoch == epoch && r.Owns() {
			r.copyLocal = true
			r.Durable = max(r.Durable, copySeq)
			g.copied(r, now)
		}
	})
	g.tryCopy(r, now)
}

// Void ends the lease that this backup granted: the life it was granted to is over.
func (g *Groups) Void(unit string) { g.Group(unit).granted = 0 }

// Back makes this end the backup under a new epoch; the owner's copy fills it.
func (g *Groups) Back(unit string, epoch uint64, owner string, now clock.Micros) {
	r := g.Group(unit)
	was, old := r.Owns(), r.Epoch
	g.yield(r)
	r.Epoch, r.Role, r.peer = epoch, Filling, owner
	r.open, r.early, r.leaseUntil = nil, nil, 0
	if was {
		g.holder.Deposed(unit, old, now)
	}
}

// Release ends any role under a higher epoch; what is held stays on disk until
// Drop.
func (g *Groups) Release(unit string, epoch uint64, now clock.Micros) {
	r := g.Group(unit)
	was, old := r.Owns(), r.Epoch
	g.yield(r)
	r.Epoch, r.Role, r.open, r.leaseUntil = max(r.Epoch, epoch), Cold, nil, 0
	if was {
		g.holder.Deposed(unit, old, now)
	}
}

// yield tells the backup that the lease it granted is given back.
func (g *Groups) yield(r *Group) {
	if r.Role == Serving && r.peer != "" {
		g.out.Emit(machine.Send{To: r.peer, Body: Yield{Unit: r.Unit, Epoch: r.Epoch}})
	}
}

// Drop forgets a unit that a complete pair elsewhere holds.
func (g *Groups) Drop(unit string, epoch uint64, now clock.Micros) {
	g.Release(unit, epoch, now)
	r := g.Group(unit)
	r.Seq, r.Durable = 0, 0
	g.holder.Restore(unit, nil)
	g.Store([]machine.Record{{Unit: unit, Kind: KindDrop, Epoch: epoch}}, nil)
}

// Complete is the granter's word that the pair of this epoch is written down.
func (g *Groups) Complete(unit string, epoch uint64, now clock.Micros) bool {
	r := g.Group(unit)
	if r.Epoch != epoch || r.Role != Copied {
		return false
	}
	r.Role, r.servedAt = Serving, now
	g.beat(r.peer, []*Group{r}, now)
	g.settle(r, now)
	return true
}

// Append gives an entry its number, writes it here and sends it to the backup.
// The caller has applied it. It returns false when this end does not serve.
func (g *Groups) Append(unit string, body []byte, now clock.Micros) (uint64, bool) {
	r := g.Group(unit)
	if r.Role != Serving {
		return 0, false
	}
	r.Seq++
	seq, epoch := r.Seq, r.Epoch
	r.open = append(r.open, entry{seq: seq, body: body, sentAt: now, at: now})
	g.Store([]machine.Record{{Unit: unit, Kind: KindEntry, Epoch: epoch, Seq: seq, Body: body}}, func(now clock.Micros) {
		if r.Epoch != epoch {
			return
		}
		r.Durable = max(r.Durable, seq)
		for i := range r.open {
			if r.open[i].seq == seq {
				r.open[i].local = true
			}
		}
		g.settle(r, now)
	})
	if !g.SkipRemote {
		g.out.Emit(machine.Send{To: r.peer, Body: Append{Unit: unit, Epoch: epoch, Seq: seq, Entry: body}})
	}
	return seq, true
}

// settle confirms, in order, what both disks hold.
func (g *Groups) settle(r *Group, now clock.Micros) {
	for len(r.open) > 0 && r.Role == Serving {
		first := r.open[0]
		if !first.local || (first.seq > r.remote && !g.SkipRemote) {
			return
		}
		r.open = r.open[1:]
		r.confirmed = first.seq
		g.holder.Confirmed(r.Unit, first.seq, now)
	}
}

// cut divides a copy into pieces of a bounded size.
func (r *Group) cut(parts [][]byte) {
	r.pieces = nil
	var piece [][]byte
	size := 0
	for _, part := range parts {
		if size > 0 && size+len(part) > pieceSize {
			r.pieces, piece, size = append(r.pieces, piece), nil, 0
		}
		piece, size = append(piece, part), size+len(part)
	}
	r.pieces = append(r.pieces, piece)
	r.pieceSent, r.pieceTook = make([]clock.Micros, len(r.pieces)), make([]bool, len(r.pieces))
}

// tryCopy keeps a few pieces under way, and sends again what was not taken.
func (g *Groups) tryCopy(r *Group, now clock.Micros) {
	if r.Role != Copying || r.copyRemote || now < r.copyWait {
		return
	}
	if r.copyFirst == 0 {
		r.copyFirst = now
	}
	running, whole := 0, true
	budget := copyBudget - g.underWay(now)
	for at := range r.pieces {
		if r.pieceTook[at] {
			continue
		}
		whole = false
		if running++; running > pieceRun {
			break
		}
		if r.pieceSent[at] == 0 || now-r.pieceSent[at] >= 2*ResendAt {
			if budget <= 0 {
				break // other slots' copies have the line; live entries need it too
			}
			budget--
			r.pieceSent[at] = now
			g.sendPiece(r, at)
		}
	}
	if whole && now-r.copyAt >= 2*ResendAt {
		r.copyAt = now
		g.sendPiece(r, 0) // the word that it is on disk was lost, or is not due yet
	}
}

// underWay counts the pieces of all copies that are on their way.
func (g *Groups) underWay(now clock.Micros) int {
	count := 0
	for _, r := range g.groups {
		if r.Role != Copying {
			continue
		}
		for at, sent := range r.pieceSent {
			if sent > 0 && !r.pieceTook[at] && now-sent < 2*ResendAt {
				count++
			}
		}
	}
	return count
}

func (g *Groups) sendPiece(r *Group, at int) {
	g.out.Emit(machine.Send{To: r.peer, Body: Copy{Unit: r.Unit, Epoch: r.Epoch, Seq: r.copySeq, At: at, Count: len(r.pieces), Parts: r.pieces[at]}})
}

func (g *Groups) copied(r *Group, now clock.Micros) {
	if r.Role == Copying && r.copyLocal && r.copyRemote {
		r.Role, r.pieces = Copied, nil
		g.holder.Ready(r.Unit, r.Epoch, now)
	}
}

// beat asks for leases on some units of one backup.
func (g *Groups) beat(peer string, groups []*Group, now clock.Micros) {
	ask := Beat{Stamp: now}
	for _, r := range groups {
		r.beatAt = now
		ask.Units = append(ask.Units, Tenancy{r.Unit, r.Epoch})
	}
	g.out.Emit(machine.Send{To: peer, Body: ask})
}

// beats renews the leases of every backup that is due, all its units at once.
func (g *Groups) beats(now clock.Micros) {
	due := map[string]bool{}
	byPeer := map[string][]*Group{}
	var peers []string
	for _, r := range g.All() {
		if r.Role != Serving {
			continue
		}
		if byPeer[r.peer] == nil {
			peers = append(peers, r.peer)
		}
		byPeer[r.peer] = append(byPeer[r.peer], r)
		due[r.peer] = due[r.peer] || now-r.beatAt >= BeatEvery
	}
	for _, peer := range peers {
		if due[peer] {
			g.beat(peer, byPeer[peer], now)
		}
	}
}

// ClockEvent renews leases and repeats what was not acknowledged.
func (g *Groups) ClockEvent(now clock.Micros) {
	g.beats(now)
	for _, r := range g.All() {
		switch r.Role {
		case Copying:
			g.tryCopy(r, now)
		case Copied:
			if now-r.copyAt >= ResendAt {
				r.copyAt = now
				g.holder.Ready(r.Unit, r.Epoch, now)
			}
		case Serving:
			for i := range r.open {
				if i >= resendCap {
					break
				}
				if e := &r.open[i]; e.seq > r.remote && !g.SkipRemote && now-e.sentAt >= ResendAt {
					e.sentAt = now
					g.out.Emit(machine.Send{To: r.peer, Body: Append{Unit: r.Unit, Epoch: r.Epoch, Seq: e.seq, Entry: e.body}})
				}
			}
		}
	}
}

// Take handles a message of the pair; false when it is none.
func (g *Groups) Take(from string, body any, now clock.Micros) bool {
	switch m := body.(type) {
	case Copy:
		g.takeCopy(from, m, now)
	case Took:
		if r := g.Group(m.Unit); r.Epoch == m.Epoch && r.Role == Copying && m.At >= 0 && m.At < len(r.pieceTook) && !r.pieceTook[m.At] {
			r.pieceTook[m.At] = true
			r.copyAt, r.copyFirst = now, now // it makes headway
			g.tryCopy(r, now)
			for _, other := range g.All() {
				g.tryCopy(other, now)
			}
		}
	case Append:
		g.takeAppend(from, m, now)
	case Ack:
		r := g.Group(m.Unit)
		if r.Epoch != m.Epoch || !r.Owns() {
			return true
		}
		if m.Copied && r.Role == Copying && !r.copyRemote {
			r.copyRemote = true
			r.remote = r.copySeq
			g.copied(r, now)
		}
		r.remote = max(r.remote, m.Seq)
		r.ackedAt = now
		g.settle(r, now)
	case Fenced:
		if r := g.Group(m.Unit); m.Epoch > r.Epoch && r.Owns() {
			g.Release(m.Unit, r.Epoch, now)
		}
	case Beat:
		granted := Leased{Stamp: m.Stamp}
		for _, asked := range m.Units {
			r := g.Group(asked.Unit)
			if asked.Epoch < r.Epoch && !g.SkipFence {
				g.out.Emit(machine.Send{To: from, Body: Fenced{Unit: asked.Unit, Epoch: r.Epoch}})
			} else if asked.Epoch == r.Epoch && r.Role == Backing {
				r.granted, r.grantedAt = max(r.granted, now+LeaseWait), asked.Epoch
				granted.Units = append(granted.Units, asked)
			}
		}
		if len(granted.Units) > 0 {
			g.out.Emit(machine.Send{To: from, Body: granted})
		}
	case Yield:
		if r := g.Group(m.Unit); m.Epoch >= r.grantedAt {
			r.granted = 0
			if r.Role == Copying && r.copyWait > now && m.Epoch < r.Epoch {
				r.copyWait = 0
				g.tryCopy(r, now)
			}
		}
	case Leased:
		for _, granted := range m.Units {
			if r := g.Group(granted.Unit); r.Epoch == granted.Epoch && r.Role == Serving {
				r.leaseUntil = max(r.leaseUntil, m.Stamp+Lease)
			}
		}
	default:
		return false
	}
	return true
}

func (g *Groups) takeCopy(from string, m Copy, now clock.Micros) {
	r := g.Group(m.Unit)
	switch {
	case m.Epoch < r.Epoch && !g.SkipFence:
		g.out.Emit(machine.Send{To: from, Body: Fenced{Unit: m.Unit, Epoch: r.Epoch}})
		return
	case m.Epoch == r.Epoch && r.Role == Backing:
		g.ack(r, from, true)
		return
	case m.Epoch == r.Epoch && r.Role != Filling:
		return
	case m.Epoch > r.Epoch:
		// The owner's word came before the granter's news.
		g.Back(m.Unit, m.Epoch, from, now)
	}
	if r.copyEpoch != m.Epoch {
		r.copyEpoch, r.gathered = m.Epoch, map[int][][]byte{}
	}
	g.out.Emit(machine.Send{To: from, Body: Took{Unit: m.Unit, Epoch: m.Epoch, At: m.At}})
	if r.gathered == nil {
		return // whole, and being written
	}
	r.gathered[m.At] = m.Parts
	if len(r.gathered) < m.Count {
		return
	}
	var parts [][]byte
	for at := 0; at < m.Count; at++ {
		parts = append(parts, r.gathered[at]...)
	}
	r.gathered = nil
	g.holder.Restore(m.Unit, parts)
	r.Seq, r.Durable, r.peer, r.early = m.Seq, 0, from, nil
	g.Store([]machine.Record{{Unit: m.Unit, Kind: KindCopy, Epoch: m.Epoch, Seq: m.Seq, Body: encodeParts(parts)}}, func(now clock.Micros) {
		if r.Epoch == m.Epoch && r.Role == Filling {
			r.Role = Backing
			r.Durable = m.Seq
			g.ack(r, from, true)
		}
	})
}

func (g *Groups) takeAppend(from string, m Append, now clock.Micros) {
	r := g.Group(m.Unit)
	if m.Epoch < r.Epoch && !g.SkipFence {
		g.out.Emit(machine.Send{To: from, Body: Fenced{Unit: m.Unit, Epoch: r.Epoch}})
		return
	}
	if m.Epoch != r.Epoch || r.Role != Backing {
		return
	}
	if m.Seq <= r.Durable {
		g.ack(r, from, false)
		return
	}
	if m.Seq <= r.Seq {
		return // taken, and not yet synced
	}
	if m.Seq != r.Seq+1 {
		// Out of turn: kept aside for when its turn comes, a bounded number; the
		// owner repeats what is lost.
		if r.early == nil {
			r.early = map[uint64]Append{}
		}
		if len(r.early) < earlyCap {
			r.early[m.Seq] = m
		}
		return
	}
	g.takeInTurn(r, from, m)
	for next, ok := r.early[r.Seq+1]; ok && next.Epoch == r.Epoch; next, ok = r.early[r.Seq+1] {
		delete(r.early, next.Seq)
		g.takeInTurn(r, from, next)
	}
}

func (g *Groups) takeInTurn(r *Group, from string, m Append) {
	r.Seq = m.Seq
	g.holder.Play(m.Unit, m.Entry)
	g.Store([]machine.Record{{Unit: m.Unit, Kind: KindEntry, Epoch: m.Epoch, Seq: m.Seq, Body: m.Entry}}, func(now clock.Micros) {
		if r.Epoch == m.Epoch && r.Role == Backing {
			r.Durable = max(r.Durable, m.Seq)
			g.ack(r, from, false)
		}
	})
}

func (g *Groups) ack(r *Group, to string, copied bool) {
	g.out.Emit(machine.Send{To: to, Body: Ack{Unit: r.Unit, Epoch: r.Epoch, Seq: r.Durable, Copied: copied}})
}
