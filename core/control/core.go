// Package control is the machine of a core daemon (DESIGN §5, docs/CONTROL.md): the
// election of a primary by the cores with a vote, the control state that a replication
// group of cores holds, and what the primary does for the fleet with it.
//
// A Core is a pure state machine: inputs are commands (messages, asks, clock events, the
// disk's words), outputs are effects. It is not safe for concurrent use.
package control

import (
	"encoding/json"
	"slices"
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
	Slots          int
	Founders       int  // cores that found a fleet; 0: as many as there are seeds
	Bootstrap      bool // this is the first start of the whole fleet: it may be founded
	Tolerance      int  // machines with a disk that may be lost at once
	ShardZones     int  // zones that the copies of a shard have to be in
	HeartbeatEvery clock.Micros
	CoreSilent     clock.Micros // after which a core counts as gone
	ReplaceAfter   clock.Micros // after which its seat is given to another
	ReplaceSoon    clock.Micros // the same where an empty core is heard; 0: no sooner
	StoreSilent    clock.Micros // after which a store counts as gone
	Settle         clock.Micros // a new primary listens this long before it judges
	BalanceEvery   clock.Micros // between two moves towards even shares
	BalanceAfter   clock.Micros // a store lives this long before slots move to it
	ApartFor       clock.Micros // two stores out of reach are not paired again before
	FoldAfter      int          // changes on disk before a snapshot replaces them
	Staleness      clock.Micros // news older than this: the roll is not changed
	StrikeAfter    clock.Micros // silence after which a store no longer counts
	LostAfter      clock.Micros // after which a core takes those of the roll it does not hear for lost
	CheckPlan      func(body []byte) error
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{Slots: 24, Founders: 3, Tolerance: 1, ShardZones: 2, HeartbeatEvery: 250 * clock.Millisecond, CoreSilent: 1500 * clock.Millisecond,
		ReplaceAfter: 4 * clock.Second, ReplaceSoon: 4 * clock.Second, StoreSilent: 2 * clock.Second, Settle: 1500 * clock.Millisecond,
		BalanceEvery: 500 * clock.Millisecond, BalanceAfter: 4 * clock.Second, ApartFor: 30 * clock.Second, FoldAfter: 500,
		Staleness: 2500 * clock.Millisecond, StrikeAfter: 10 * clock.Second, LostAfter: 20 * clock.Second}
}

// foldAfterBytes is how many bytes of changes are written before a snapshot replaces
// them; Settings.FoldAfter says after how many changes.
const foldAfterBytes = 1 << 20

type heardStore struct {
	beat  store.Beat
	at    clock.Micros
	first clock.Micros
}

// Core is the machine.
type Core struct {
	machine.Out
	set      Settings
	self     CoreRef
	life     uint64
	seeds    []string
	groups   *replication.Groups
	state    *state.State
	vote     Vote
	cores    map[string]heardCore
	stores   map[string]heardStore
	suspects map[string]bool
	apart    map[[2]string]clock.Micros // stores out of reach of each other, until
	campaign *campaign                  // on its way
	won      *campaign                  // the term this core leads or led last
	commit   *commitRound               // its completion is being written down
	wonAt    clock.Micros
	termAt   clock.Micros // when the highest term was granted here
	leaving  bool         // this core is about to go
	// foundedElsewhere tells that a core of a founded fleet was heard.
	foundedElsewhere bool
	heardSince       clock.Micros // since when this core listens without a pause
	lastClock        clock.Micros
	toldLeading      bool // what the last heartbeat said
	queue            []change
	flight           *change
	unwell           clock.Micros // since when a new pairing is wanted
	serving          clock.Micros // since when this core serves
	published        struct{ plan, seq, epoch uint64 }
	writes           int // since the last snapshot on disk
	written          int // bytes of them
	next             struct{ beat, judge, balance clock.Micros }
	// Counters for the operators.
	Claims, Takeovers, Changes, Unclear int64
	BadRecord                           error
	// SkipLease is a fault planted by tests: a primary confirms and serves without a lease.
	SkipLease bool
	// SkipOldVoters is a fault planted by tests: a change of voters takes the new ones only.
	SkipOldVoters bool
	// SkipWhole is a fault planted by tests: a core without the whole state campaigns.
	SkipWhole bool
	// SkipOrderTable is a fault planted by tests: a snapshot lacks what recognises
	// repeated orders.
	SkipOrderTable bool
	listed         map[string]machine.Update // the platform's words on servers
	retold         bool
	disk           diskDuty
	fresh          clock.Micros // up to when its news include what most of the roll knew
}

