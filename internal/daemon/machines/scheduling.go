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

// Scheduling has the components that edges and stores have in common: the scheduler, the quota,
// the members, and the exchange and reporting of load.
type Scheduling struct {
	Calls     *machine.Calls
	Scheduler *scheduler.Scheduler
	Quota     *quota.Quota
	// Observations exchanges observations of model servers between the daemons of a zone.
	Observations *observations.Exchange
	// Reports sends the reports of the components that are added to it to the primary core.
	Reports *primaryreport.Sender
	// ParseConfiguration parses the body of a confirmed configuration version.
	ParseConfiguration config.ParseFunc

	self    string // the daemon's id
	members map[string]membership.Member
	// configurationBase is the version that preceded the one in force; 0 if unknown.
	configurationBase uint64
}

// newScheduling makes the common components. shardMap returns the cluster map as this daemon knows it.
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

// Members lists the members in the order of their ids, which is the same at every daemon.
func (s *Scheduling) Members() []membership.Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b membership.Member) int { return strings.Compare(a.ID, b.ID) })
}

// connectionShares counts the live members that share the model servers' connections, by kind.
func (s *Scheduling) connectionShares() (shares connections.DaemonCounts) {
	for _, member := range s.members {
		shares.Add(member.Kind)
	}
	return shares
}

// storeOffset is how much later than edges stores begin, in positions of one daemon.
const storeOffset = 0.5

// serverOffset returns this daemon's position among the live members of its kind in the order
// of their ids, as a fraction from 0 to 1, so that the daemons begin at different servers.
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

// acknowledge replies to a call that has no result.
func (s *Scheduling) acknowledge(number uint64) { s.Calls.Emit(machine.Reply{Call: number}) }

// reject replies to a call with an error.
func (s *Scheduling) reject(number uint64, err error) {
	s.Calls.Emit(machine.Reply{Call: number, Err: err})
}

// FreshnessAdvanced handles an advance of the time up to which this daemon's updates are complete.
func (s *Scheduling) FreshnessAdvanced(at, now clock.Micros) []machine.Effect {
	s.Scheduler.AdvanceFreshness(at)
	return s.finishStep(now)
}

// finishStep ends a step: it assigns queued requests to servers as far as possible, and returns the
// effects of the step.
func (s *Scheduling) finishStep(now clock.Micros) []machine.Effect {
	s.Scheduler.MatchUntilStable(now)
	return s.Calls.Drain()
}
