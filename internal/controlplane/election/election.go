// Package election decides which core daemon is the primary of the control state, by
// votes of the cores (DESIGN §5.1 to §5.3; docs/CONTROL.md has the arguments).
//
// It is a pure state machine, as the package controlplane, its only caller, is: messages,
// ticks and the time go in, effects come out through machine.Effects. It is not safe for
// concurrent use.
//
// The voters grant terms. A term is the epoch of the replication group that holds the
// control state; it names the group's members and the voters from then on. The election
// keeps no log and no data: these belong to the replication group, whose members are
// decided here.
//
// Invariants:
//   - A voter grants a term only once, above all terms that it granted before, and only
//     if the candidate knows of everything that the voter has committed (vote.go).
//   - What a voter grants or commits is on its disk before any message says so (vote.go).
//   - A term needs majorities of all its quorums twice: to be granted, and to be committed
//     once every member of its group holds the whole state (quorum.go, commit.go).
//   - Only members of the last committed group campaign, so a primary always begins with
//     every confirmed entry (term.go).
//   - A primary confirms, reads and decides only under its lease, which every replica
//     granted; a replica that succeeds it waits until what it granted has ended (lease.go).
//   - Voters change one at a time, under a term that majorities of the voters before and
//     after the change agree to (voters.go).
package election

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Settings of the election. All spans are in microseconds.
type Settings struct {
	Bootstrap         bool         // this is the first start of the whole fleet: it may be bootstrapped
	Founders          int          // cores that bootstrap a fleet; 0: as many as there are seeds
	Tolerance         int          // machines with a disk that may be lost at once
	HeartbeatInterval clock.Micros // between two heartbeats
	CoreTimeout       clock.Micros // after which a core that is not heard counts as lost
	ReplaceAfter      clock.Micros // after which a lost core's vote passes to another core
	ReplaceSoonAfter  clock.Micros // the same where the other core is empty; 0: no sooner
}

// InjectedFaults are faults of the election that tests plant to show that the checks catch
// them. Set by tests only.
type InjectedFaults struct {
	SkipLease      bool // a primary confirms and serves without a lease
	SkipOldVoters  bool // a change of voters needs the new voters only
	SkipStateCheck bool // a core without the whole state campaigns
}

// Identity is who a core is.
type Identity struct {
	Core        CoreRef
	Incarnation uint64   // counts the starts of this process
	Seeds       []string // addresses of the cores that bootstrap the fleet
}

// Election is one core's part in the election: as a voter, as a candidate and as the primary.
type Election struct {
	effects        *machine.Effects
	groups         *replication.Groups
	settings       Settings
	faults         InjectedFaults
	seeds          []string
	startedServing func(now clock.Micros)

	vote     Vote
	contacts contactTable

	campaign      *campaign      // under way; nil when none is
	wonCampaign   *campaign      // of the term that this core leads or led last
	wonTermAt     clock.Micros   // when it was won
	pendingCommit *pendingCommit // of the term that is being committed; nil when none is
	termGrantedAt clock.Micros   // when this core granted its highest term
	// wantsTermSince is since when this core wants another term; 0: it wants none.
	wantsTermSince clock.Micros
	// clusterExists tells that a core of a bootstrapped fleet was heard.
	clusterExists   bool
	runningSince    clock.Micros // since when this process runs without a pause
	lastTick        clock.Micros
	nextHeartbeatAt clock.Micros
	announcedLease  bool // what the last heartbeat said of the lease

	// CampaignsStarted and TermsWon are counters for the operators.
	CampaignsStarted, TermsWon int64
}

// New makes the election of a core that has no vote yet; RestoreVote gives it the one from
// its disk. startedServing is called whenever this core begins to serve as the primary of a
// term; its effects go to the caller's.
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

// InjectFaults plants faults. For tests only.
func (e *Election) InjectFaults(faults InjectedFaults) { e.faults = faults }

// Vote is what this core keeps as a voter.
func (e *Election) Vote() Vote { return e.vote }

// Self is this core.
func (e *Election) Self() CoreRef { return e.contacts.self }

// group is the replication group that holds the control state.
func (e *Election) group() *replication.Group { return e.groups.Group(GroupUnit) }

// HandleMessage handles a message between cores; false when it is none of the election.
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

// pauseThreshold is how long no tick may come until what was heard before counts
// as old: the process was stopped, and messages wait that it has not read yet.
const pauseThreshold = clock.Second

// Tick sends heartbeats, and campaigns where that is due.
func (e *Election) Tick(now clock.Micros) {
	e.detectPause(now)
	if now >= e.nextHeartbeatAt || e.HoldsLease(now) != e.announcedLease {
		e.nextHeartbeatAt = now + e.settings.HeartbeatInterval
		e.sendHeartbeats(now)
	}
	e.maybeCampaign(now)
}

// detectPause begins to listen anew after this process stood still.
func (e *Election) detectPause(now clock.Micros) {
	if e.lastTick == 0 || now-e.lastTick > pauseThreshold {
		e.runningSince = now
	}
	e.lastTick = now
}

// Drain tells that this core is about to stop: the others take its duties over.
func (e *Election) Drain(now clock.Micros) {
	e.contacts.draining = true
	e.sendHeartbeats(now)
}

// IsNeeded tells whether others still depend on this core: it leads, holds a copy of the
// control state, or has a vote that another core could have.
func (e *Election) IsNeeded(now clock.Micros) bool {
	self := e.contacts.self.ID
	others := withoutVoter(e.vote.Voters, self)
	if !slices.ContainsFunc(others, func(ref CoreRef) bool { return e.contacts.hasTwoWayContact(ref.ID, now) }) {
		return false // nobody is there to take its duties over
	}
	canLoseVoter := len(e.vote.Voters) > e.minVoters() || len(e.voterCandidates(now)) > 0
	hasReplaceableVote := isVoter(e.vote.Voters, self) && canLoseVoter
	return e.group().IsPrimary() || slices.Contains(e.vote.Committed.IDs(), self) || hasReplaceableVote
}

// Deposed tells that a higher term ended the one that this core was primary of.
func (e *Election) Deposed() { e.pendingCommit = nil }
