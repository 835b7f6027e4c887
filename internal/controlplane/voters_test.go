package controlplane

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/replication"
)

// clusterWithCores returns a fleet of cores, assigned to the zones in rotation and bootstrapped by the
// first three.
func clusterWithCores(t *testing.T, settings Settings, cores int, zones ...string) *testCluster {
	t.Helper()
	b := newTestCluster(settings)
	seeds := []string{"c1", "c2", "c3"}[:min(cores, 3)]
	b.settings.Founders = len(seeds)
	for i := range cores {
		b.core(fmt.Sprint("core-", i+1), fmt.Sprint("c", i+1), zones[i%len(zones)], seeds...)
	}
	for i := range max(3, settings.Tolerance+2) {
		b.store(fmt.Sprint("store-", i+1), fmt.Sprint("s", i+1), fmt.Sprint("zone-", i+1))
	}
	b.awaitStable(t)
	b.await(t, "every core has a vote", func() bool { return len(b.voters()) == cores })
	b.awaitStable(t)
	return b
}

// await advances the time until a condition holds, and returns the time that this took.
func (b *testCluster) await(t *testing.T, what string, holds func() bool) clock.Micros {
	t.Helper()
	began := b.now
	for b.now < began+30*clock.Second {
		if holds() {
			return b.now - began
		}
		b.advance(50 * clock.Millisecond)
	}
	t.Fatalf("not within 30 s: %s (voters %v)", what, b.voters())
	return 0
}

// leaseHolder returns the core that is primary and holds its lease; nil if none does. It fails the
// test if two do.
func (b *testCluster) leaseHolder(t *testing.T) *Core {
	t.Helper()
	var found *Core
	for _, core := range b.cores {
		if !core.HoldsLease(b.now) {
			continue
		}
		if found != nil {
			t.Fatalf("%s and %s both hold a lease", found.self.ID, core.self.ID)
		}
		found = core
	}
	return found
}

// kill removes a core permanently.
func (b *testCluster) kill(core *Core) { delete(b.cores, core.self.Peer) }

// groupMember returns the core at an index of the primary's group.
func (b *testCluster) groupMember(t *testing.T, at int) *Core {
	t.Helper()
	ids := b.leaseHolder(t).Vote().Committed.IDs()
	for _, core := range b.cores {
		if core.self.ID == ids[at] {
			return core
		}
	}
	t.Fatalf("member %d of %v no longer exists", at, ids)
	return nil
}

// partition drops the messages between the given cores and all others.
func partition(side ...*Core) func(l envelope) bool {
	within := func(peer string) bool {
		return slices.ContainsFunc(side, func(core *Core) bool { return core.self.Peer == peer })
	}
	return func(l envelope) bool { return within(l.from) != within(l.to) }
}

// The cores at the seed addresses bootstrap exactly one fleet, and the others become voters,
// whatever the number of cores. The group has a member in every majority.
func TestAnyNumberOfCoresBootstrapOneFleet(t *testing.T) {
	for cores, replicas := range map[int]int{1: 1, 2: 2, 3: 2, 4: 2, 5: 3, 6: 3, 7: 4} {
		b := clusterWithCores(t, smallSettings(), cores, "zone-1", "zone-2", "zone-3")
		fleets := map[string]bool{}
		for _, core := range b.cores {
			fleets[core.Vote().Fleet] = true
		}
		if len(fleets) != 1 {
			t.Errorf("%d cores bootstrapped %d fleets", cores, len(fleets))
		}
		b.await(t, fmt.Sprint(cores, " cores keep ", replicas, " copies"), func() bool {
			lead := b.leaseHolder(t)
			return lead != nil && len(lead.Vote().Committed.IDs()) == replicas
		})
	}
}

// Only a first start bootstraps a fleet: empty cores that start later wait, however many they
// are.
func TestOnlyTheFirstStartBootstraps(t *testing.T) {
	settings := smallSettings()
	settings.Bootstrap = false
	b := newTestCluster(settings)
	for i := 1; i <= 3; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
	}
	b.advance(20 * clock.Second)
	for _, core := range b.cores {
		if !core.Vote().Committed.IsZero() || core.Vote().Fleet != "" {
			t.Fatalf("%s bootstrapped %s", core.self.ID, core.Vote().Fleet)
		}
	}
}