// New makes a core from what was read back from its disk.
func New(self CoreRef, life uint64, seeds []string, set Settings, records []machine.Record) *Core {
	s := &Core{set: set, self: self, life: life, seeds: seeds, state: state.New(),
		cores: map[string]heardCore{}, stores: map[string]heardStore{}, suspects: map[string]bool{}, apart: map[[2]string]clock.Micros{}, listed: map[string]machine.Update{}}
	s.groups = replication.NewGroups(&s.Out, s)
	for _, record := range records {
		if record.Unit == unitVote {
			if err := json.Unmarshal(record.Body, &s.vote); err != nil {
				s.damaged(errs.New(errs.Corrupt, "move the whole data folder away and start empty: the cores give it a seat", "the vote of this core can't be read: %v", err))
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
	if !s.withheld(command, now) {
		command.Apply(s, now)
	}
	if s.writes >= s.set.FoldAfter || s.written >= foldAfterBytes {
		s.writes, s.written = 0, 0
		s.Emit(machine.Fold{Records: append(append([]machine.Record{s.voteRecord()}, s.listedRecords()...), s.groups.Records()...)})
	}
	out := s.Drain()
	for _, effect := range out {
		if stored, ok := effect.(machine.Store); ok {
			s.writes++
			for _, record := range stored.Records {
				s.written += len(record.Body)
			}
		}
	}
	return out
}

func (s *Core) group() *replication.Group { return s.groups.Group(unitCore) }

// Groups is the core's replication group, for tests.
func (s *Core) Groups() *replication.Groups { return s.groups }

// State is the replicated control state; a copy must be taken before it is changed.
func (s *Core) State() *state.State { return s.state }

// Vote is what this core keeps as a voter.
func (s *Core) Vote() Vote { return s.vote }

// Serving tells whether this core is the primary and may confirm.
func (s *Core) Serving() bool { return s.group().Role == replication.Serving }

// View is the whole state as a snapshot.
func (s *Core) View(string) [][]byte {
	if s.SkipOrderTable {
		bare := *s.state
		bare.Orders = state.OrderTable{}
		return bare.Snapshot()
	}
	return s.state.Snapshot()
}

// Brief is the same: a core shelves nothing.
func (s *Core) Brief(unit string) [][]byte { return s.View(unit) }

// Restore replaces the state by a snapshot.
func (s *Core) Restore(_ string, parts [][]byte) {
	fresh, err := state.Restore(parts)
	if err != nil {
		s.damaged(err)
		return
	}
	s.state = fresh
}

// Play applies a change on a replica or when read back.
func (s *Core) Play(_ string, data []byte) {
	if err := s.state.Play(data); err != nil {
		s.damaged(err)
	}
}

// damaged notes a record that can't be read, and ends the daemon: going on would
// answer for a state that this core does not hold.
func (s *Core) damaged(err error) {
	if s.BadRecord == nil {
		s.BadRecord = err
	}
	s.Emit(machine.Halt{Err: err})
}

// spreadFor is how long a plan may take until most of the fleet know it.
const spreadFor = 2 * clock.Second

// Confirmed answers the operator and takes the next change up.
func (s *Core) Confirmed(_ string, _ uint64, now clock.Micros) {
	if s.flight != nil {
		done := s.flight
		s.flight = nil
		s.answer(*done)
	}
	s.publish()
	s.advance(now)
}

// Deposed says "outcome unknown" to who waits.
func (s *Core) Deposed(_ string, epoch uint64, _ clock.Micros) {
	lost := s.queue
	if s.flight != nil {
		lost = append([]change{*s.flight}, lost...)
	}
	s.flight, s.queue, s.commit = nil, nil, nil
	for _, c := range lost {
		s.unknown(c.call)
	}
	s.Emit(machine.Explain{What: "no longer primary", Fields: map[string]any{"epoch": epoch}})
}

func (s *Core) unknown(call uint64) {
	if call != 0 {
		s.Unclear++
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
func (n Suspicion) Apply(s *Core, _ clock.Micros) {
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
		s.heard(body, now)
	case VoteRequest:
		s.requested(l.From, body, now)
	case VoteReply:
		s.replied(body, now)
	case Commit:
		s.takeCommit(body, l.From)
	case CommitAck:
		s.committedBy(body.From, body.Epoch, now)
	case store.Beat:
		s.storeBeat(l.From, body, now)
	}
}

// ClockEvent lets the core do what is due.
type ClockEvent struct{}

// Apply does what is due.
func (ClockEvent) Apply(s *Core, now clock.Micros) {
	s.noticePause(now)
	s.retell()
	s.groups.ClockEvent(now)
	if now >= s.next.beat || s.Leading(now) != s.toldLeading {
		s.next.beat = now + s.set.HeartbeatEvery
		s.beat(now)
	}
	s.stand(now)
	s.expire(now)
	s.advance(now)
	if now >= s.next.judge {
		s.next.judge = now + 100*clock.Millisecond
		s.judge(now)
	}
}

// pauseNoticed is how long no clock event may come until what was heard before counts
// as old: the process was stopped, and messages wait that it has not read yet.
const pauseNoticed = clock.Second

// noticePause restarts the count of silence after this process stood still.
func (s *Core) noticePause(now clock.Micros) {
	if s.lastClock == 0 || now-s.lastClock > pauseNoticed {
		s.heardSince = now
	}
	s.lastClock = now
}

// Leave tells the core that it is about to go: others take its duties over.
type Leave struct{}

// Apply notes it, and says so.
func (Leave) Apply(s *Core, now clock.Micros) {
	s.leaving = true
	s.beat(now)
}

// Needed tells whether others still count on this core: it leads, holds a copy of the
// control state, or has a vote that another core could have.
func (s *Core) Needed(now clock.Micros) bool {
	others := without(s.vote.Voters, s.self.ID)
	if !slices.ContainsFunc(others, func(ref CoreRef) bool { return s.reachesCore(ref.ID, now) }) {
		return false // nobody is there to take its duties over
	}
	replaceable := isVoter(s.vote.Voters, s.self.ID) && (len(s.vote.Voters) > s.least() || len(s.candidates(now)) > 0)
	return s.group().Leads() || slices.Contains(s.vote.Committed.IDs(), s.self.ID) || replaceable
}

func sortedIDs[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
