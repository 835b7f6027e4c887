package machines

import (
	"maps"
	"slices"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/connections"
	"tuliprudder/internal/dataplane/observations"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Scheduling is what edges and stores have in common: the scheduler, the quota, and the
// members.
type Scheduling struct {
	Calls     *machine.Calls
	Scheduler *scheduler.Scheduler
	Quota     *quota.Quota
	// Observations shares what daemons of a zone see of servers.
	Observations *observations.Exchange
	// Reports reports to the primary core what the parts that are added to it have.
	Reports *primaryreport.Sender
	// ParseConfiguration turns a confirmed document into a configuration.
	ParseConfiguration config.ParseFunc

	self    string // the daemon's id
	members map[string]membership.Member
	// configurationBase is the version that was in force before the configuration; 0: not known.
	configurationBase uint64
}

// newScheduling makes the common parts. shardMap gives the cluster map as this daemon knows it.
func newScheduling(self string, settings scheduler.Settings, seed int64, shardMap func() state.Map) *Scheduling {
	s := &Scheduling{
		Calls:              machine.NewCalls(),
		Scheduler:          scheduler.New(settings, seed),
		ParseConfiguration: config.Parse,
		self:               self,
		members:            map[string]membership.Member{},
	}
	s.Reports = primaryreport.NewSender(self, s.Calls)
	s.Reports.AddPart(loadReport{s.Scheduler})
	s.Quota = quota.New(self, s.Calls, s.Members, shardMap)
	s.Observations = observations.New(self, s.Scheduler)
	return s
}

// Members lists the members by id, which is the same order at every daemon.
func (s *Scheduling) Members() []membership.Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b membership.Member) int { return strings.Compare(a.ID, b.ID) })
}

// connectionShares are the live members that share the model servers' connections.
func (s *Scheduling) connectionShares() (shares connections.DaemonCounts) {
	for _, member := range s.members {
		shares.Add(member.Kind)
	}
	return shares
}

// storeOffset is how much later, in steps of one daemon, stores begin than edges.
const storeOffset = 0.5

// serverOffset is this daemon's position among the live members of its kind in the order of
// their ids, from 0 to 1, so that the daemons begin at different servers.
func (s *Scheduling) serverOffset() float64 {
	own, ok := s.members[s.self]
	if !ok {
		return 0
	}
	position, total := 0.0, 0.0
	for id, member := range s.members {
		if member.Kind != own.Kind || member.Status > membership.Suspect {
			continue
		}
		total++
		if id < s.self {
			position++
		}
	}
	if own.Kind == membership.Store {
		position += storeOffset
	}
	return position / max(1, total)
}

// acknowledge replies to a call that has no other result.
func (s *Scheduling) acknowledge(number uint64) { s.Calls.Emit(machine.Reply{Call: number}) }

// reject replies to a call with an error.
func (s *Scheduling) reject(number uint64, err error) {
	s.Calls.Emit(machine.Reply{Call: number, Err: err})
}

// FreshnessAdvanced handles up to when this daemon's updates are complete.
func (s *Scheduling) FreshnessAdvanced(at, now clock.Micros) []machine.Effect {
	s.Scheduler.AdvanceFreshness(at)
	return s.finishStep(now)
}

// finishStep ends a step: it assigns the queued requests that can be, and returns the effects.
func (s *Scheduling) finishStep(now clock.Micros) []machine.Effect {
	s.Scheduler.MatchUntilStable(now)
	return s.Calls.Drain()
}
