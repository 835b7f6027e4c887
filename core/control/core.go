// Package control is the machine of a core daemon (DESIGN §5). An odd number
// of cores, three as a rule: one primary, one backup, and each a witness that keeps
// only epochs. The state is
// held by one fenced pair, the same as a ledger's; what differs is the granter:
// here most of the witnesses.
package control

import (
	"encoding/json"
	"sort"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/store"
)

// Settings of a core; the defaults are ours.
type Settings struct {
	Slots        int
	Founders     int // cores that found a fleet: an odd number
	GreetEvery   clock.Micros
	CoreSilent   clock.Micros // after which a core counts as gone
	ReplaceAfter clock.Micros // after which its seat is given to another
	ReplaceSoon  clock.Micros // the same where an empty core is heard; 0: no sooner
	StoreSilent  clock.Micros // after which a store counts as gone
	Settle       clock.Micros // a new primary listens this long before it judges
	BalanceEvery clock.Micros // between two moves towards even shares
	BalanceAfter clock.Micros // a store lives this long before slots move to it
	ApartFor     clock.Micros // two stores out of reach are not paired again before
	FoldAfter    int
	Staleness    clock.Micros // news older than this: the roll is not changed
	StrikeAfter  clock.Micros // silence after which a store no longer counts
	LostAfter    clock.Micros // after which a core takes those of the roll it does not hear for lost
	CheckPlan    func(body []byte) error
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{Slots: 24, Founders: 3, GreetEvery: 250 * clock.Millisecond, CoreSilent: 1500 * clock.Millisecond,
		ReplaceAfter: 4 * clock.Second, ReplaceSoon: 4 * clock.Second, StoreSilent: 2 * clock.Second, Settle: 1500 * clock.Millisecond,
		BalanceEvery: 500 * clock.Millisecond, BalanceAfter: 4 * clock.Second, ApartFor: 30 * clock.Second, FoldAfter: 500,
		Staleness: 2500 * clock.Millisecond, StrikeAfter: 10 * clock.Second, LostAfter: 20 * clock.Second}
}

const (
	unitCore   = "core"
	unitVote   = "oath" // as the release before wrote it
	kindVote   = "oath"
	claimTries = 900 * clock.Millisecond
)

type heardCore struct {
	heartbeat Heartbeat
	at        clock.Micros
}

type heardStore struct {
	beat  store.Beat
	at    clock.Micros
	first clock.Micros
}

type claiming struct {
	claim  VoteRequest
	yes    map[string]Vote
	at     clock.Micros
	sworn  bool // our own grant is on disk
	found  bool
	failed bool
}

type change struct {
	entry state.Entry
	put   *plannedPut
	leave *plannedRetire
	call  uint64
	body  func() any
	until clock.Micros
}

type sealing struct {
	pairing replication.Assignment
	cores   []CoreRef
	yes     map[string]bool
	at      clock.Micros
}

// Core is the machine.
type Core struct {
	machine.Out
	set       Settings
	self      CoreRef
	life      uint64
	seeds     []string
	groups    *replication.Groups
	state     *state.State
	vote      Vote
	cores     map[string]heardCore
	stores    map[string]heardStore
	suspects  map[string]bool
	apart     map[[2]string]clock.Micros // stores out of reach of each other, until
	claim     *claiming
	seal      *sealing
	queue     []change
	flight    *change
	unwell    clock.Micros // since when a new pairing is wanted
	serving   clock.Micros // since when this core serves
	published struct{ plan, seq, epoch uint64 }
	writes    int
	next      struct{ greet, judge, balance clock.Micros }
	// Counters for the operators.
	Claims, Takeovers, Changes int64
	BadRecord                  error
	listed                     map[string]machine.Update // the platform's words on servers
	retold                     bool
	fresh                      clock.Micros // up to when its news include what most of the roll knew
}

