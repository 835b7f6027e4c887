// Package controlplane is the machine of a core daemon (DESIGN §5, docs/CONTROL.md): the
// election of a primary by the cores with a vote, the control state that a replication
// group of cores holds, and what the primary does for the fleet with it.
//
// A Core is a pure state machine: inputs are commands (messages, asks, ticks, the
// disk's words), outputs are effects. It is not safe for concurrent use.
package controlplane

import (
	"encoding/json"
	"slices"
	"sort"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Settings of a core; the defaults are ours.
type Settings struct {
	Shards             int
	Founders           int  // cores that found a fleet; 0: as many as there are seeds
	Bootstrap          bool // this is the first start of the whole fleet: it may be founded
	Tolerance          int  // machines with a disk that may be lost at once
	ShardZones         int  // zones that the copies of a shard have to be in
	HeartbeatEvery     clock.Micros
	CoreTimeout        clock.Micros // after which a core counts as gone
	ReplaceAfter       clock.Micros // after which its seat is given to another
	ReplaceSoonAfter   clock.Micros // the same where an empty core is heard; 0: no sooner
	StoreTimeout       clock.Micros // after which a store counts as gone
	SettleDelay        clock.Micros // a new primary listens this long before it judges
	BalanceEvery       clock.Micros // between two moves towards even shares
	BalanceAfter       clock.Micros // a store lives this long before shards move to it
	PartitionMemory    clock.Micros // two stores out of reach are not paired again before
	CompactAfter       int          // changes on disk before a snapshot replaces them
	MaxStaleness       clock.Micros // updates older than this: the roll is not changed
	EvictAfter         clock.Micros // silence after which a store no longer counts
	AssumeLostAfter    clock.Micros // after which a core takes those of the roll it does not hear for lost
	CheckConfiguration func(body []byte) error
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{Shards: 24, Founders: 3, Tolerance: 1, ShardZones: 2, HeartbeatEvery: 250 * clock.Millisecond, CoreTimeout: 1500 * clock.Millisecond,
		ReplaceAfter: 4 * clock.Second, ReplaceSoonAfter: 4 * clock.Second, StoreTimeout: 2 * clock.Second, SettleDelay: 1500 * clock.Millisecond,
		BalanceEvery: 500 * clock.Millisecond, BalanceAfter: 4 * clock.Second, PartitionMemory: 30 * clock.Second, CompactAfter: 500,
		MaxStaleness: 2500 * clock.Millisecond, EvictAfter: 10 * clock.Second, AssumeLostAfter: 20 * clock.Second}
}

// compactAfterBytes is how many bytes of changes are written before a snapshot replaces
// them; Settings.CompactAfter says after how many changes.
const compactAfterBytes = 1 << 20

type storeContact struct {
	heartbeat    batchstore.Heartbeat
	heardAt      clock.Micros
	firstHeardAt clock.Micros
}

// Core is the machine.
type Core struct {
	machine.Effects
	set              Settings
	self             CoreRef
	incarnation      uint64
	seeds            []string
	groups           *replication.Groups
	state            *state.State
	vote             Vote
	cores            map[string]coreContact
	stores           map[string]storeContact
	suspects         map[string]bool
	partitionedUntil map[[2]string]clock.Micros // stores out of reach of each other, until
	campaign         *campaign                  // on its way
	wonCampaign      *campaign                  // the term this core leads or led last
	commitRound      *commitRound               // its completion is being written down
	wonTermAt        clock.Micros
	termGrantedAt    clock.Micros // when the highest term was granted here
	draining         bool         // this core is about to go
	// clusterExists tells that a core of a founded fleet was heard.
	clusterExists          bool
	listeningSince         clock.Micros // since when this core listens without a pause
	lastTick               clock.Micros
	announcedLease         bool // what the last heartbeat said
	queue                  []change
	inFlight               *change
	unhealthySince         clock.Micros // since when a new pairing is wanted
	servingSince           clock.Micros // since when this core serves
	published              struct{ configuration, seq, epoch uint64 }
	recordsSinceCompaction int // since the last snapshot on disk
	bytesSinceCompaction   int // bytes of them
	next                   struct{ sendHeartbeats, reconcileShards, balance clock.Micros }
	// Counters for the operators.
	CampaignsStarted, TermsWon, Changes, UnknownOutcomes int64
	BadRecord                                            error
	// SkipLease is a fault planted by tests: a primary confirms and serves without a lease.
	SkipLease bool
	// SkipOldVoters is a fault planted by tests: a change of voters takes the new ones only.
	SkipOldVoters bool
	// SkipStateCheck is a fault planted by tests: a core without the whole state campaigns.
	SkipStateCheck bool
	// SkipRequestTable is a fault planted by tests: a snapshot lacks what recognises
	// repeated orders.
	SkipRequestTable     bool
	endpoints            map[string]machine.Update // the platform's words on servers
	endpointsRepublished bool
	disk                 diskProbationState
	freshUntil           clock.Micros // up to when its updates include what most of the roll knew
}

// New makes a core from what was read back from its disk.
func New(self CoreRef, incarnation uint64, seeds []string, set Settings, records []machine.Record) *Core {
	s := &Core{set: set, self: self, incarnation: incarnation, seeds: seeds, state: state.New(),
		cores: map[string]coreContact{}, stores: map[string]storeContact{}, suspects: map[string]bool{}, partitionedUntil: map[[2]string]clock.Micros{}, endpoints: map[string]machine.Update{}}
	s.groups = replication.NewGroups(&s.Effects, s)
	for _, record := range records {
		if record.Unit == unitVote {
			if err := json.Unmarshal(record.Body, &s.vote); err != nil {
				s.haltOnDamage(errs.New(errs.Corrupt, "move the whole data folder away and start empty: the cores give it a seat", "the vote of this core can't be read: %v", err))
			}
			continue
		}
		if record.Unit == unitEndpoints {
			s.restoreEndpoint(record)
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
	if !s.rejectedForDisk(command, now) {
		command.Apply(s, now)
	}
	if s.recordsSinceCompaction >= s.set.CompactAfter || s.bytesSinceCompaction >= compactAfterBytes {
		s.recordsSinceCompaction, s.bytesSinceCompaction = 0, 0
		s.Emit(machine.Compact{Records: append(append([]machine.Record{s.voteRecord()}, s.endpointRecords()...), s.groups.CompactedRecords()...)})
	}
	out := s.Drain()
	for _, effect := range out {
		if stored, ok := effect.(machine.Persist); ok {
			s.recordsSinceCompaction++
			for _, record := range stored.Records {
				s.bytesSinceCompaction += len(record.Body)
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

// IsServing tells whether this core is the primary and may confirm.
func (s *Core) IsServing() bool { return s.group().Role == replication.Serving }

// Snapshot is the whole state as a snapshot.
func (s *Core) Snapshot(string) [][]byte {
	if s.SkipRequestTable {
		bare := *s.state
		bare.Requests = state.RequestTable{}
		return bare.Snapshot()
	}
	return s.state.Snapshot()
}

// LocalSnapshot is the same: a core shelves nothing.
func (s *Core) LocalSnapshot(unit string) [][]byte { return s.Snapshot(unit) }

// Restore replaces the state by a snapshot.
func (s *Core) Restore(_ string, parts [][]byte) {
	fresh, err := state.Restore(parts)
	if err != nil {
		s.haltOnDamage(err)
		return
	}
	s.state = fresh
}

// ApplyEntry applies a change on a replica or when read back.
func (s *Core) ApplyEntry(_ string, data []byte) {
	if err := s.state.ApplyEntry(data); err != nil {
		s.haltOnDamage(err)
	}
}

// haltOnDamage notes a record that can't be read, and ends the daemon: going on would
// answer for a state that this core does not hold.
func (s *Core) haltOnDamage(err error) {
	if s.BadRecord == nil {
		s.BadRecord = err
	}
	s.Emit(machine.Halt{Err: err})
}

// broadcastTimeout is how long a configuration may take until most of the fleet know it.
const broadcastTimeout = 2 * clock.Second

// Confirmed answers the operator and takes the next change up.
func (s *Core) Confirmed(_ string, _ uint64, now clock.Micros) {
	if s.inFlight != nil {
		done := s.inFlight
		s.inFlight = nil
		s.replyToChange(*done)
	}
	s.publish()
	s.processQueue(now)
}

// Deposed says "outcome unknown" to who waits.
func (s *Core) Deposed(_ string, epoch uint64, _ clock.Micros) {
	lost := s.queue
	if s.inFlight != nil {
		lost = append([]change{*s.inFlight}, lost...)
	}
	s.inFlight, s.queue, s.commitRound = nil, nil, nil
	for _, c := range lost {
		s.replyUnknown(c.call)
	}
	s.Emit(machine.LogEvent{Event: LostPrimary{Epoch: epoch}})
}

func (s *Core) replyUnknown(call uint64) {
	if call != 0 {
		s.UnknownOutcomes++
		s.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "read back what is in force before you send it again", "it is not known whether this was made durable")})
	}
}

// Persisted is the disk's word.
type Persisted struct{ Token uint64 }

// Apply passes the word on to the pair.
func (d Persisted) Apply(s *Core, now clock.Micros) { s.groups.Persisted(d.Token, now) }

// Suspicion tells the core what gossip thinks of a store.
type Suspicion struct {
	ID        string
	Unhealthy bool
}

// Apply notes it.
func (n Suspicion) Apply(s *Core, _ clock.Micros) {
	if n.Unhealthy {
		s.suspects[n.ID] = true
	} else {
		delete(s.suspects, n.ID)
	}
}

// Message is a message that came in.
type Message struct {
	From string
	Body any
}

// Apply takes it by its type.
func (l Message) Apply(s *Core, now clock.Micros) {
	if s.groups.HandleMessage(l.From, l.Body, now) {
		return
	}
	switch body := l.Body.(type) {
	case Heartbeat:
		s.handleHeartbeat(body, now)
	case VoteRequest:
		s.handleVoteRequest(l.From, body, now)
	case VoteResponse:
		s.handleVoteResponse(body, now)
	case Commit:
		s.handleCommit(body, l.From)
	case CommitAck:
		s.handleCommitAck(body.From, body.Epoch, now)
	case batchstore.Heartbeat:
		s.handleStoreHeartbeat(l.From, body, now)
	}
}

// Tick lets the core do what is due.
type Tick struct{}

// Apply does what is due.
func (Tick) Apply(s *Core, now clock.Micros) {
	s.detectPause(now)
	s.republishEndpoints()
	s.groups.Tick(now)
	if now >= s.next.sendHeartbeats || s.HoldsLease(now) != s.announcedLease {
		s.next.sendHeartbeats = now + s.set.HeartbeatEvery
		s.sendHeartbeats(now)
	}
	s.maybeCampaign(now)
	s.expireChanges(now)
	s.processQueue(now)
	if now >= s.next.reconcileShards {
		s.next.reconcileShards = now + 100*clock.Millisecond
		s.reconcileShards(now)
	}
}

// pauseThreshold is how long no tick may come until what was heard before counts
// as old: the process was stopped, and messages wait that it has not read yet.
const pauseThreshold = clock.Second

// detectPause restarts the count of silence after this process stood still.
func (s *Core) detectPause(now clock.Micros) {
	if s.lastTick == 0 || now-s.lastTick > pauseThreshold {
		s.listeningSince = now
	}
	s.lastTick = now
}

// Drain tells the core that it is about to go: others take its duties over.
type Drain struct{}

// Apply notes it, and says so.
func (Drain) Apply(s *Core, now clock.Micros) {
	s.draining = true
	s.sendHeartbeats(now)
}

// IsNeeded tells whether others still count on this core: it leads, holds a copy of the
// control state, or has a vote that another core could have.
func (s *Core) IsNeeded(now clock.Micros) bool {
	others := withoutVoter(s.vote.Voters, s.self.ID)
	if !slices.ContainsFunc(others, func(ref CoreRef) bool { return s.hasTwoWayContact(ref.ID, now) }) {
		return false // nobody is there to take its duties over
	}
	replaceable := isVoter(s.vote.Voters, s.self.ID) && (len(s.vote.Voters) > s.minVoters() || len(s.voterCandidates(now)) > 0)
	return s.group().IsPrimary() || slices.Contains(s.vote.Committed.IDs(), s.self.ID) || replaceable
}

func sortedIDs[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
