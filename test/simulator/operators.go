package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/membership"
)

// This file is operators who number their own configurations, build them on the
// version they read, and send an order again when its answer does not come.

// ConfigurationRead is one reading of the latest configuration as its operator saw it.
type ConfigurationRead struct {
	CalledAt, AnsweredAt clock.Micros
	Version              uint64
	Document             int // its number among the documents of the day; -1 when unknown
	NotFound             bool
	Failed               bool // no answer, or none that says anything
}

// configurationChange is an operator's numbered configuration; it may be sent more than once.
type configurationChange struct {
	document  int
	body      []byte
	version   uint64 // 0: the core numbers it, whatever is in force
	base      uint64
	confirmed bool // an acknowledgement was given, whether the operator heard of it or not
	resolved  bool // the operator has a clear answer
}

const (
	operatorTimeout = 4 * clock.Second
	operatorGrace   = 500 * clock.Millisecond
)

// newConfigurationChange writes a configuration under a number of the operator's choice.
func (v *Workload) newConfigurationChange(number, base uint64) *configurationChange {
	v.lastDocument++
	change := &configurationChange{document: v.lastDocument, version: number, base: base}
	change.body = configurationDocument(change.document, v.world.Forwarding)
	v.documentNumbers[string(change.body)] = change.document
	return change
}

// SendConfiguration sends an order to a core, which asks whom it takes for the primary. Where
// the answer is lost the operator hears nothing. told may be nil.
func (v *Workload) SendConfiguration(at *Node, change *configurationChange, dropResponse bool, callback func(p *ConfigurationPut)) {
	w := v.world
	if !at.up || at.coreUpdate.Peer == "" {
		if callback != nil {
			w.After(clock.Millisecond, func() { callback(nil) })
		}
		return
	}
	p := &ConfigurationPut{Document: change.document, Body: string(change.body), CalledAt: w.Now, HasBase: change.version > 0, Base: change.base, RequestedVersion: change.version}
	v.ConfigurationPuts = append(v.ConfigurationPuts, p)
	v.PendingCalls++
	request := controlplane.PutConfigurationRequest{Body: change.body, Number: change.version, Base: change.base, HasBase: change.version > 0, By: at.Name, Timeout: operatorTimeout}
	w.Call(at, at.coreUpdate.Peer, request, operatorTimeout+operatorGrace, func(response any, err error) {
		v.PendingCalls--
		p.AnsweredAt = w.Now
		ack, ok := response.(controlplane.PutConfigurationResponse)
		w.Tracef("%s: order %d as version %d on %d: %v %v, answer lost %v", at.Name, change.document, change.version, change.base, response, err, dropResponse)
		v.checkResponse(change, err, err == nil && ok)
		switch {
		case dropResponse:
			p.Unknown = true
		case err == nil && ok:
			change.resolved = true
			v.configurationConfirmed(p, ack)
		case errs.Is(err, errs.StaleBase), errs.Is(err, errs.InvalidConfiguration):
			p.Stale, change.resolved = true, true
		case errs.Is(err, errs.OutcomeUnknown):
			p.Unknown = true
		default:
			p.Rejected = true
		}
		if callback != nil {
			callback(p)
		}
	})
}

// checkResponse judges an answer by what the order's earlier tries were given.
func (v *Workload) checkResponse(change *configurationChange, err error, confirmed bool) {
	if confirmed {
		change.confirmed = true
		return
	}
	v.countCheck(resendAcknowledged)
	if change.confirmed && (errs.Is(err, errs.StaleBase) || errs.Is(err, errs.InvalidConfiguration)) {
		v.reportViolation(resendAcknowledged, "version %d was confirmed; sent again, it is refused: %v", change.version, err)
	}
}

// configurationConfirmed notes an acknowledgement, and looks later whether it is in force.
func (v *Workload) configurationConfirmed(p *ConfigurationPut, ack controlplane.PutConfigurationResponse) {
	p.Version = ack.Version
	v.LastServed[configurationsServed] = v.world.Now
	if known, applied := v.configurationBodies[ack.Version]; applied && known != p.Body {
		v.reportViolation(configurationInForce, "plan version %d confirmed as %s and as %s", ack.Version, known, p.Body)
	}
	v.configurationBodies[ack.Version] = p.Body
	v.world.After(2*clock.Second, func() { v.checkInForceEverywhere(p) })
}

// SendUntilResolved sends an order again, to any core, until its outcome is clear.
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
		w.After(clock.Millisecond, func() { r.Failed = true; callback(r) })
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
				v.reportViolation(configurationInForce, "%s reads back version %d with a document that nobody put", at.Name, r.Version)
			}
		}
		callback(r)
	})
}

// operator is one who reads, and puts the next version on what was read.
type operator struct {
	workload *Workload
	cores    []*Node
	latest   uint64
	// Confirmed is when each of this operator's orders was confirmed.
	Confirmed []*ConfigurationPut
	stopped   bool
	changes   []*configurationChange
}

// StartOperator lets an operator work at some cores until it is stopped.
//
//revive:disable-next-line:unexported-return callers only hold what it returns
func (v *Workload) StartOperator(cores []*Node) *operator {
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

// send sends an order, and again at other cores while nothing is clear.
func (op *operator) send(change *configurationChange, attempts int) {
	v := op.workload
	v.SendConfiguration(op.randomCore(), change, v.world.Random.Intn(6) == 0, func(p *ConfigurationPut) {
		if p != nil && p.Version > 0 {
			op.latest = max(op.latest, p.Version)
			op.Confirmed = append(op.Confirmed, p)
		}
		if !change.resolved && attempts > 1 {
			op.pauseThen(func() { op.send(change, attempts-1) })
			return
		}
		op.pauseThen(op.read)
	})
}

// stop ends the operator's work; what is not clear yet is sent again to any core,
// and some of what was confirmed too, though newer versions have come.
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
