package machines

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Scheduling is what edges and stores have in common: the scheduler, the quota, and
// the directory of members.
type Scheduling struct {
	Calls     *machine.Calls
	Scheduler *scheduler.Scheduler
	Quota     *quota.Quota
	// ParseConfiguration turns a confirmed document into a configuration.
	ParseConfiguration config.ParseFunc
	self               string
	members            map[string]membership.Member
}

func newScheduling(self string, settings scheduler.Settings, seed int64, waiting func(s *Scheduling) func(string) int) *Scheduling {
	s := &Scheduling{Calls: machine.NewCalls(), Scheduler: scheduler.New(settings, seed), ParseConfiguration: config.Parse, self: self, members: map[string]membership.Member{}}
	s.Quota = quota.New(self, s.Calls, s.Members, waiting(s))
	return s
}

// Members is the directory in the agreed order.
func (s *Scheduling) Members() []membership.Member {
	out := make([]membership.Member, 0, len(s.members))
	for _, member := range s.members {
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// serverOffset is this daemon's place among those of its kind in the order of their ids,
// from 0 to 1; stores begin half a step later than edges.
func (s *Scheduling) serverOffset() float64 {
	own, ok := s.members[s.self]
	if !ok {
		return 0
	}
	position, total := 0.0, 0.0
	for id, member := range s.members {
		if member.Kind == own.Kind && member.Status <= membership.Suspect {
			total++
			if id < s.self {
				position++
			}
		}
	}
	if own.Kind == membership.Store {
		position += 0.5
	}
	return position / max(1, total)
}

// updateHandlers has what is done with each kind of update, by the first part of its
// key.
var updateHandlers = map[string]func(s *Scheduling, update machine.Update, now clock.Micros){
	membership.KeyKind: func(s *Scheduling, update machine.Update, _ clock.Micros) {
		if member, ok := membership.Decode(update.Value); ok && member.Status >= membership.Dead {
			delete(s.members, member.ID)
		} else if ok {
			s.members[member.ID] = member
		}
		s.Scheduler.SetServerOffset(s.serverOffset())
	},
	state.ConfigurationKey: func(s *Scheduling, update machine.Update, now clock.Micros) {
		var version state.Version
		if json.Unmarshal(update.Value, &version) != nil {
			return
		}
		configuration, err := s.ParseConfiguration(version.Body)
		if err != nil {
			s.Calls.Emit(machine.LogEvent{Event: ConfigurationUnreadable{Version: version.Number, Reason: err.Error()}})
			return
		}
		configuration.Version = version.Number
		s.Scheduler.SetConfiguration(configuration, now)
		s.Calls.Emit(machine.LogEvent{Event: ConfigurationApplied{Version: version.Number}})
	},
	endpoints.ServerKind: func(s *Scheduling, update machine.Update, _ clock.Micros) {
		var server endpoints.Server
		if json.Unmarshal(update.Value, &server) == nil {
			s.Scheduler.SetServer(server)
		}
	},
	endpoints.LoadKind: func(s *Scheduling, update machine.Update, _ clock.Micros) {
		var load endpoints.Load
		if json.Unmarshal(update.Value, &load) == nil {
			s.Scheduler.SetLoad(strings.TrimPrefix(update.Key, endpoints.LoadPrefix), update.Epoch, load)
		}
	},
}

func (s *Scheduling) receive(update machine.Update, now clock.Micros) {
	message, _, _ := strings.Cut(update.Key, "/")
	if handle, ok := updateHandlers[message]; ok {
		handle(s, update, now)
	}
}

// FreshnessAdvanced tells up to when this daemon's updates are complete.
func (s *Scheduling) FreshnessAdvanced(at, now clock.Micros) []machine.Effect {
	s.Scheduler.AdvanceFreshness(at)
	return s.finishStep(now)
}

// finishStep ends a step: what can be assigned is, and the effects are returned.
func (s *Scheduling) finishStep(now clock.Micros) []machine.Effect {
	s.Scheduler.MatchUntilStable(now)
	return s.Calls.Drain()
}
