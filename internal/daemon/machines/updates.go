package machines

import (
	"encoding/json"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// updateHandlers maps each kind of update, which is the part of its key before the first slash,
// to its handler. An update whose value can't be read is ignored: it is from a later release.
var updateHandlers = map[string]func(s *Scheduling, update machine.Update, now clock.Micros){
	membership.KeyKind:     (*Scheduling).receiveMember,
	state.ConfigurationKey: (*Scheduling).receiveConfiguration,
	state.CoreKey:          (*Scheduling).receiveCores,
	endpoints.ServerKind:   (*Scheduling).receiveServer,
	endpoints.LoadKind:     (*Scheduling).receiveLoad,
}

// receive handles an update; kinds without a handler are ignored.
func (s *Scheduling) receive(update machine.Update, now clock.Micros) {
	kind, _, _ := strings.Cut(update.Key, "/")
	if handle, ok := updateHandlers[kind]; ok {
		handle(s, update, now)
	}
}

func (s *Scheduling) receiveMember(update machine.Update, _ clock.Micros) {
	if member, ok := membership.Decode(update.Value); ok && member.Status >= membership.Dead {
		delete(s.members, member.ID)
	} else if ok {
		s.members[member.ID] = member
	}
	s.Reports.SetIncarnation(s.members[s.self].Incarnation)
	s.Scheduler.SetRotationOffset(s.serverOffset())
	s.Scheduler.SetZone(s.members[s.self].Zone)
}

func (s *Scheduling) receiveConfiguration(update machine.Update, now clock.Micros) {
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
	if s.Scheduler.Configuration() == configuration {
		s.configurationBase = version.Base
	}
	s.Calls.Emit(machine.LogEvent{Event: ConfigurationApplied{Version: version.Number}})
}

func (s *Scheduling) receiveCores(update machine.Update, _ clock.Micros) {
	var cores state.CoreUpdate
	if json.Unmarshal(update.Value, &cores) == nil {
		s.Reports.SetPrimary(cores)
	}
}

func (s *Scheduling) receiveServer(update machine.Update, _ clock.Micros) {
	var server endpoints.Server
	if json.Unmarshal(update.Value, &server) == nil {
		s.Scheduler.SetServer(server)
	}
}

func (s *Scheduling) receiveLoad(update machine.Update, _ clock.Micros) {
	var load endpoints.Load
	if json.Unmarshal(update.Value, &load) == nil {
		s.Scheduler.SetLoad(strings.TrimPrefix(update.Key, endpoints.LoadPrefix), update.Epoch, load)
	}
}