// Three empty cores that find each other before any voter do not bootstrap a second fleet. This
// is the likely cause of what happened in the Ghent site's trouble-1.
func TestEmptyCoresDoNotBootstrapASecondFleet(t *testing.T) {
	settings := smallSettings()
	settings.Tolerance = 2
	b := clusterWithCores(t, settings, 5, "zone-1", "zone-2", "zone-3")
	fleet := b.leaseHolder(t).Vote().Fleet
	b.settings.Bootstrap = false
	kept := map[string]*Core{}
	for _, peer := range []string{"c1", "c2", "c3"} {
		kept[peer] = b.cores[peer]
		delete(b.cores, peer)
		b.core("empty-"+peer, peer, "zone-1", "c1", "c2", "c3")
	}
	b.drop = partition(b.cores["c1"], b.cores["c2"], b.cores["c3"])
	b.advance(10 * clock.Second)
	for _, core := range b.cores {
		if got := core.Vote().Fleet; got != "" && got != fleet {
			t.Fatalf("%s belongs to a second fleet %s", core.self.ID, got)
		}
	}
}

// Two cores in one zone are a majority of three: after the loss of the third core, which is alone
// in its zone, they form a group. The spread over zones is only a preference.
func TestGroupFormsWithinOneZoneIfNeeded(t *testing.T) {
	for _, cutOnly := range []bool{true, false} {
		b := clusterWithCores(t, smallSettings(), 3, "zone-1", "zone-1", "zone-2")
		lone := b.cores["c3"]
		b.await(t, "the group is spread over both zones", func() bool {
			lead := b.leaseHolder(t)
			return lead != nil && slices.Contains(lead.Vote().Committed.IDs(), lone.self.ID)
		})
		if cutOnly {
			b.drop = partition(lone)
		} else {
			b.kill(lone)
		}
		b.await(t, "a core of zone-1 leads", func() bool {
			lead := b.leaseHolder(t)
			return lead != nil && lead != lone
		})
	}
}

// A primary that is partitioned for 20 s, alone or with a minority of the cores, neither
// acknowledges nor reads once its lease has ended. The other cores elect a primary within 3 s,
// and the old primary follows it after the partition.
func TestIsolatedPrimaryNeitherConfirmsNorReads(t *testing.T) {
	for _, shape := range []struct{ cores, tolerance, with int }{{3, 1, 0}, {5, 2, 0}, {5, 2, 1}, {5, 1, 1}, {7, 1, 2}} {
		settings := smallSettings()
		settings.Tolerance = shape.tolerance
		b := clusterWithCores(t, settings, shape.cores, "zone-1", "zone-2", "zone-3")
		old := b.leaseHolder(t)
		b.mustPutAtPrimary(t, 1, 0)
		side := []*Core{old}
		for at := 1; at <= shape.with; at++ {
			side = append(side, b.groupMember(t, at))
		}
		b.drop = partition(side...)
		stale := b.call(old, putRequest(2, 1, `{"stale":true}`))
		took := b.await(t, "the majority leads", func() bool { lead := b.leaseHolder(t); return lead != nil && lead != old })
		if took > 3*clock.Second {
			t.Errorf("%+v: the majority elected a primary after %d us, want at most 3 s", shape, took)
		}
		lead := b.leaseHolder(t)
		call := b.call(lead, putRequest(3, 1, `{"a":3}`))
		b.await(t, fmt.Sprintf("%+v: %s answers", shape, lead.self.ID), func() bool { _, notified := b.replies[call]; return notified })
		if answer := b.reply(t, call); answer.Err != nil {
			t.Fatalf("%+v: %v", shape, answer.Err)
		}
		for range 20 {
			b.advance(clock.Second)
			for _, core := range side {
				if answer := b.reply(t, b.call(core, ConfigurationsRequest{Latest: true})); answer.Err == nil {
					t.Fatalf("%+v: %s read %v while partitioned", shape, core.self.ID, answer.Body)
				}
			}
		}
		if answer := b.reply(t, stale); answer.Err == nil {
			t.Fatalf("%+v: the partitioned primary confirmed %v", shape, answer.Body)
		}
		b.drop = nil
		b.advance(3 * clock.Second)
		for _, core := range b.cores {
			if slices.Contains(lead.Vote().Committed.IDs(), core.self.ID) && latestVersion(core) != 3 {
				t.Errorf("%+v: %s holds version %d after the partition, want 3", shape, core.self.ID, latestVersion(core))
			}
			if core.Vote().Committed.Epoch != lead.Vote().Committed.Epoch {
				t.Errorf("%+v: %s knows term %d after the partition, want %d", shape, core.self.ID, core.Vote().Committed.Epoch, lead.Vote().Committed.Epoch)
			}
		}
	}
}

