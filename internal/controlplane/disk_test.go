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

// fullDisks simulates cores whose disks accept no writes; their writes wait.
type fullDisks struct {
	b       *testCluster
	waiting map[string][]uint64 // tokens by peer; the disk of a peer that is absent accepts writes
	sent    map[string]int      // messages that cores with full disks sent, by peer
}

// withFullDisks controls the cores' disks, and counts what a core with a full one sends.
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
		if _, isLeaseRelease := l.body.(replication.LeaseRelease); full && !isLeaseRelease { // releasing a lease makes no commitment
			d.sent[l.from]++
		}
		return false
	}
	return d
}

// fill makes a core's disk full; before runs before the core is notified.
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

// clear makes the disk accept writes again: the waiting writes complete, in order.
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

// mustPutAtPrimary puts a configuration at the primary; it fails the test unless it is
// acknowledged.
func (b *testCluster) mustPutAtPrimary(t *testing.T, number, base uint64) {
	t.Helper()
	core := b.primary()
	if core == nil {
		t.Fatal("there is no single primary")
	}
	call := b.call(core, putRequest(number, base, `{"a":1}`))
	b.advance(clock.Second)
	if answer := b.reply(t, call); answer.Body != (PutConfigurationResponse{Version: number}) {
		t.Fatalf("%s: reply %v, error %v, want an acknowledgement", core.self.ID, answer.Body, answer.Err)
	}
}

// latestVersion returns the number of the latest configuration in a core's state.
func latestVersion(core *Core) uint64 {
	version, _ := core.State().Latest()
	return version.Number
}

// A primary whose disk is full answers the waiting callers at once and sends nothing more to the
// other cores, and another core becomes primary. Once its disk accepts writes it rejoins, and
// no unconfirmed change reappears.
func TestFullDiskOnPrimaryCausesFailover(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.mustPutAtPrimary(t, 1, 0)
	disks, old := withFullDisks(b), b.primary()
	var waitingCall uint64
	disks.fill(old, func() { waitingCall = b.call(old, putRequest(2, 1, `{"a":2}`)) })
	if answer := b.reply(t, waitingCall); !errs.Is(answer.Err, errs.OutcomeUnknown) {
		t.Fatalf("the waiting operator got reply %v, error %v, want an unknown outcome", answer.Body, answer.Err)
	}
	for _, request := range []any{putRequest(3, 1, `{"a":3}`), ConfigurationsRequest{Latest: true}, RetireRequest{ID: "store-1", Timeout: clock.Second}} {
		if answer := b.reply(t, b.call(old, request)); !errs.Is(answer.Err, errs.NotReady) || errs.Of(answer.Err).Remedy == "" {
			t.Fatalf("%T: reply %v, error %v, want not ready with a remedy", request, answer.Body, answer.Err)
		}
	}
	b.advance(6 * clock.Second)
	if disks.sent[old.self.Peer] != 0 {
		t.Fatalf("a core whose disk is full sent %d messages", disks.sent[old.self.Peer])
	}
	newPrimary := b.primary()
	if newPrimary == nil || newPrimary == old {
		t.Fatal("no other core is primary")
	}
	base := latestVersion(newPrimary)
	b.mustPutAtPrimary(t, 8, base)
	disks.clear(old)
	b.advance(6 * clock.Second)
	if b.primary() == nil {
		t.Fatal("there is no single primary after the disk recovered")
	}
	b.awaitStable(t)
	b.mustPutAtPrimary(t, 9, 8)
	if silent := b.primary().election.Status(b.now).UnreachableVoters; silent != 0 || !hasVote(b.primary().Vote().Voters, old.self.ID) {
		t.Fatalf("%d voters are unreachable, or the core whose disk recovered is no voter; want all reachable, and it among them", silent)
	}
}

// A disk that is full only briefly costs at most one term: the waiting entry is written, and
// then confirmed.
func TestBrieflyFullDiskKeepsPendingWrites(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.mustPutAtPrimary(t, 1, 0)
	disks, core := withFullDisks(b), b.primary()
	epoch := core.group().Epoch
	disks.fill(core, func() { b.call(core, putRequest(2, 1, `{"a":2}`)) })
	b.advance(200 * clock.Millisecond)
	if core.group().Unconfirmed() == 0 {
		t.Fatal("an entry was confirmed before it was on disk")
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

// A replica whose disk is full acknowledges no entries and grants no votes; the primary
// replaces it.
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
		t.Fatal("a configuration was confirmed with one copy only")
	}
	vote := backup.Vote()
	b.applyEffects(backup.self.Peer, backup.Do(Message{"c9", election.VoteRequest{Fleet: vote.Fleet, Assignment: replication.Assignment{Epoch: vote.Term + 1}, Voters: vote.Voters, Base: vote.Committed.Epoch, Candidate: primary.self}}, b.now))
	if backup.Vote().Term != vote.Term || len(disks.waiting[backup.self.Peer]) != 0 {
		t.Fatal("a vote was granted without a write to disk")
	}
	b.advance(6 * clock.Second)
	if disks.sent[backup.self.Peer] != 0 {
		t.Fatalf("a core whose disk is full sent %d messages", disks.sent[backup.self.Peer])
	}
	newPrimary := b.primary()
	if newPrimary == nil || slices.Contains(newPrimary.Vote().Committed.IDs(), backup.self.ID) {
		t.Fatal("no group formed without the replica whose disk is full")
	}
	b.mustPutAtPrimary(t, 8, latestVersion(newPrimary))
	disks.clear(backup)
	b.advance(3 * clock.Second)
	b.awaitStable(t)
}

// While no core can write, nothing is acknowledged; afterwards the fleet continues from its
// previous state.
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
			t.Fatalf("%s: reply %v, error %v, want not ready", peer, answer.Body, answer.Err)
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
			t.Fatalf("shard %d was reassigned, as %+v, though all stores were alive and only the cores could not receive their heartbeats", shard, p)
		}
	}
}

// A core whose disk has recovered received no store heartbeats meanwhile. It must not treat a
// store as lost before that store had the time to send one, even if others do so sooner.
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
			t.Fatalf("shard %d was reassigned, as %+v", shard, p)
		}
	}
}

// A snapshot that could not be written is made again when the event loop requests it.
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
		t.Fatalf("%d snapshots, want 1", compactions)
	}
}