// New makes a core from what was read back from its disk.
func New(self CoreRef, life uint64, seeds []string, set Settings, records []machine.Record) *Core {
	s := &Core{set: set, self: self, life: life, seeds: seeds, state: state.New(),
		cores: map[string]heardCore{}, stores: map[string]heardStore{}, suspects: map[string]bool{}, apart: map[[2]string]clock.Micros{}, listed: map[string]machine.Update{}}
	s.groups = replication.NewGroups(&s.Out, s)
	for _, record := range records {
		if record.Unit == unitVote {
			if err := json.Unmarshal(record.Body, &s.vote); err != nil {
				s.BadRecord = err
			}
			continue
		}
		if record.Unit == unitListed {
			s.relist(record)
			continue
		}
		s.groups.Recover(record)
	}
	return s
}

// Command is an input of a core.
type Command = machine.Command[*Core]

// Do applies a command and hands over the effects.
func (s *Core) Do(command Command, now clock.Micros) []machine.Effect {
	command.Apply(s, now)
	if s.writes >= s.set.FoldAfter {
		s.writes = 0
		s.Emit(machine.Fold{Records: append(append([]machine.Record{s.voteRecord()}, s.listedRecords()...), s.groups.Records()...)})
	}
	out := s.Drain()
	for _, effect := range out {
		if _, ok := effect.(machine.Store); ok {
			s.writes++
		}
	}
	return out
}

func (s *Core) voteRecord() machine.Record {
	body, _ := json.Marshal(s.vote)
	return machine.Record{Unit: unitVote, Kind: kindVote, Epoch: s.vote.Granted, Body: body}
}

func (s *Core) group() *replication.Group { return s.groups.Group(unitCore) }

// Gang is the core's pair, for tests.
func (s *Core) Groups() *replication.Groups { return s.groups }

// Chart is the core's state; a copy must be taken before it is changed.
func (s *Core) State() *state.State { return s.state }

// Vote is what the witness keeps.
func (s *Core) Vote() Vote { return s.vote }

// Serving tells whether this core is the primary and may confirm.
func (s *Core) Serving() bool { return s.group().Role == replication.Serving }

// View, Restore and Play hold the chart for the pair.
func (s *Core) View(string) [][]byte {
	data, _ := json.Marshal(s.state)
	return [][]byte{data}
}

// Brief is the same: a core shelves nothing.
func (s *Core) Brief(unit string) [][]byte { return s.View(unit) }

// Restore replaces the state.
func (s *Core) Restore(_ string, parts [][]byte) {
	fresh := state.New()
	for _, data := range parts {
		if err := json.Unmarshal(data, fresh); err != nil {
			s.BadRecord = err
			return
		}
	}
	s.state = fresh
}

// Play applies a change on the backup or when read back.
func (s *Core) Play(_ string, data []byte) {
	if err := s.state.Play(data); err != nil {
		s.BadRecord = err
	}
}

// spreadFor is how long a plan may take until most of the fleet know it.
const spreadFor = 2 * clock.Second

// Confirmed answers the operator and takes the next change up.
func (s *Core) Confirmed(_ string, seq uint64, now clock.Micros) {
	if s.flight != nil {
		done := s.flight
		s.flight = nil
		s.answer(*done)
	}
	s.publish()
	s.advance(now)
}

// answer tells who asked for a change that it is confirmed. A plan is in force once
// most of the roll know it (DESIGN §8.2): then the receipt.
func (s *Core) answer(c change) {
	if c.call == 0 {
		return
	}
	if latest, ok := s.state.Latest(); ok && c.put != nil {
		s.published.plan = max(s.published.plan, latest.Number)
		s.Emit(machine.Broadcast{Update: planNews(latest), Call: c.call, Body: c.body(), Expiry: spreadFor})
		return
	}
	s.Emit(machine.Answer{Call: c.call, Body: c.body()})
}