// A primary whose messages arrive but that receives none (a one-way partition) is replaced.
func TestPrimaryThatReceivesNothingIsReplaced(t *testing.T) {
	for _, cores := range []int{3, 5} {
		b := clusterWithCores(t, smallSettings(), cores, "zone-1", "zone-2", "zone-3")
		old := b.leaseHolder(t)
		b.drop = func(l envelope) bool { return l.to == old.self.Peer }
		if took := b.await(t, "another leads", func() bool { lead := b.leaseHolder(t); return lead != nil && lead != old }); took > 4*clock.Second {
			t.Errorf("%d cores: another core became primary after %d us, want at most 4 s", cores, took)
		}
	}
}

// In a planned replacement the new core becomes a voter before the old one stops, so that a loss
// right afterwards still leaves a majority.
func TestLossRightAfterAPlannedReplacement(t *testing.T) {
	settings := smallSettings()
	settings.ReplaceSoonAfter = 2300 * clock.Millisecond
	b := clusterWithCores(t, settings, 3, "zone-1", "zone-2", "zone-3")
	for round := range 3 {
		departing := b.groupMember(t, round%2)
		b.settings.Bootstrap = false
		b.core(fmt.Sprint("new-", round), fmt.Sprint("n", round), departing.self.Zone, sortedKeys(b.cores)...)
		b.advance(3 * clock.Second)
		b.applyEffects(departing.self.Peer, departing.Do(Drain{}, b.now))
		b.await(t, "no core depends on the draining core", func() bool { return !departing.IsNeeded(b.now) })
		b.kill(departing)
		lost := b.leaseHolder(t)
		if lost == nil {
			t.Fatalf("round %d: no core is primary right after the planned replacement", round)
		}
		b.kill(lost)
		b.await(t, "a majority leads after the next loss", func() bool { return b.leaseHolder(t) != nil })
		b.core(fmt.Sprint("spare-", round), fmt.Sprint("p", round), lost.self.Zone, sortedKeys(b.cores)...)
		b.await(t, "three have votes again", func() bool { return len(b.voters()) == 3 && !slices.Contains(b.voters(), lost.self.ID) })
		b.awaitStable(t)
	}
}

// Successive losses, each replaced by an empty core, leave a majority and a copy of the state, if
// the time between them is at least what the deployment allows for the previous replacement.
func TestSuccessiveLossesWithReplacements(t *testing.T) {
	const syncTime = 4600 * clock.Millisecond
	for _, shape := range []struct{ cores, tolerance int }{{3, 1}, {5, 2}} {
		settings := smallSettings()
		settings.Tolerance, settings.ReplaceSoonAfter = shape.tolerance, syncTime/2
		b := clusterWithCores(t, settings, shape.cores, "zone-1", "zone-2", "zone-3")
		b.settings.Bootstrap = false
		b.mustPutAtPrimary(t, 1, 0)
		for round := 1; round <= 6; round++ {
			for at := range shape.tolerance {
				lost := b.groupMember(t, 0)
				b.kill(lost)
				b.core(fmt.Sprintf("new-%d-%d", round, at), fmt.Sprintf("n%d.%d", round, at), lost.self.Zone, sortedKeys(b.cores)...)
				b.await(t, "a core leads after the loss", func() bool { return b.leaseHolder(t) != nil })
			}
			b.advance(syncTime)
			if got := latestVersion(b.leaseHolder(t)); got != uint64(round) {
				t.Fatalf("%+v, round %d: version %d is in force", shape, round, got)
			}
			b.mustPutAtPrimary(t, uint64(round+1), uint64(round))
		}
	}
}

// A change of voters needs majorities of the old and the new set: a new set that only its own
// majority persisted has no effect, and the old voters continue without it.
func TestVoterChangeNeedsMajoritiesOfBothSets(t *testing.T) {
	b := clusterWithCores(t, smallSettings(), 3, "zone-1", "zone-2", "zone-3")
	lead, replica := b.leaseHolder(t), b.groupMember(t, 1)
	var third *Core
	for _, core := range b.cores {
		if core != lead && core != replica {
			third = core
		}
	}
	// The third core is isolated, and a new core is to become a voter in its place. As soon as the
	// replica has the copy for that term, the primary and the new core are partitioned from it:
	// only these two persist that the copy is complete.
	fresh := b.core("core-9", "c9", "zone-9", "c1", "c2", "c3")
	partitioned := false
	dropAcross := partition(lead, fresh)
	b.drop = func(l envelope) bool {
		if partitioned {
			return dropAcross(l)
		}
		ack, copied := l.body.(replication.AppendAck)
		partitioned = copied && ack.SnapshotInstalled && hasVote(lead.Vote().PendingVoters, "core-9")
		return l.from == third.self.Peer || l.to == third.self.Peer
	}
	b.await(t, "the new core persists its voters", func() bool { return hasVote(fresh.Vote().Voters, "core-9") })
	if b.leaseHolder(t) == lead && hasVote(lead.Vote().Voters, "core-9") {
		t.Fatal("the primary leads with voters that the old voters have not committed")
	}
	// The old majority leads, and the other two don't, though they are a majority of the new voters.
	b.await(t, "the old majority leads", func() bool {
		now := b.leaseHolder(t)
		return now != nil && now != lead && now != fresh
	})
	for range 100 {
		b.advance(100 * clock.Millisecond)
		if now := b.leaseHolder(t); now == lead || now == fresh {
			t.Fatalf("%s leads with a minority of the old voters", now.self.ID)
		}
	}
}

