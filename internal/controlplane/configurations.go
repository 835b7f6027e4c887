package controlplane

import (
	"encoding/json"
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// This file is how configurations are put, read back and published (DESIGN §8.1, §8.2).

// Call is an ask that came in.
type Call struct {
	Number uint64
	Body   any
}

// Apply answers the ask by its type.
func (c Call) Apply(s *Core, now clock.Micros) {
	switch ask := c.Body.(type) {
	case PutConfigurationRequest:
		s.putConfiguration(c.Number, ask, now)
	case ConfigurationsRequest:
		s.readConfigurations(c.Number, ask, now)
	case RetireRequest:
		s.retire(c.Number, ask, now)
	case StatusRequest:
		response := StatusResponse{Core: s.self, Role: s.group().Role.String(), Epoch: s.group().Epoch, Vote: s.vote}
		response.Map, _ = json.Marshal(s.state.Map())
		if latest, ok := s.state.Latest(); ok {
			response.ConfigurationVersion = latest.Number
		}
		s.Emit(machine.Reply{Call: c.Number, Body: response})
	default:
		s.Emit(machine.Reply{Call: c.Number, Err: errs.New(errs.BadInput, "run the same release on all daemons", "a core knows no such ask: %T", ask)})
	}
}

func (s *Core) rejectNotPrimary(call uint64) {
	s.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the cores are agreeing on a primary", "this core is not primary (%s)", s.group().Role)})
}

// maxQueuedChanges is how many changes wait for their turn.
const maxQueuedChanges = 64

func (s *Core) putConfiguration(call uint64, request PutConfigurationRequest, now clock.Micros) {
	if !s.IsServing() {
		s.rejectNotPrimary(call)
		return
	}
	digest, err := state.DigestOf(request.Body)
	if err != nil {
		s.Emit(machine.Reply{Call: call, Err: errs.New(errs.InvalidConfiguration, "send one whole JSON document", "the configuration can't be read: %v", err)})
		return
	}
	if s.set.CheckConfiguration != nil {
		if err := s.set.CheckConfiguration(request.Body); err != nil {
			s.Emit(machine.Reply{Call: call, Err: err})
			return
		}
	}
	if len(s.queue) >= maxQueuedChanges {
		s.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.Busy, clock.Second, "send it again; it was not put", "too many configurations wait")})
		return
	}
	s.queue = append(s.queue, change{call: call, deadline: now + request.Timeout, configuration: &pendingConfiguration{request: request, digest: digest, receivedAt: now}})
	s.processQueue(now)
}

// pendingConfiguration is a configuration that waits for its turn; it is judged then.
type pendingConfiguration struct {
	request    PutConfigurationRequest
	digest     state.Digest
	receivedAt clock.Micros
}

// isSameRequest tells whether two orders are one order that was sent twice.
func (p *pendingConfiguration) isSameRequest(other *pendingConfiguration) bool {
	return p.request.Number == other.request.Number && p.request.HasBase == other.request.HasBase && p.request.Base == other.request.Base && p.digest == other.digest
}

// dependsOn tells whether an order is built on top of another one that waits, too.
func (p *pendingConfiguration) dependsOn(other *pendingConfiguration) bool {
	return p.request.HasBase && p.request.Number > p.request.Base && other.request.Number == p.request.Base
}

// appliedVersion finds the version that this order became, whether that is confirmed or on
// its way. An order of the operator's own number is recognised by the number and
// the document; one that the core numbered by the document and its base.
func (p *pendingConfiguration) appliedVersion(c *state.State) (uint64, bool) {
	var request state.AppliedRequest
	var known bool
	switch {
	case p.request.Number != 0:
		request, known = c.Requests.Find(p.request.Number)
	case p.request.HasBase:
		request, known = c.Requests.BuiltOn(p.request.Base)
	}
	return request.Number, known && request.Digest == p.digest
}

// isForgotten tells whether it is no longer known what became of such an order: it
// is older than all that the table of orders recognises.
func (p *pendingConfiguration) isForgotten(c *state.State) bool {
	oldest := c.Requests.ForgottenUpTo()
	if p.request.Number != 0 {
		return p.request.Number <= oldest
	}
	return p.request.HasBase && p.request.Base < oldest
}

// awaitsBase tells whether an order is built on a version above the one in force, which
// somebody may have put and nobody has brought here yet. No verdict on it would be final.
func (p *pendingConfiguration) awaitsBase(c *state.State) bool {
	latest, _ := c.Latest()
	return p.request.HasBase && p.request.Base > latest.Number && (p.request.Number == 0 || p.request.Number > p.request.Base)
}

