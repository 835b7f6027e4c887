package controlplane

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/changequeue"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

// Call is a request that came in and is to be answered.
type Call struct {
	Number uint64
	Body   any // one of the requests in messages.go
}

// Apply answers the request by its type, or queues the change that it asks for.
func (call Call) Apply(c *Core, now clock.Micros) {
	switch request := call.Body.(type) {
	case PutConfigurationRequest:
		c.putConfiguration(call.Number, request, now)
	case PatchConfigurationRequest:
		c.patchConfiguration(call.Number, request, now)
	case ConfigurationsRequest:
		c.readConfigurations(call.Number, request, now)
	case RetireRequest:
		c.retire(call.Number, request, now)
	case primaryreport.Report:
		c.receiveReport(call.Number, request, now)
	case exclusive.Request:
		c.requestPermits(call.Number, request, now)
	case ActsRequest:
		c.readActs(call.Number, now)
	case StatusRequest:
		c.Emit(machine.Reply{Call: call.Number, Body: c.status()})
	default:
		c.Emit(machine.Reply{Call: call.Number, Err: errs.New(errs.BadInput, "run the same release on all daemons", "a core knows no such request: %T", request)})
	}
}

// status is this core's own account; any core gives it.
func (c *Core) status() StatusResponse {
	response := StatusResponse{
		Core:  c.self,
		Role:  c.group().Role.String(),
		Epoch: c.group().Epoch,
		Vote:  c.Vote(),
	}
	response.Map, _ = json.Marshal(c.state.Map())
	if latest, ok := c.state.Latest(); ok {
		response.ConfigurationVersion = latest.Number
	}
	return response
}

func (c *Core) rejectNotPrimary(call uint64) {
	c.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.NotReady, clock.Second,
		"ask again; the cores are agreeing on a primary", "this core is not primary (%s)", c.group().Role)})
}

// putConfiguration queues a configuration; it is decided at its turn.
func (c *Core) putConfiguration(call uint64, request PutConfigurationRequest, now clock.Micros) {
	if !c.IsServing() {
		c.rejectNotPrimary(call)
		return
	}
	digest, err := c.checkConfiguration(request.Body)
	if err != nil {
		c.Emit(machine.Reply{Call: call, Err: err})
		return
	}
	c.queueConfiguration(call, request.Timeout, now, changequeue.Configuration{
		Number:     request.Number,
		Base:       request.Base,
		HasBase:    request.HasBase,
		Body:       request.Body,
		By:         request.By,
		Digest:     digest,
		ReceivedAt: now,
	})
}

// patchConfiguration queues a patch; it is applied and decided at its turn.
func (c *Core) patchConfiguration(call uint64, request PatchConfigurationRequest, now clock.Micros) {
	if !c.IsServing() {
		c.rejectNotPrimary(call)
		return
	}
	patch, err := c.settings.PatchFormat.Parse(request.Body)
	if err != nil {
		c.Emit(machine.Reply{Call: call, Err: err})
		return
	}
	digest, err := state.DigestOf(request.Body)
	if err != nil {
		c.Emit(machine.Reply{Call: call, Err: errUnreadableConfiguration(err)})
		return
	}
	c.queueConfiguration(call, request.Timeout, now, changequeue.Configuration{
		Number:     patch.Version,
		Base:       request.Base,
		HasBase:    request.HasBase,
		Patch:      patch,
		By:         request.By,
		Digest:     digest,
		ReceivedAt: now,
	})
}

// queueConfiguration queues an operator's request, as far as there is room.
func (c *Core) queueConfiguration(call uint64, timeout, now clock.Micros, configuration changequeue.Configuration) {
	if c.queue.IsFull() {
		c.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.Busy, clock.Second, "send it again; it was not put", "too many configurations wait")})
		return
	}
	c.queue.Add(changequeue.Change{Call: call, Deadline: now + timeout, Configuration: &configuration})
	c.processQueue(now)
}

// checkConfiguration checks a document by itself and gives its digest.
func (c *Core) checkConfiguration(body []byte) (state.Digest, error) {
	digest, err := state.DigestOf(body)
	if err != nil {
		return digest, errUnreadableConfiguration(err)
	}
	if c.settings.CheckConfiguration == nil {
		return digest, nil
	}
	return digest, c.settings.CheckConfiguration(body)
}

func errUnreadableConfiguration(err error) error {
	return errs.New(errs.InvalidConfiguration, "send one whole JSON document", "the configuration can't be read: %v", err)
}

// readOnlyTimeout is how long a request that changes nothing may wait for its turn.
const readOnlyTimeout = 2 * clock.Second

// retire queues a request to retire a store; it is decided at its turn.
func (c *Core) retire(call uint64, request RetireRequest, now clock.Micros) {
	if !c.IsServing() {
		c.rejectNotPrimary(call)
		return
	}
	timeout := request.Timeout
	if request.ReadOnly && timeout == 0 {
		timeout = readOnlyTimeout
	}
	c.queue.Add(changequeue.Change{
		Call:     call,
		Deadline: now + timeout,
		Retirement: &changequeue.Retirement{
			ID:       request.ID,
			Name:     request.Name,
			Cancel:   request.Cancel,
			ReadOnly: request.ReadOnly,
		},
	})
	c.processQueue(now)
}
