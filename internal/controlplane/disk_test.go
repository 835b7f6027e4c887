package controlplane

import (
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// fullDisks are the disks of some cores that take no writes; what is written there
// waits.
type fullDisks struct {
	b       *testCluster
	waiting map[string][]uint64 // by peer; a peer that is not there has a disk that takes writes
	sent    map[string]int      // messages that a core with a full disk sent
}

// withFullDisks watches the cores' disks, and what a core with a full one sends.
func withFullDisks(b *testCluster) *fullDisks {
	d := &fullDisks{b: b, waiting: map[string][]uint64{}, sent: map[string]int{}}
	b.blocksWrite = func(peer string, write machine.Persist) bool {
		tokens, full := d.waiting[peer]
		if full {
			d.waiting[peer] = append(tokens, write.Token)
		}
		return full
	}
	b.drop = func(l envelope) bool {
		_, full := d.waiting[l.from]
		if _, isLeaseRelease := l.body.(replication.LeaseRelease); full && !isLeaseRelease { // a lease that is released commits to nothing
			d.sent[l.from]++
		}
		return false
	}
	return d
}

// fill fills a core's disk; before runs before the core is notified.
func (d *fullDisks) fill(core *Core, before func()) {
	peer := core.self.Peer
	d.waiting[peer] = []uint64{}
	if before != nil {
		before()
	}
	d.b.deliverAll()
	d.sent[peer] = 0
	d.b.applyEffects(peer, core.Do(DiskStateChanged{machine.DiskState{Reason: "the disk is full"}}, d.b.now))
}

// clear empties the disk again: what waited is written, in order.
func (d *fullDisks) clear(core *Core) {
	peer := core.self.Peer
	tokens := d.waiting[peer]
	delete(d.waiting, peer)
	for _, token := range tokens {
		d.b.applyEffects(peer, core.Do(Persisted{token}, d.b.now))
	}
	d.b.applyEffects(peer, core.Do(DiskStateChanged{machine.DiskState{Writable: true}}, d.b.now))
	d.b.deliverAll()
}

// mustPutAtPrimary puts a configuration at the primary, which has to acknowledge it.
func (b *testCluster) mustPutAtPrimary(t *testing.T, number, base uint64) {
	t.Helper()
	core := b.primary()
	if core == nil {
		t.Fatal("no core serves alone")
	}
	call := b.call(core, putRequest(number, base, `{"a":1}`))
	b.advance(clock.Second)
	if answer := b.reply(t, call); answer.Body != (PutConfigurationResponse{Version: number}) {
		t.Fatalf("%s told %v %v, not an acknowledgement", core.self.ID, answer.Body, answer.Err)
	}
}

// latestVersion is the configuration in force at a core that serves.
func latestVersion(core *Core) uint64 {
	version, _ := core.State().Latest()
	return version.Number
}

// A primary whose disk is full answers who waits at once, sends nothing more to the other
// cores, and another one leads. Once its disk takes writes it takes part again, and
// brings nothing back that was not confirmed.
func TestFullDiskOnPrimaryCausesFailover(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.mustPutAtPrimary(t, 1, 0)
	disks, old := withFullDisks(b), b.primary()
	var waitingCall uint64
	disks.fill(old, func() { waitingCall = b.call(old, putRequest(2, 1, `{"a":2}`)) })
	if answer := b.reply(t, waitingCall); !errs.Is(answer.Err, errs.OutcomeUnknown) {
		t.Fatalf("the operator who waited was told %v %v", answer.Body, answer.Err)
	}
	for _, request := range []any{putRequest(3, 1, `{"a":3}`), ConfigurationsRequest{Latest: true}, RetireRequest{ID: "store-1", Timeout: clock.Second}} {
		if answer := b.reply(t, b.call(old, request)); !errs.Is(answer.Err, errs.NotReady) || errs.Of(answer.Err).Remedy == "" {
			t.Fatalf("%T: told %v %v", request, answer.Body, answer.Err)
		}
	}
	b.advance(6 * clock.Second)
	if disks.sent[old.self.Peer] != 0 {
		t.Fatalf("a core whose disk is full sent %d messages", disks.sent[old.self.Peer])
	}
	now := b.primary()
	if now == nil || now == old {
		t.Fatal("no other core leads")
	}
	base := latestVersion(now)
	b.mustPutAtPrimary(t, 8, base)
	disks.clear(old)
	b.advance(6 * clock.Second)
	if b.primary() == nil {
		t.Fatal("no core serves alone after the disk is well")
	}
	b.awaitStable(t)
	b.mustPutAtPrimary(t, 9, 8)
	if silent := b.primary().election.Status(b.now).UnreachableVoters; silent != 0 || !hasVote(b.primary().Vote().Voters, old.self.ID) {
		t.Fatalf("%d voters are not heard, and the core whose disk is well again should be one that is", silent)
	}
}

// A disk that is full for a moment costs no term: the entry that waited is written,
// and confirmed from then on.
func TestBrieflyFullDiskKeepsPendingWrites(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.mustPutAtPrimary(t, 1, 0)
	disks, core := withFullDisks(b), b.primary()
	epoch := core.group().Epoch
	disks.fill(core, func() { b.call(core, putRequest(2, 1, `{"a":2}`)) })
	b.advance(200 * clock.Millisecond)
	if core.group().Unconfirmed() == 0 {
		t.Fatal("an entry was confirmed without the disk")
	}
	disks.clear(core)
	b.advance(1500 * clock.Millisecond)
	b.awaitStable(t)
	if got := latestVersion(b.primary()); got != 2 {
		t.Fatalf("version %d is in force", got)
	}
	if core.group().Epoch > epoch+1 {
		t.Fatalf("the primary changed %d times", core.group().Epoch-epoch)
	}
	b.mustPutAtPrimary(t, 3, 2)
}

// A replica whose disk is full acknowledges no entry and grants no vote; the primary
// finds another replica.
func TestReplicaWithFullDiskIsReplaced(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.mustPutAtPrimary(t, 1, 0)
	disks, primary := withFullDisks(b), b.primary()
	var backup *Core
	for _, core := range b.cores {
		if core.self.ID == primary.Vote().Committed.Replicas[0].ID {
			backup = core
		}
	}
	disks.fill(backup, nil)
	call := b.call(primary, putRequest(2, 1, `{"a":2}`))
	b.deliverAll()
	if _, isAnswered := b.replies[call]; isAnswered {
		t.Fatal("a configuration was confirmed with one copy")
	}
	vote := backup.Vote()
	b.applyEffects(backup.self.Peer, backup.Do(Message{"c9", election.VoteRequest{Fleet: vote.Fleet, Assignment: replication.Assignment{Epoch: vote.Term + 1}, Voters: vote.Voters, Base: vote.Committed.Epoch, Candidate: primary.self}}, b.now))
	if backup.Vote().Term != vote.Term || len(disks.waiting[backup.self.Peer]) != 0 {
		t.Fatal("a vote was granted without the disk")
	}
	b.advance(6 * clock.Second)
	if disks.sent[backup.self.Peer] != 0 {
		t.Fatalf("a core whose disk is full sent %d messages", disks.sent[backup.self.Peer])
	}
	now := b.primary()
	if now == nil || slices.Contains(now.Vote().Committed.IDs(), backup.self.ID) {
		t.Fatal("the group is not complete without the full disk")
	}
	b.mustPutAtPrimary(t, 8, latestVersion(now))
	disks.clear(backup)
	b.advance(3 * clock.Second)
	b.awaitStable(t)
}

// No core can write: nothing is acknowledged, and all goes on from where it was.
func TestFleetResumesAfterAllDisksWereFull(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.mustPutAtPrimary(t, 1, 0)
	disks, before := withFullDisks(b), append([]replication.Assignment(nil), b.primary().State().Shards...)
	for _, peer := range sortedKeys(b.cores) {
		disks.fill(b.cores[peer], nil)
	}
	b.advance(20 * clock.Second)
	for _, peer := range sortedKeys(b.cores) {
		if answer := b.reply(t, b.call(b.cores[peer], putRequest(2, 1, `{"a":2}`))); !errs.Is(answer.Err, errs.NotReady) {
			t.Fatalf("%s told %v %v", peer, answer.Body, answer.Err)
		}
	}
	for _, peer := range sortedKeys(b.cores) {
		disks.clear(b.cores[peer])
	}
	b.advance(4 * clock.Second)
	b.awaitStable(t)
	if got := latestVersion(b.primary()); got != 1 {
		t.Fatalf("version %d is in force", got)
	}
	b.mustPutAtPrimary(t, 2, 1)
	for shard, p := range b.primary().State().Shards {
		if !p.Equal(before[shard]) {
			t.Fatalf("shard %d was assigned anew, as %+v, though all stores lived: only the cores could not hear them", shard, p)
		}
	}
}

// A core that has its disk back has heard no store meanwhile: it takes none for lost before it
// had the time to hear it, also where some are heard sooner than others.
func TestStoresAreNotLostRightAfterDiskRecovery(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	disks, before := withFullDisks(b), append([]replication.Assignment(nil), b.primary().State().Shards...)
	for _, peer := range sortedKeys(b.cores) {
		disks.fill(b.cores[peer], nil)
	}
	b.advance(20 * clock.Second)
	for _, peer := range sortedKeys(b.cores) {
		disks.clear(b.cores[peer])
	}
	b.stores[0].unreachable = true
	b.advance(probationPeriod + clock.Second)
	b.stores[0].unreachable = false
	b.advance(3 * clock.Second)
	b.awaitStable(t)
	for shard, p := range b.primary().State().Shards {
		if !p.Equal(before[shard]) {
			t.Fatalf("shard %d was assigned anew, as %+v", shard, p)
		}
	}
}

// A snapshot that could not be written is made anew when the event loop asks for it.
func TestFailedCompactionIsRetriedOnRequest(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.mustPutAtPrimary(t, 1, 0)
	core, compactions := b.primary(), 0
	for _, effect := range core.Do(CompactAgain{}, b.now) {
		if _, ok := effect.(machine.Compact); ok {
			compactions++
		}
	}
	if compactions != 1 {
		t.Fatalf("%d snapshots", compactions)
	}
}