// decide numbers the configuration, or turns it away where its base is not in force
// or its number is not above the one in force (DESIGN §8.1, §12.7). The entry is nil
// where the very same order was taken before: it is not written again. A refusal is
// final: numbers in force only rise, so an order that is refused once would be
// refused at any later time. (One built on a version that is yet to come waits, and is
// not judged.)
func (p *pendingConfiguration) decide(c *state.State) (state.Entry, uint64, error) {
	if number, taken := p.appliedVersion(c); taken {
		return nil, number, nil
	}
	if p.isForgotten(c) {
		return nil, 0, errs.New(errs.OutcomeUnknown, "read back what is in force; put what is missing under a new number",
			"more than %d configurations were put since: it is no longer known whether this one was among them", state.MaxRequests)
	}
	latest, _ := c.Latest()
	number := p.request.Number
	if _, other := c.Requests.Find(number); other {
		return nil, 0, errs.New(errs.StaleBase, "read the configuration in force, merge, and put with its version as base and a number above it", "version %d is there already and has another document", number)
	}
	if p.request.HasBase && p.request.Base != latest.Number {
		return nil, 0, errs.New(errs.StaleBase, "read the configuration in force, merge, and put with its version as base", "the configuration in force is version %d, not %d", latest.Number, p.request.Base)
	}
	if number == 0 {
		number = latest.Number + 1
	}
	if number <= latest.Number {
		return nil, 0, errs.New(errs.InvalidConfiguration, fmt.Sprintf("number the configuration above %d", latest.Number), "version %d is not above the one in force, %d", number, latest.Number)
	}
	return state.PutConfiguration{Version: state.Version{Number: number, Body: p.request.Body, By: p.request.By, At: p.receivedAt}}, number, nil
}

// readConfigurations reads back what is confirmed, under a fresh lease only: a
// primary that was deposed without knowing would take an older one for the newest.
func (s *Core) readConfigurations(call uint64, request ConfigurationsRequest, now clock.Micros) {
	if !s.HoldsLease(now) {
		s.rejectNotPrimary(call)
		return
	}
	body, err := readConfiguration(s.confirmedConfigurations(), request)
	s.Emit(machine.Reply{Call: call, Body: body, Err: err})
}

// confirmedConfigurations is what of the state every replica has on disk.
type confirmedConfigurations struct {
	versions []state.Version
	requests []state.AppliedRequest
}

func (s *Core) confirmedConfigurations() confirmedConfigurations {
	c := confirmedConfigurations{versions: s.state.Versions, requests: s.state.Requests.All()}
	if s.inFlight != nil && s.inFlight.configuration != nil {
		c.versions = c.versions[:len(c.versions)-1]
		c.requests = c.requests[:len(c.requests)-1]
	}
	return c
}

func readConfiguration(c confirmedConfigurations, ask ConfigurationsRequest) (any, error) {
	switch {
	case ask.Latest && len(c.versions) == 0:
		return nil, errs.New(errs.NotFound, "put a configuration", "no configuration was ever put")
	case ask.Latest:
		return ConfigurationsResponse{Versions: c.versions[len(c.versions)-1:]}, nil
	case ask.Version == 0:
		return listConfigurations(c), nil
	}
	for _, version := range c.versions {
		if version.Number == ask.Version {
			return ConfigurationsResponse{Versions: []state.Version{version}}, nil
		}
	}
	for _, request := range c.requests {
		if request.Number == ask.Version {
			return nil, errs.New(errs.NotFound, "read one of the newest versions, or look where you keep your configurations; the list tells this one's digest",
				"version %d was confirmed, but its document is no longer kept", ask.Version)
		}
	}
	return nil, errs.New(errs.NotFound, "list the versions there are", "no configuration version %d", ask.Version)
}

// listConfigurations lists the versions that can be read back, without their documents, and
// every order that is still recognised.
func listConfigurations(c confirmedConfigurations) ConfigurationsResponse {
	out := ConfigurationsResponse{Requests: c.requests}
	for _, version := range c.versions {
		version.Body = nil
		out.Versions = append(out.Versions, version)
	}
	return out
}

// publish hands what is confirmed to the membership's updates.
func (s *Core) publish() {
	if !s.IsServing() || s.inFlight != nil || s.state.Fleet == "" {
		return
	}
	if latest, ok := s.state.Latest(); ok && latest.Number > s.published.configuration {
		s.published.configuration = latest.Number
		s.Emit(machine.Publish{Update: configurationUpdate(latest)})
	}
	if s.state.Seq > s.published.seq {
		s.published.seq = s.state.Seq
		value, _ := json.Marshal(s.state.Map())
		s.Emit(machine.Publish{Update: machine.Update{Key: state.MapKey, Seq: s.state.Seq, Value: value}})
	}
	if epoch := s.group().Epoch; epoch > s.published.epoch {
		s.published.epoch = epoch
		core := state.CoreUpdate{Fleet: s.state.Fleet, Epoch: epoch, Primary: s.self.ID, Peer: s.self.Peer, Replicas: s.vote.Committed.IDs()[1:]}
		for _, ref := range s.vote.Voters {
			core.VoterPeers, core.VoterIDs = append(core.VoterPeers, ref.Peer), append(core.VoterIDs, ref.ID)
		}
		value, _ := json.Marshal(core)
		s.Emit(machine.Publish{Update: machine.Update{Key: state.CoreKey, Epoch: epoch, Value: value}})
	}
}

func configurationUpdate(version state.Version) machine.Update {
	value, _ := json.Marshal(version)
	return machine.Update{Key: state.ConfigurationKey, Seq: version.Number, Value: value}
}
