package controlplane

import (
	"encoding/json"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
)

// published is the number of the last update of each kind that this core published.
type published struct{ configuration, seq, epoch uint64 }

// publish sends confirmed state to gossip: the configuration in force, the shard map and the
// identity of the primary. Nothing is published while a change is in flight, as the state
// already contains that change.
func (c *Core) publish() {
	if !c.IsServing() || c.queue.HasInFlight() || c.state.Fleet == "" {
		return
	}
	if latest, ok := c.state.Latest(); ok && latest.Number > c.published.configuration {
		c.published.configuration = latest.Number
		c.Emit(machine.Publish{Update: configurationUpdate(latest)})
	}
	if c.state.Seq > c.published.seq {
		c.published.seq = c.state.Seq
		value, _ := json.Marshal(c.state.Map())
		c.Emit(machine.Publish{Update: machine.Update{Key: state.MapKey, Seq: c.state.Seq, Value: value}})
	}
	if epoch := c.group().Epoch; epoch > c.published.epoch {
		c.published.epoch = epoch
		value, _ := json.Marshal(c.coreUpdate(epoch))
		c.Emit(machine.Publish{Update: machine.Update{Key: state.CoreKey, Epoch: epoch, Value: value}})
	}
}

// skipMapUpdate records, after a change that does not affect the shard map, that the published map
// is still current.
func (c *Core) skipMapUpdate() {
	if c.published.seq+1 == c.state.Seq {
		c.published.seq = c.state.Seq
	}
}

// coreUpdate returns the update that names this core as primary and lists the other cores.
func (c *Core) coreUpdate(epoch uint64) state.CoreUpdate {
	vote := c.Vote()
	update := state.CoreUpdate{
		Fleet:    c.state.Fleet,
		Epoch:    epoch,
		Primary:  c.self.ID,
		Peer:     c.self.Peer,
		Replicas: vote.Committed.IDs()[1:],
	}
	for _, ref := range vote.Voters {
		update.VoterPeers = append(update.VoterPeers, ref.Peer)
		update.VoterIDs = append(update.VoterIDs, ref.ID)
	}
	return update
}

func configurationUpdate(version state.Version) machine.Update {
	value, _ := json.Marshal(version)
	return machine.Update{Key: state.ConfigurationKey, Seq: version.Number, Value: value}
}
