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
	seeds    []string // addresses to join through
	random   *rand.Rand
	// lastNonce is the last nonce used. Nonces match replies with probes and pushes.
	lastNonce uint64
	nextDue   schedule

	// Updates and their dissemination.
	updates   map[string]machine.Update // by key
	unsent    unsentUpdates
	requested map[string]outstandingRequest // requests for large updates, by key
	// comparisons of digests whose missing updates were requested, by the other daemon's address.
	comparisons map[string]comparison
	// digestOtherZone is set if the digest is to be sent to another zone; it alternates.
	digestOtherZone bool

	// Directory, partial view and failure detection.
	members        map[string]membership.Member // by ID
	statusSince    map[string]clock.Micros      // by ID, when the status or incarnation last changed
	view           []string                     // addresses
	probeSequence  []string                     // IDs still to probe in this cycle
	probes         map[uint64]*outstandingProbe // by nonce
	indirectProbes map[uint64]indirectProbe     // by nonce, on behalf of other daemons

	// Voters, freshness and broadcasts.
	voters     map[string]int // weight by ID
	freshUntil clock.Micros
	// knownUntil is, by voter ID, the time up to which the updates here include everything that the
	// voter knew.
	knownUntil map[string]clock.Micros
	// knownUntilRaw is the same, but also counts voters that have just restarted and may lack what
	// they knew before.
	knownUntilRaw map[string]clock.Micros
	// caughtUp is set once this daemon has compared digests with a majority of the voters since it
	// started.
	caughtUp bool
	pushes   map[uint64]*outstandingPush // by nonce
}

// Counters count events since the start, for operators.
type Counters struct {
	UpdatesReceived    int64
	DuplicatesReceived int64 // updates that were known already
	UpdatesRepaired    int64 // updates received through comparisons of digests
	Suspected          int64 // suspicions that this daemon raised
	Refuted            int64 // suspicions of itself that this daemon refuted
}

// InjectedFaults has one switch per safety rule that it disables. Tests set them to show that the
// checkers detect the violation; in operation all are false.
type InjectedFaults struct {
	// SkipVoterMajority makes updates count as fresh after a comparison with any daemon of another
	// zone, whatever that daemon has received itself.
	SkipVoterMajority bool
}

// New returns the gossip node of a daemon. seed initialises its random choices.
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

// pickRandom returns a random element; "" if there is none.
func (n *Node) pickRandom(from []string) string {
	if len(from) == 0 {
		return ""
	}
	return from[n.random.Intn(len(from))]
}
