package controlplane

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// fakeStore is what the cores see of a store daemon: its heartbeats.
type fakeStore struct {
	registration.Heartbeat
	reportsComplete bool // reports the group of each shard of which it is primary as complete
	unreachable     bool
}

type envelope struct {
	to, from string
	body     any
}

// testCluster is a set of cores that exchange messages and receive the heartbeats of stores.
type testCluster struct {
	now        clock.Micros
	settings   Settings
	cores      map[string]*Core     // by peer
	starts     map[string]coreStart // latest start, by peer
	stores     []*fakeStore
	network    []envelope
	drop       func(l envelope) bool
	lastCall   uint64
	replies    map[uint64]machine.Reply
	broadcasts []machine.Broadcast
	published  []machine.Update
	disks      map[string]*disk // what each core has written; nil if the test doesn't record it
	// blocksWrite reports whether a write must not complete; nil: every write completes at once.
	blocksWrite func(peer string, write machine.Persist) bool
}

// coreStart is what a core is created from, besides its disk.
type coreStart struct {
	self        election.CoreRef
	incarnation uint64
	seeds       []string
	settings    Settings
}

func (s coreStart) newCore(records []machine.Record) *Core {
	return New(s.self, s.incarnation, s.seeds, s.settings, records)
}

// nextIncarnation returns the next start of the same core.
func (s coreStart) nextIncarnation() coreStart {
	s.incarnation++
	return s
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func hasVote(voters []election.CoreRef, id string) bool { return slices.Contains(idsOf(voters), id) }

// idsOf returns the sorted ids of the cores.
func idsOf(refs []election.CoreRef) (ids []string) {
	for _, ref := range refs {
		ids = append(ids, ref.ID)
	}
	slices.Sort(ids)
	return ids
}

func newTestCluster(settings Settings) *testCluster {
	return &testCluster{now: 1000, settings: settings, cores: map[string]*Core{}, starts: map[string]coreStart{}, replies: map[uint64]machine.Reply{}}
}

// core adds an empty core with the given peer address.
func (b *testCluster) core(id, peer, zone string, seeds ...string) *Core {
	b.starts[peer] = coreStart{election.CoreRef{ID: id, Peer: peer, Zone: zone}, 1, seeds, b.settings}
	b.cores[peer] = b.starts[peer].newCore(nil)
	return b.cores[peer]
}

// store adds a store.
func (b *testCluster) store(id, peer, zone string) *fakeStore {
	s := &fakeStore{Heartbeat: registration.Heartbeat{ID: id, Peer: peer, Zone: zone, Incarnation: 1}, reportsComplete: true}
	b.stores = append(b.stores, s)
	return s
}

// applyEffects executes the effects of a core.
func (b *testCluster) applyEffects(peer string, effects []machine.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			b.network = append(b.network, envelope{e.To, peer, e.Body})
		case machine.Persist:
			if b.disks != nil {
				b.disk(peer).writes = append(b.disk(peer).writes, e.Records)
			}
			if b.blocksWrite != nil && b.blocksWrite(peer, e) {
				continue
			}
			b.applyEffects(peer, b.cores[peer].Do(Persisted{e.Token}, b.now))
		case machine.Compact:
			if b.disks != nil {
				b.disks[peer] = &disk{snapshot: e.Records}
			}
		case machine.Reply:
			b.replies[e.Call] = e
		case machine.Publish:
			b.published = append(b.published, e.Update)
		case machine.Broadcast:
			b.broadcasts = append(b.broadcasts, e)
			b.replies[e.Call] = machine.Reply{Call: e.Call, Body: e.Body}
		}
	}
}

func (b *testCluster) deliverAll() {
	for len(b.network) > 0 {
		inTransit := b.network
		b.network = nil
		for _, l := range inTransit {
			if to := b.cores[l.to]; to != nil && (b.drop == nil || !b.drop(l)) {
				b.applyEffects(l.to, to.Do(Message{l.from, l.body}, b.now))
			}
		}
	}
}

// advance advances the time in steps of 50 ms, with ticks and heartbeats in each step.
func (b *testCluster) advance(span clock.Micros) {
	for end := b.now + span; b.now < end; {
		b.now += 50 * clock.Millisecond
		for _, peer := range sortedKeys(b.cores) {
			core := b.cores[peer]
			b.applyEffects(peer, core.Do(FreshnessAdvanced{b.now}, b.now))
			b.applyEffects(peer, core.Do(Tick{}, b.now))
			for _, s := range b.stores {
				if s.unreachable {
					continue
				}
				heartbeat := s.Heartbeat
				heartbeat.Ready = map[int]uint64{}
				for shard, p := range core.State().Shards {
					if s.reportsComplete && p.Primary.ID == s.ID {
						heartbeat.Ready[shard] = p.Epoch
					}
				}
				b.applyEffects(peer, core.Do(Message{s.Peer, heartbeat}, b.now))
			}
		}
		b.deliverAll()
	}
}

// primary returns the core that serves; nil if none or more than one does.
func (b *testCluster) primary() *Core {
	var found *Core
	for _, core := range b.cores {
		if core.IsServing() && found != nil {
			return nil
		} else if core.IsServing() {
			found = core
		}
	}
	return found
}

// call sends a request to a core and returns the number of the call.
func (b *testCluster) call(core *Core, body any) uint64 {
	b.lastCall++
	b.applyEffects(core.self.Peer, core.Do(Call{b.lastCall, body}, b.now))
	return b.lastCall
}

// reply returns the reply to a call; it fails the test if there is none.
func (b *testCluster) reply(t *testing.T, call uint64) machine.Reply {
	t.Helper()
	answer, ok := b.replies[call]
	if !ok {
		t.Fatalf("call %d has no reply", call)
	}
	return answer
}

// bootstrappedCluster returns three cores that have bootstrapped a fleet, with three stores and
// their shards.
func bootstrappedCluster(t *testing.T, settings Settings) *testCluster {
	t.Helper()
	return bootstrapWithStores(t, newTestCluster(settings))
}

// bootstrapWithStores adds three cores, which bootstrap a fleet, and three stores.
func bootstrapWithStores(t *testing.T, b *testCluster) *testCluster {
	t.Helper()
	for i := 1; i <= 3; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
	}
	for i := 1; i <= 3; i++ {
		b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i))
	}
	b.awaitStable(t)
	return b
}

func smallSettings() Settings {
	settings := Defaults()
	settings.Shards = 6
	settings.Bootstrap = true
	return settings
}

// awaitStable waits until one core serves and every shard has a complete group.
func (b *testCluster) awaitStable(t *testing.T) {
	t.Helper()
	for i := 0; i < 400; i++ {
		b.advance(50 * clock.Millisecond)
		if p := b.primary(); p != nil && !p.queue.HasInFlight() && allShardsComplete(p) {
			return
		}
	}
	t.Fatal("the fleet did not become stable within 20 s")
}

func allShardsComplete(s *Core) bool {
	for _, p := range s.State().Shards {
		if !p.Complete {
			return false
		}
	}
	return len(s.State().Shards) > 0
}

func putRequest(number, base uint64, body string) PutConfigurationRequest {
	return PutConfigurationRequest{Number: number, Base: base, HasBase: true, Body: []byte(body), By: "o", Timeout: 3 * clock.Second}
}

// isAppend reports whether a message carries entries to a replica.
func isAppend(l envelope) bool { _, entry := l.body.(replication.Append); return entry }

// voters returns the sorted ids of the voters, as known to the primary.
func (b *testCluster) voters() (ids []string) {
	if p := b.primary(); p != nil {
		for _, ref := range p.Vote().Voters {
			ids = append(ids, ref.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
