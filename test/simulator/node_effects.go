package simulator

import (
	"strings"

	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/serverpoll"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
)

// execute carries out effects in their order. A halt ends the node and drops the rest.
func (n *Node) execute(effects []machine.Effect) {
	for _, effect := range effects {
		if n.world.OnEffect != nil {
			n.world.OnEffect(n, effect)
		}
		if halt, ok := effect.(machine.Halt); ok {
			n.halt(halt)
			return
		}
		n.apply(effect)
	}
}

func (n *Node) apply(effect machine.Effect) {
	w := n.world
	switch e := effect.(type) {
	case machine.Send:
		to := w.nodeByPeer[e.To]
		w.transmit(n, to, e.Body, func() { to.receive(n.Peer, e.Body) })
	case machine.Persist, machine.Compact, machine.Archive, machine.DeleteArchive:
		n.queueWrite(writeOf(effect))
	case machine.Publish, machine.Broadcast, machine.UpdateReceived, machine.Freshness:
		n.applyUpdate(effect)
	case machine.Reply:
		if callback := n.calls[e.Call]; callback != nil {
			delete(n.calls, e.Call)
			callback(e)
		}
	case machine.Request:
		n.request(e)
	case machine.LogEvent:
		w.Tracef("%s: %s %+v", n.Name, e.Event.EventName(), e.Event)
	case machine.Execute:
		n.executeTask(e.Task)
	}
}

// applyUpdate carries updates between the machine and the gossip.
func (n *Node) applyUpdate(effect machine.Effect) {
	w := n.world
	switch e := effect.(type) {
	case machine.Publish:
		n.execute(n.gossip.Do(gossip.Publish{Update: e.Update}, w.Now))
	case machine.Broadcast:
		n.execute(n.gossip.Do(gossip.Broadcast(e), w.Now))
	case machine.UpdateReceived:
		n.recordUpdate(e.Update)
		if n.machine != nil {
			n.execute(n.machine.UpdateReceived(e.Update, w.Now))
		}
	case machine.Freshness:
		if n.machine != nil {
			n.execute(n.machine.FreshnessAdvanced(e.At, w.Now))
		}
	}
}

// request calls another daemon and has the machine take its response.
func (n *Node) request(e machine.Request) {
	w, generation := n.world, n.generation
	w.Call(n, e.To, e.Body, e.Timeout, func(body any, err error) {
		n.runOrDefer(func() {
			if n.generation == generation {
				n.execute(n.machine.ReplyReceived(e.Token, body, err, w.Now))
			}
		})
	})
}

func (n *Node) halt(e machine.Halt) {
	n.world.Tracef("%s halts: %v", n.Name, e.Err)
	n.HaltError = e.Err
	n.Crash()
}

// receive has the gossip or the machine take a message from another daemon.
func (n *Node) receive(from string, body any) {
	switch {
	case gossip.IsMessage(body):
		n.execute(n.gossip.Do(gossip.Message{From: from, Body: body}, n.world.Now))
	case n.machine != nil:
		n.execute(n.machine.Message(from, body, n.world.Now))
	}
}

// executeTask carries out a task towards the servers, as the daemon's shell does
// (internal/daemon/effects).
func (n *Node) executeTask(task any) {
	w := n.world
	switch t := task.(type) {
	case execution.Attempt:
		if t.ForwardedItem != nil {
			n.forwardItem(t)
		} else {
			n.executeItem(t)
		}
	case execution.CancelAttempt:
		if call := n.serverCalls[t.AttemptID]; call != nil {
			delete(n.serverCalls, t.AttemptID)
			call.cancel()
		}
	case serverpoll.PollTask:
		w.pollServer(n, t)
	case exclusive.Task:
		w.Outside.perform(n, t)
	}
}

// executeItem runs an item of a batch on its server and reports the result to the machine.
func (n *Node) executeItem(attempt execution.Attempt) {
	w := n.world
	var output strings.Builder
	onChunk := func(chunk string) {
		if output.Len() == 0 {
			n.execute(n.machine.Call(0, execution.AttemptStarted{AttemptID: attempt.ID}, w.Now))
		}
		output.WriteString(chunk)
	}
	onDone := func(outcome modelclient.Outcome, reason string) {
		delete(n.serverCalls, attempt.ID)
		n.execute(n.machine.Call(0, execution.AttemptResult{AttemptID: attempt.ID, Outcome: outcome, Output: output.String(), Reason: reason}, w.Now))
	}
	n.serverCalls[attempt.ID] = w.callServer(n, attempt.Request, onChunk, onDone)
}
