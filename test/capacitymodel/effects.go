package capacitymodel

import (
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/serverpoll"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
)

// applyEffects carries out effects in their order, as the event loop does. A halt ends the
// daemon and drops the rest.
func (d *daemon) applyEffects(effects []machine.Effect) {
	for _, effect := range effects {
		if _, halts := effect.(machine.Halt); halts {
			d.crash()
			return
		}
		d.applyEffect(effect)
	}
}

func (d *daemon) applyEffect(effect machine.Effect) {
	switch e := effect.(type) {
	case machine.Send:
		d.fleet.send(d, e.To, e.Body)
	case machine.Persist, machine.Compact, machine.Archive, machine.DeleteArchive:
		d.disk.queue = append(d.disk.queue, effect)
		d.startSync()
	case machine.Reply:
		if onReply := d.pendingCalls[e.Call]; onReply != nil {
			delete(d.pendingCalls, e.Call)
			onReply(e)
		}
	case machine.Publish, machine.Broadcast, machine.UpdateReceived, machine.Freshness:
		d.applyUpdate(effect)
	case machine.Request:
		d.request(e)
	case machine.Execute:
		d.executeTask(e.Task)
	}
}

// applyUpdate carries updates between the machine and the gossip. The simulator's nodes do the
// same (test/simulator/node_effects.go); what they record on the way differs.
func (d *daemon) applyUpdate(effect machine.Effect) {
	now := d.fleet.Now
	switch e := effect.(type) {
	case machine.Publish:
		d.applyEffects(d.gossip.Do(gossip.Publish{Update: e.Update}, now))
	case machine.Broadcast:
		d.applyEffects(d.gossip.Do(gossip.Broadcast(e), now))
	case machine.UpdateReceived:
		d.recordUpdate(e.Update)
		if d.machine != nil {
			d.applyEffects(d.machine.UpdateReceived(e.Update, now))
		}
	case machine.Freshness:
		if d.machine != nil {
			d.applyEffects(d.machine.FreshnessAdvanced(e.At, now))
		}
	}
}

// recordUpdate records the newest configuration, and in a simulated edge the newest load of
// each server.
func (d *daemon) recordUpdate(update machine.Update) {
	if update.Key == state.ConfigurationKey && update.Seq > d.configurationVersion {
		d.configurationVersion = update.Seq
		d.fleet.configurations.versionReached(d.fleet, d, update.Seq)
	}
	if name, ok := strings.CutPrefix(update.Key, loadKeyPrefix); ok && d.machine == nil {
		d.loadVersions[name] = loadVersion{update.Epoch, update.Seq}
	}
}

// loadKeyPrefix begins the keys of updates of a server's load (endpoints.LoadKey).
const loadKeyPrefix = "load/"

// request calls another daemon and has the machine take its response.
func (d *daemon) request(e machine.Request) {
	f, generation := d.fleet, d.generation
	f.request(d, e.To, e.Body, e.Timeout, func(body any, err error) {
		if d.up && d.generation == generation {
			d.runStep(func() { d.applyEffects(d.machine.ReplyReceived(e.Token, body, err, f.Now)) })
		}
	})
}

// deliver has the gossip or the machine take a message from another daemon.
func (d *daemon) deliver(from string, body any) {
	switch {
	case gossip.IsMessage(body):
		d.applyEffects(d.gossip.Do(gossip.Message{From: from, Body: body}, d.fleet.Now))
	case d.machine != nil:
		d.applyEffects(d.machine.Message(from, body, d.fleet.Now))
	}
}

// call calls the daemon's machine; onReply runs once, with its reply.
func (d *daemon) call(body any, onReply func(machine.Reply)) {
	d.fleet.lastCall++
	d.pendingCalls[d.fleet.lastCall] = onReply
	d.applyEffects(d.machine.Call(d.fleet.lastCall, body, d.fleet.Now))
}

// executeTask carries out a task towards the servers: a poll, or an item of a batch.
func (d *daemon) executeTask(task any) {
	f := d.fleet
	switch t := task.(type) {
	case serverpoll.PollTask:
		if !f.polling {
			f.deferredPolls = append(f.deferredPolls, func() { d.executeTask(task) })
			return
		}
		f.tallyOf(d).polls++
		running := f.runningRequests(t.Name)
		d.callLater(f.randomBetween(500, 2500), serverpoll.PollResult{PollTask: t, Running: running, Healthy: true, StartedAt: f.Now})
	case execution.Attempt:
		span := f.randomBetween(100, 300) * clock.Millisecond
		d.callLater(span/8, execution.AttemptStarted{AttemptID: t.ID})
		d.callLater(span, execution.AttemptResult{AttemptID: t.ID, Outcome: modelclient.Complete, Output: itemOutput})
	}
}

// callLater gives the machine a result after a span, unless the process ends before.
func (d *daemon) callLater(span clock.Micros, body any) {
	f, generation := d.fleet, d.generation
	f.After(span, func() {
		if d.generation == generation && d.up {
			d.runStep(func() { d.applyEffects(d.machine.Call(0, body, f.Now)) })
		}
	})
}
