package batchstore

import (
	"encoding/json"
	"sort"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is what a store does as time passes: heartbeats, announcements, forgetting.

// Tick lets the store do what is due.
type Tick struct{}

// Apply does what is due.
func (Tick) Apply(k *Store, now clock.Micros) {
	k.groups.Tick(now)
	for _, unit := range sortedKeys(k.pendingCalls) {
		bySeq := k.pendingCalls[unit]
		for _, seq := range sortedKeys(bySeq) {
			waiters := bySeq[seq]
			kept := waiters[:0]
			for _, w := range waiters {
				if now >= w.deadline {
					k.replyUnknown(w.call, "no second disk confirmed it in time")
				} else {
					kept = append(kept, w)
				}
			}
			if len(kept) == 0 {
				delete(k.pendingCalls[unit], seq)
			} else {
				bySeq[seq] = kept
			}
		}
	}
	if now >= k.next.sendHeartbeats {
		k.sendHeartbeats(now)
	}
	if k.announceNeeded && now >= k.next.announce && k.writer > 0 {
		k.next.announce = now + k.set.AnnounceEvery
		k.announce()
	}
	if now >= k.next.resumeItems {
		k.next.resumeItems = now + 2*clock.Second
		k.resumeItems()
		k.archiveFinished()
	}
	if now >= k.next.forgetExpired {
		k.next.forgetExpired = now + 60*clock.Second
		k.forgetExpired(now)
	}
}

func (k *Store) sendHeartbeats(now clock.Micros) {
	k.next.sendHeartbeats = now + k.set.HeartbeatEvery
	ready, unreachable := map[int]uint64{}, map[int]UnreachableReplicas{}
	for _, group := range k.groups.All() {
		if peers := group.UnreachableReplicas(now); len(peers) > 0 {
			unreachable[shardOfUnit(group.Unit)] = UnreachableReplicas{Epoch: group.Epoch, Peers: peers}
		}
		if group.Role == replication.AwaitingCommit {
			ready[shardOfUnit(group.Unit)] = group.Epoch
		}
	}
	var busy []int
	for _, group := range k.groups.All() {
		if group.IsPrimary() && k.shard(group.Unit).state.HasOpenBatch() {
			busy = append(busy, shardOfUnit(group.Unit))
		}
	}
	for _, peer := range k.cores {
		k.Emit(machine.Send{To: peer, Body: Heartbeat{Busy: busy, Fleet: k.fleet, ID: k.self.ID, Name: k.self.Name, Zone: k.self.Zone, Peer: k.self.Peer, Incarnation: k.self.Incarnation, Ready: ready, Unreachable: unreachable, Draining: k.draining, Stalled: k.IsDiskStalled(now)}})
	}
}

// resumeItems hands open items to the path again: it passes over those it has, and
// takes up those it dropped while a lease was not fresh or its backlog full.
func (k *Store) resumeItems() {
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving || group.Unconfirmed() > 0 {
			continue
		}
		for _, id := range sortedBatches(k.shard(group.Unit).state) {
			k.startItems(group.Unit, id)
		}
	}
}

// UnderReplicated counts what puts promises at risk here: owned shards without their
// second copy, and how long the oldest result has waited to be announced.
func (k *Store) UnderReplicated(now clock.Micros) (copies int64, oldest clock.Micros) {
	for _, group := range k.groups.All() {
		if group.IsPrimary() && group.Role != replication.Serving {
			copies++
		}
		oldest = max(oldest, group.OldestUnconfirmed(now))
	}
	return copies, oldest
}

// announce tells the readers this writer's persisted-up-to position.
func (k *Store) announce() {
	k.announceNeeded = false
	a := token.Announcement{Writer: k.writer, Store: k.self.ID, Peer: k.self.Peer, PersistedUpTo: k.positions.PersistedUpTo()}
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving {
			continue
		}
		p := k.shard(group.Unit)
		claimed := token.OwnedShard{Shard: p.shard, Epoch: group.Epoch, LastPositions: map[int]int64{}, Ownerships: append([]shard.Ownership(nil), p.state.Ownerships...)}
		for writer, last := range p.state.LastPositions {
			if writer != k.writer {
				claimed.LastPositions[writer] = last
			}
		}
		a.Shards = append(a.Shards, claimed)
	}
	k.announcementSeq++
	value, _ := json.Marshal(a)
	k.Emit(machine.Publish{Update: machine.Update{Key: token.Key(k.writer), Epoch: k.self.Incarnation, Seq: k.announcementSeq, Value: value}})
}

// forgetExpired drops finished batches and claims past their keeping.
func (k *Store) forgetExpired(now clock.Micros) {
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving {
			continue
		}
		var old shard.Forget
		state := k.shard(group.Unit).state
		for _, id := range sortedBatches(state) {
			if b := state.Batches[id]; b.State != shard.Open && now-b.SubmittedAt > k.set.RetainFinished {
				old.Batches = append(old.Batches, id)
			}
		}
		for id, claim := range state.Claims {
			if now-claim.At > k.set.RetainFinished {
				old.Claims = append(old.Claims, id)
			}
		}
		if len(old.Batches)+len(old.Claims) > 0 {
			sort.Strings(old.Claims)
			k.appendEntry(group.Unit, old, now)
		}
	}
	k.deleteUnusedArchives(nil)
}

// OwnedShards is how many shards this store owns in any role of an owner.
func (k *Store) OwnedShards() int {
	count := 0
	for _, group := range k.groups.All() {
		if group.IsPrimary() {
			count++
		}
	}
	return count
}

// Drain lets the store say that it is about to go.
type Drain struct{}

// Apply notes it; the next beat tells the cores.
func (Drain) Apply(k *Store, now clock.Micros) {
	k.draining = true
	k.sendHeartbeats(now)
}
