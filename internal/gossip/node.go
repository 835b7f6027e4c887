package gossip

import (
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Node is one daemon's gossip state machine.
type Node struct {
	machine.Effects
	Counters
	// InjectedFaults is set by tests only.
	InjectedFaults InjectedFaults

	settings Settings
	self     membership.Member
	seeds    []string // addresses to join by
	random   *rand.Rand
	// lastNonce numbers probes and pushes, so that replies find them.
	lastNonce uint64
	nextDue   schedule

	// Updates and their dissemination.
	updates   map[string]machine.Update // by key
	unsent    unsentUpdates
	requested map[string]outstandingRequest // large updates that were fetched, by key
	// comparisons of digests whose missing updates were asked for, by the other daemon's address.
	comparisons map[string]comparison
	// digestOtherZone: the next digest goes to another zone.
	digestOtherZone bool

	// Directory, partial view and failure detection.
	members        map[string]membership.Member // by identity
	statusSince    map[string]clock.Micros      // by identity, when the status was learnt
	view           []string                     // addresses
	probeSequence  []string                     // identities still to probe in this round
	probes         map[uint64]*outstandingProbe // by nonce
	indirectProbes map[uint64]indirectProbe     // by nonce, on behalf of others

	// Voters, freshness and broadcasts.
	voters     map[string]int // weight by identity
	freshUntil clock.Micros
	// knownUntil is, by voter, up to when the updates here include all that the voter knew.
	knownUntil map[string]clock.Micros
	// knownUntilRaw also counts voters that have only just restarted and may lack what they knew.
	knownUntilRaw map[string]clock.Micros
	// caughtUp: this daemon has compared digests with a majority of the voters since it started.
	caughtUp bool
	pushes   map[uint64]*outstandingPush // by nonce
}

// Counters count events since the start, for the operators.
type Counters struct {
	UpdatesReceived    int64
	DuplicatesReceived int64 // updates that were known already
	UpdatesRepaired    int64 // updates that only a digest's answer brought
	Suspected          int64 // suspicions that this daemon raised
	Refuted            int64 // suspicions of itself that this daemon refuted
}

// InjectedFaults disable one safety rule each. They are set by tests only, which show that the
// checkers notice the violation; in operation all are false.
type InjectedFaults struct {
	// SkipVoterMajority lets any daemon of another zone make updates fresh, whatever that daemon
	// has received itself.
	SkipVoterMajority bool
}

// New makes the gossip node of a daemon. The same seed makes the same choices.
func New(self membership.Member, seeds []string, settings Settings, seed int64) *Node {
	n := &Node{
		settings:       settings,
		self:           self,
		seeds:          seeds,
		random:         rand.New(rand.NewSource(seed)),
		updates:        map[string]machine.Update{},
		requested:      map[string]outstandingRequest{},
		comparisons:    map[string]comparison{},
		members:        map[string]membership.Member{},
		statusSince:    map[string]clock.Micros{},
		probes:         map[uint64]*outstandingProbe{},
		indirectProbes: map[uint64]indirectProbe{},
		knownUntil:     map[string]clock.Micros{},
		knownUntilRaw:  map[string]clock.Micros{},
		pushes:         map[uint64]*outstandingPush{},
	}
	n.announceSelf(0)
	return n
}

// Do applies a command and returns its effects.
func (n *Node) Do(command Command, now clock.Micros) []machine.Effect {
	command.Apply(n, now)
	return n.Drain()
}

func (n *Node) nextNonce() uint64 {
	n.lastNonce++
	return n.lastNonce
}

// pickRandom picks one of some addresses; "" where there is none.
func (n *Node) pickRandom(from []string) string {
	if len(from) == 0 {
		return ""
	}
	return from[n.random.Intn(len(from))]
}