// Ready has the witnesses write down that the pair is complete.
func (s *Core) Ready(_ string, epoch uint64, now clock.Micros) {
	if s.seal == nil || s.seal.pairing.Epoch != epoch {
		pairing := s.vote.Grant
		pairing.Complete = true
		pairing.Trusted = [2]string{pairing.Owner.ID, pairing.Backup.ID}
		s.seal = &sealing{pairing: pairing, cores: s.vote.Cores, yes: map[string]bool{}}
	}
	s.seal.at = now
	for _, core := range s.seal.cores {
		if core.ID == s.self.ID {
			s.sealHere(Commit{Fleet: s.vote.Fleet, Assignment: s.seal.pairing, Cores: s.seal.cores}, "")
			continue
		}
		s.Emit(machine.Send{To: core.Peer, Body: Commit{Fleet: s.vote.Fleet, Assignment: s.seal.pairing, Cores: s.seal.cores}})
	}
}

// Deposed says "outcome unknown" to who waits.
func (s *Core) Deposed(_ string, epoch uint64, now clock.Micros) {
	lost := s.queue
	if s.flight != nil {
		lost = append([]change{*s.flight}, lost...)
	}
	s.flight, s.queue, s.seal = nil, nil, nil
	for _, c := range lost {
		s.unknown(c.call)
	}
	s.Emit(machine.Explain{What: "no longer primary", Fields: map[string]any{"epoch": epoch}})
}

func (s *Core) unknown(call uint64) {
	if call != 0 {
		s.Emit(machine.Answer{Call: call, Err: errs.Later(errs.OutcomeUnknown, clock.Second, "read back what is in force before you send it again", "it is not known whether this was made durable")})
	}
}

// Stored is the disk's word.
type Stored struct{ Token uint64 }

// Apply passes the word on to the pair.
func (d Stored) Apply(s *Core, now clock.Micros) { s.groups.Stored(d.Token, now) }

// Suspicion tells the core what the acquaintance thinks of a store.
type Suspicion struct {
	ID  string
	Ill bool
}

// Apply notes it.
func (n Suspicion) Apply(s *Core, now clock.Micros) {
	if n.Ill {
		s.suspects[n.ID] = true
	} else {
		delete(s.suspects, n.ID)
	}
}

// Letter is a message that came in.
type Letter struct {
	From string
	Body any
}

// Apply takes it by its type.
func (l Letter) Apply(s *Core, now clock.Micros) {
	if s.groups.Take(l.From, l.Body, now) {
		return
	}
	switch body := l.Body.(type) {
	case Heartbeat:
		s.greeted(body, now)
	case VoteRequest:
		s.claimed(l.From, body, now)
	case VoteReply:
		s.granted(body, now)
	case Commit:
		s.sealHere(body, l.From)
	case CommitAck:
		s.sealedBy(body.From, body.Epoch, now)
	case store.Beat:
		s.storeBeat(l.From, body, now)
	}
}

// ClockEvent lets the core do what is due.
type ClockEvent struct{}

// Apply does what is due.
func (ClockEvent) Apply(s *Core, now clock.Micros) {
	s.retell()
	s.groups.ClockEvent(now)
	if now >= s.next.greet {
		s.next.greet = now + s.set.GreetEvery
		s.greet()
	}
	s.stand(now)
	if s.flight != nil && now >= s.flight.until && s.flight.call != 0 {
		s.unknown(s.flight.call)
		s.flight.call = 0
	}
	kept := s.queue[:0]
	for _, c := range s.queue {
		if c.call != 0 && now >= c.until {
			if c.put != nil && c.put.known(s) || c.leave != nil && s.flight != nil && isRetire(s.flight.entry) {
				s.unknown(c.call) // the same is on its way
				continue
			}
			s.Emit(machine.Answer{Call: c.call, Err: errs.Later(errs.NotReady, 2*clock.Second, "send it again; it was not put", "the cores had no complete pair in time")})
			continue
		}
		kept = append(kept, c)
	}
	s.queue = kept
	if now >= s.next.judge {
		s.next.judge = now + 100*clock.Millisecond
		s.judge(now)
	}
}

func sortedIDs[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
