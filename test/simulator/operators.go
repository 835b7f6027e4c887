package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/membership"
)

// This file is operators who number their own configurations, build them on the version
// they read, and send a request again when its response does not come.

// ConfigurationRead is one read of the latest configuration as its operator saw it.
type ConfigurationRead struct {
	CalledAt, AnsweredAt clock.Micros
	Version              uint64
	Document             int // its number among the documents of the run; -1 when unknown
	NotFound             bool
	Failed               bool // no response, or none that says anything
}

// configurationChange is an operator's numbered configuration; it may be sent more than once.
type configurationChange struct {
	document  int
	body      []byte
	version   uint64 // 0: the core numbers it, whatever is in force
	base      uint64
	confirmed bool // an acknowledgement was given, whether the operator received it or not
	resolved  bool // the operator has a clear response
}

// operatorTimeout is the timeout that a request carries; operatorGrace is how much longer its
// operator waits for the response.
const (
	operatorTimeout = 4 * clock.Second
	operatorGrace   = 500 * clock.Millisecond
)

// newConfigurationChange writes a configuration under a number of the operator's choice.
func (v *Workload) newConfigurationChange(number, base uint64) *configurationChange {
	v.lastDocument++
	change := &configurationChange{document: v.lastDocument, version: number, base: base}
	change.body = v.world.configurationDocument(change.document)
	v.documentNumbers[string(change.body)] = change.document
	return change
}

// SendConfiguration sends a change to a core's view of the primary. With dropResponse the
// operator does not receive the response. The callback, which may be nil, runs once; with nil
// where the core can't send.
func (v *Workload) SendConfiguration(at *Node, change *configurationChange, dropResponse bool, callback func(p *ConfigurationPut)) {
	w := v.world
	if callback == nil {
		callback = func(*ConfigurationPut) {}
	}
	if !at.up || at.coreUpdate.Peer == "" {
		w.After(clock.Millisecond, func() { callback(nil) })
		return
	}
	p := change.newPut(w.Now)
	v.ConfigurationPuts = append(v.ConfigurationPuts, p)
	v.PendingCalls++
	w.Call(at, at.coreUpdate.Peer, change.request(at.Name), operatorTimeout+operatorGrace, func(response any, err error) {
		v.PendingCalls--
		p.AnsweredAt = w.Now
		w.Tracef("%s: document %d as version %d on %d: %v %v, response lost %v", at.Name, change.document, change.version, change.base, response, err, dropResponse)
		v.recordResponse(change, p, response, err, dropResponse)
		callback(p)
	})
}

// newPut is one put of the change, sent now.
func (change *configurationChange) newPut(now clock.Micros) *ConfigurationPut {
	return &ConfigurationPut{
		Document:         change.document,
		Body:             string(change.body),
		Sent:             string(change.body),
		CalledAt:         now,
		HasBase:          change.version > 0,
		Base:             change.base,
		RequestedVersion: change.version,
	}
}

func (change *configurationChange) request(by string) controlplane.PutConfigurationRequest {
	return controlplane.PutConfigurationRequest{
		Body:    change.body,
		Number:  change.version,
		Base:    change.base,
		HasBase: change.version > 0,
		By:      by,
		Timeout: operatorTimeout,
	}
}

// recordResponse records what a put came to, and checks it.
func (v *Workload) recordResponse(change *configurationChange, p *ConfigurationPut, response any, err error, dropped bool) {
	ack, ok := response.(controlplane.PutConfigurationResponse)
	confirmed := err == nil && ok
	v.checkResponse(change, err, confirmed)
	switch {
	case dropped:
		p.Unknown = true
	case confirmed:
		change.resolved = true
		v.configurationConfirmed(p, ack)
	case errs.Is(err, errs.StaleBase), errs.Is(err, errs.InvalidConfiguration):
		p.Stale, change.resolved = true, true
	case errs.Is(err, errs.OutcomeUnknown):
		p.Unknown = true
	default:
		p.Rejected = true
	}
}

// checkResponse checks a response against those that earlier attempts of the change had.
func (v *Workload) checkResponse(change *configurationChange, err error, confirmed bool) {
	if confirmed {
		change.confirmed = true
		return
	}
	v.countCheck(resendAcknowledged)
	if change.confirmed && (errs.Is(err, errs.StaleBase) || errs.Is(err, errs.InvalidConfiguration)) {
		v.reportViolation(resendAcknowledged, "version %d was confirmed; sent again, it is rejected: %v", change.version, err)
	}
}

