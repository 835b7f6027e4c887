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

// Call is an incoming request that expects a reply.
type Call struct {
	Number uint64
	Body   any // one of the requests in messages.go
}

// Apply dispatches the request by its type: it replies at once or queues the requested change.
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
		c.Emit(machine.Reply{Call: call.Number, Err: errs.New(errs.BadInput, "run the same release on all daemons", "unknown request type %T", request)})
	}
}

// status describes this core; every core answers it, primary or not.
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
		"retry; the cores are electing a primary", "this core is not primary (%s)", c.group().Role)})
}

// putConfiguration queues a configuration; it is checked against its base when it leaves the queue.
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

// patchConfiguration queues a patch; it is checked against its base and applied when it leaves the
// queue.
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

// queueConfiguration queues an operator's request, or rejects it if the queue is full.
func (c *Core) queueConfiguration(call uint64, timeout, now clock.Micros, configuration changequeue.Configuration) {
	if c.queue.IsFull() {
		c.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.Busy, clock.Second, "send it again; nothing was changed", "too many configurations are queued")})
		return
	}
	c.queue.Add(changequeue.Change{Call: call, Deadline: now + timeout, Configuration: &configuration})
	c.processQueue(now)
}

// checkConfiguration validates a document independently of the state and returns its digest.
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
	return errs.New(errs.InvalidConfiguration, "send one complete JSON document", "the configuration can't be parsed: %v", err)
}

// readOnlyTimeout limits how long a read-only request waits in the queue.
const readOnlyTimeout = 2 * clock.Second

// retire queues a request to retire a store; it is decided when it leaves the queue.
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