// A core that lost its disk returns with another identity: votes and state of its former identity
// don't count, and it can't become primary before it receives the state.
func TestCoreThatLostItsDiskHasANewIdentity(t *testing.T) {
	b := clusterWithCores(t, smallSettings(), 3, "zone-1", "zone-2", "zone-3")
	b.settings.Bootstrap = false
	b.mustPutAtPrimary(t, 1, 0)
	wiped := b.groupMember(t, 1)
	b.kill(wiped)
	again := b.core("core-8", wiped.self.Peer, wiped.self.Zone, "c1", "c2", "c3")
	request := election.VoteRequest{Fleet: again.Vote().Fleet, Assignment: replication.Assignment{Epoch: 99}, Voters: b.leaseHolder(t).Vote().Voters, Candidate: wiped.self}
	again.Do(Message{wiped.self.Peer, request}, b.now)
	if again.Vote().Term != 0 {
		t.Fatal("an empty core granted a term to voters that it does not belong to")
	}
	b.kill(b.leaseHolder(t))
	b.advance(3 * clock.Second)
	if lead := b.leaseHolder(t); lead == again {
		t.Fatal("an empty core is primary")
	}
}

// A draining core waits until other cores take over its roles, but only if there are others: the
// only core stops at once.
func TestOnlyCoreStopsAtOnce(t *testing.T) {
	for cores, waits := range map[int]bool{1: false, 2: true, 3: true} {
		b := clusterWithCores(t, smallSettings(), cores, "zone-1", "zone-2", "zone-3")
		lead := b.leaseHolder(t)
		b.applyEffects(lead.self.Peer, lead.Do(Drain{}, b.now))
		if got := lead.IsNeeded(b.now); got != waits {
			t.Errorf("%d cores: still needed: %v", cores, got)
		}
		b.await(t, "no core depends on it", func() bool { return !lead.IsNeeded(b.now) })
	}
}

// The vote of a lost core passes to an empty core sooner than to one that had a vote before;
// without the setting both wait equally long.
func TestEmptyCoreReplacesALostVoterSooner(t *testing.T) {
	for _, soon := range []clock.Micros{0, 2 * clock.Second, 60 * clock.Second} {
		settings := smallSettings()
		settings.ReplaceAfter, settings.ReplaceSoonAfter = 20*clock.Second, soon
		b := bootstrappedCluster(t, settings)
		b.advance(3 * clock.Second)
		lose := func() (string, *Core) {
			for _, peer := range sortedKeys(b.cores) {
				if core := b.cores[peer]; core != b.primary() && !slices.Contains(b.primary().Vote().Committed.IDs(), core.self.ID) && hasVote(b.primary().Vote().Voters, core.self.ID) {
					delete(b.cores, peer)
					return core.self.ID, core
				}
			}
			t.Fatal("no core to lose")
			return "", nil
		}
		lost, old := lose()
		b.core("core-9", "c9", "zone-9", "c1", "c2", "c3")
		b.advance(5 * clock.Second)
		given := !slices.Contains(b.voters(), lost) && slices.Contains(b.voters(), "core-9")
		if given != (soon == 2*clock.Second) {
			t.Errorf("ReplaceSoonAfter %d: after 5 s the voters are %v", soon, b.voters())
		}
		b.advance(20 * clock.Second)
		if !slices.Contains(b.voters(), "core-9") {
			t.Errorf("ReplaceSoonAfter %d: after 25 s the voters are %v", soon, b.voters())
		}
		// The old core returns, without a vote, when another core is lost.
		lose()
		b.cores[old.self.Peer] = old
		if b.advance(10 * clock.Second); slices.Contains(b.voters(), lost) {
			t.Errorf("ReplaceSoonAfter %d: a core that had a vote has one again after 10 s", soon)
		}
		if b.advance(20 * clock.Second); !slices.Contains(b.voters(), lost) {
			t.Errorf("ReplaceSoonAfter %d: a core that had a vote has none after 30 s, voters %v", soon, b.voters())
		}
	}
}
