// Package election elects the core daemon that is the primary of the control state, by votes of the
// cores (DESIGN §5.1 to §5.3; docs/CONTROL.md has the correctness arguments).
//
// Like package controlplane, its only caller, it is a pure state machine: its inputs are messages,
// ticks and the time, its outputs are effects (machine.Effects). It is not safe for concurrent use.
//
// The voters grant terms. A term is the epoch of the replication group that holds the control
// state; it determines the members of the group and the voters from then on. The election keeps no
// log and no data: these belong to the replication group, whose members it determines.
//
// Invariants:
//   - A voter grants a term only once, only above all terms that it granted before, and only if
//     the candidate knows every term that the voter has committed (vote.go).
//   - A voter persists what it grants or commits before any message says so (vote.go).
//   - A term needs majorities of all its quorums twice: to be granted, and to be committed once
//     every member of its group holds the complete state (quorum.go, commit.go).
//   - Only members of the last committed group campaign, so a primary always starts with every
//     confirmed entry (term.go).
//   - A primary confirms, reads and decides only under its lease, which every replica granted; a
//     replica that succeeds it waits until the lease that it granted has expired (lease.go).
//   - Voters change one at a time, under a term that majorities of the voters before and after
//     the change agree to (voters.go).
package election

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Settings configure the election. All durations are in microseconds.
type Settings struct {
	Bootstrap         bool         // this is the first start of the fleet, which may be bootstrapped
	Founders          int          // number of cores that bootstrap a fleet; 0: the number of seeds
	Tolerance         int          // number of machines with a disk that may be lost at the same time
	HeartbeatInterval clock.Micros // time between heartbeats
	CoreTimeout       clock.Micros // after which a core without heartbeats counts as unreachable
	ReplaceAfter      clock.Micros // after which a voter without heartbeats counts as lost
	ReplaceSoonAfter  clock.Micros // the same if its replacement is an empty core; 0: ReplaceAfter applies
}

// InjectedFaults has one switch per safety rule of the election that it disables. Tests set them to
// show that the checkers detect the violation; in operation all are false.
type InjectedFaults struct {
	SkipLease      bool // a primary confirms and serves without its lease
	SkipOldVoters  bool // a change of voters needs only the new voters
	SkipStateCheck bool // a core without the complete state may campaign
}

// Identity identifies a core and this run of its process.
type Identity struct {
	Core        CoreRef
	Incarnation uint64   // higher at every start of the daemon
	Seeds       []string // addresses of the cores that bootstrap the fleet
}

// Election is the election state machine of one core: as a voter, as a candidate and as the primary.
type Election struct {
	effects        *machine.Effects
	groups         *replication.Groups
	settings       Settings
	faults         InjectedFaults
	seeds          []string
	startedServing func(now clock.Micros)

	vote     Vote
	contacts contactTable

	campaign      *campaign      // in progress; nil if none is
	wonCampaign   *campaign      // of the last term that this core won
	wonTermAt     clock.Micros   // when that term was won
	pendingCommit *pendingCommit // of the term that is being committed; nil if none is
	termGrantedAt clock.Micros   // when this core granted its highest term
	// wantsTermSince is when this core began to want another term; 0 if it wants none.
	wantsTermSince clock.Micros
	// clusterExists is set once a core that has committed a term was heard.
	clusterExists   bool
	runningSince    clock.Micros // start, or end of the last pause, of this process
	lastTick        clock.Micros
	nextHeartbeatAt clock.Micros
	announcedLease  bool // HoldsLease of the last heartbeat sent

	// CampaignsStarted and TermsWon are counters for operators.
	CampaignsStarted, TermsWon int64
}

// New returns the election of a core without a stored vote; RestoreVote loads the one from its
// disk. startedServing is called whenever this core begins to serve as the primary of a term.
// Effects are emitted to the caller's effects.
func New(self Identity, settings Settings, groups *replication.Groups, effects *machine.Effects, startedServing func(now clock.Micros)) *Election {
	return &Election{
		effects:        effects,
		groups:         groups,
		settings:       settings,
		seeds:          self.Seeds,
		startedServing: startedServing,
		contacts: contactTable{
			self:        self.Core,
			incarnation: self.Incarnation,
			timeout:     settings.CoreTimeout,
			byID:        map[string]contact{},
		},
	}
}

// InjectFaults sets the faults to inject. For tests only.
func (e *Election) InjectFaults(faults InjectedFaults) { e.faults = faults }

// Vote returns the state that this core keeps as a voter.
func (e *Election) Vote() Vote { return e.vote }

// Self returns this core.
func (e *Election) Self() CoreRef { return e.contacts.self }

// group returns the replication group that holds the control state.
func (e *Election) group() *replication.Group { return e.groups.Group(GroupUnit) }

// HandleMessage handles a message between cores. It returns false if the message is not one of the
// election.
func (e *Election) HandleMessage(from string, body any, now clock.Micros) bool {
	switch m := body.(type) {
	case Heartbeat:
		e.handleHeartbeat(m, now)
	case VoteRequest:
		e.handleVoteRequest(from, m, now)
	case VoteResponse:
		e.handleVoteResponse(m, now)
	case Commit:
		e.handleCommit(m, from)
	case CommitAck:
		e.handleCommitAck(m.From, m.Epoch, now)
	default:
		return false
	}
	return true
}

// pauseThreshold is the time without a tick after which the process counts as paused: what it
// received before is outdated, and messages may be waiting that it has not read yet.
const pauseThreshold = clock.Second

// Tick sends heartbeats and starts a campaign, if these are due.
func (e *Election) Tick(now clock.Micros) {
	e.detectPause(now)
	if now >= e.nextHeartbeatAt || e.HoldsLease(now) != e.announcedLease {
		e.nextHeartbeatAt = now + e.settings.HeartbeatInterval
		e.sendHeartbeats(now)
	}
	e.maybeCampaign(now)
}

// detectPause resets runningSince after the start and after a pause of this process.
func (e *Election) detectPause(now clock.Micros) {
	if e.lastTick == 0 || now-e.lastTick > pauseThreshold {
		e.runningSince = now
	}
	e.lastTick = now
}

// Drain announces that this core is about to stop, so that the others take over its roles.
func (e *Election) Drain(now clock.Micros) {
	e.contacts.draining = true
	e.sendHeartbeats(now)
}

// IsNeeded reports whether other cores still depend on this one: it is the primary, is a member of
// the group, or has a vote that can be removed or given to another core.
func (e *Election) IsNeeded(now clock.Micros) bool {
	self := e.contacts.self.ID
	others := withoutVoter(e.vote.Voters, self)
	if !slices.ContainsFunc(others, func(ref CoreRef) bool { return e.contacts.hasTwoWayContact(ref.ID, now) }) {
		return false // no other voter is reachable that could take over its roles
	}
	canLoseVoter := len(e.vote.Voters) > e.minVoters() || len(e.voterCandidates(now)) > 0
	hasReplaceableVote := isVoter(e.vote.Voters, self) && canLoseVoter
	return e.group().IsPrimary() || slices.Contains(e.vote.Committed.IDs(), self) || hasReplaceableVote
}

// Deposed is called when a higher term ended the one that this core was primary of.
func (e *Election) Deposed() { e.pendingCommit = nil }