// configurationConfirmed records an acknowledgement, and checks later that it is in force.
func (v *Workload) configurationConfirmed(p *ConfigurationPut, ack controlplane.PutConfigurationResponse) {
	p.Version = ack.Version
	v.LastServed[configurationsServed] = v.world.Now
	if known, applied := v.configurationBodies[ack.Version]; applied && known != p.Body {
		v.reportViolation(configurationInForce, "configuration %d confirmed as %s and as %s", ack.Version, known, p.Body)
	}
	v.configurationBodies[ack.Version] = p.Body
	v.world.After(2*clock.Second, func() { v.checkInForceEverywhere(p) })
}

// SendUntilResolved sends a change again, to any core, until its outcome is clear.
func (v *Workload) SendUntilResolved(change *configurationChange, attempts int) {
	if change.resolved || attempts == 0 {
		return
	}
	v.SendConfiguration(v.world.randomNode(membership.Core), change, false, func(*ConfigurationPut) {
		v.world.After(v.world.randomBetween(100, 800)*clock.Millisecond, func() { v.SendUntilResolved(change, attempts-1) })
	})
}

// ReadLatestConfiguration reads the latest configuration at a core.
func (v *Workload) ReadLatestConfiguration(at *Node, callback func(r *ConfigurationRead)) {
	w := v.world
	r := &ConfigurationRead{CalledAt: w.Now, Document: -1}
	if !at.up || at.coreUpdate.Peer == "" {
		r.Failed = true
		w.After(clock.Millisecond, func() { callback(r) })
		return
	}
	v.ConfigurationReads = append(v.ConfigurationReads, r)
	w.Call(at, at.coreUpdate.Peer, controlplane.ConfigurationsRequest{Latest: true}, operatorTimeout, func(response any, err error) {
		r.AnsweredAt = w.Now
		configurations, ok := response.(controlplane.ConfigurationsResponse)
		switch {
		case errs.Is(err, errs.NotFound):
			r.NotFound = true
		case err != nil || !ok || len(configurations.Versions) != 1:
			r.Failed = true
		default:
			r.Version = configurations.Versions[0].Number
			v.countCheck(configurationInForce)
			if document, known := v.documentNumbers[string(configurations.Versions[0].Body)]; known {
				r.Document = document
			} else {
				v.reportViolation(configurationInForce, "%s reads back version %d with a document that no operator put", at.Name, r.Version)
			}
		}
		callback(r)
	})
}

// operator reads the latest configuration and puts the next version on it, again and again.
type operator struct {
	workload  *Workload
	cores     []*Node
	latest    uint64
	confirmed []*ConfigurationPut
	stopped   bool
	changes   []*configurationChange
}

// startOperator lets an operator work at some cores until it is stopped.
func (v *Workload) startOperator(cores []*Node) *operator {
	op := &operator{workload: v, cores: cores}
	if len(cores) > 0 {
		op.read()
	}
	return op
}

func (op *operator) randomCore() *Node { return op.cores[op.workload.world.Random.Intn(len(op.cores))] }

// pauseThen waits a moment before the next step.
func (op *operator) pauseThen(next func()) {
	op.workload.world.After(op.workload.world.randomBetween(100, 700)*clock.Millisecond, func() {
		if !op.stopped && op.workload.Calling {
			next()
		}
	})
}

func (op *operator) read() {
	op.workload.ReadLatestConfiguration(op.randomCore(), func(r *ConfigurationRead) {
		if !r.Failed {
			op.latest = r.Version
		}
		if r.Failed || op.workload.world.Random.Intn(3) == 0 {
			op.pauseThen(op.read)
			return
		}
		op.pauseThen(op.put)
	})
}

func (op *operator) put() {
	v := op.workload
	change := v.newConfigurationChange(op.latest+1, op.latest)
	op.changes = append(op.changes, change)
	op.send(change, 3)
}

// send sends a change, and again at other cores while its outcome is not clear.
func (op *operator) send(change *configurationChange, attempts int) {
	v := op.workload
	v.SendConfiguration(op.randomCore(), change, v.world.Random.Intn(6) == 0, func(p *ConfigurationPut) {
		if p != nil && p.Version > 0 {
			op.latest = max(op.latest, p.Version)
			op.confirmed = append(op.confirmed, p)
		}
		if !change.resolved && attempts > 1 {
			op.pauseThen(func() { op.send(change, attempts-1) })
			return
		}
		op.pauseThen(op.read)
	})
}

// stop ends the operator's work. Changes whose outcome is not clear are sent again to any core,
// and some of those that were confirmed too, though newer versions have come.
func (op *operator) stop() {
	op.stopped = true
	for _, change := range op.changes {
		if !change.resolved {
			op.workload.SendUntilResolved(change, 40)
		} else if op.workload.world.Random.Intn(4) == 0 {
			op.workload.SendConfiguration(op.workload.world.randomNode(membership.Core), change, false, nil)
		}
	}
}
