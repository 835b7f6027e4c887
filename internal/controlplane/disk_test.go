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
	b       *bench
	waiting map[string][]uint64 // by peer; a peer that is not there has a disk that is well
	sent    map[string]int      // letters that a core with a full disk sent
}

// withFullDisks watches the cores' disks, and what a core with a full one sends.
func withFullDisks(b *bench) *fullDisks {
	d := &fullDisks{b: b, waiting: map[string][]uint64{}, sent: map[string]int{}}
	b.holds = func(peer string, write machine.Persist) bool {
		tokens, full := d.waiting[peer]
		if full {
			d.waiting[peer] = append(tokens, write.Token)
		}
		return full
	}
	b.drop = func(l letter) bool {
		_, full := d.waiting[l.from]
		if _, yields := l.body.(replication.LeaseRelease); full && !yields { // a lease given back promises nothing
			d.sent[l.from]++
		}
		return false
	}
	return d
}

// fill takes a core's disk its room; before it is told, before runs.
func (d *fullDisks) fill(core *Core, before func()) {
	peer := core.self.Peer
	d.waiting[peer] = []uint64{}
	if before != nil {
		before()
	}
	d.b.pump()
	d.sent[peer] = 0
	d.b.take(peer, core.Do(DiskStateChanged{machine.DiskState{Reason: "the disk is full"}}, d.b.now))
}

// clear gives the room back: what waited is written, in order.
func (d *fullDisks) clear(core *Core) {
	peer := core.self.Peer
	tokens := d.waiting[peer]
	delete(d.waiting, peer)
	for _, token := range tokens {
		d.b.take(peer, core.Do(Persisted{token}, d.b.now))
	}
	d.b.take(peer, core.Do(DiskStateChanged{machine.DiskState{Writable: true}}, d.b.now))
	d.b.pump()
}

// primaryAcknowledges puts a configuration at the primary and wants its acknowledgement.
func (b *bench) primaryAcknowledges(t *testing.T, number, base uint64) {
	t.Helper()
	core := b.primary()
	if core == nil {
		t.Fatal("no core serves alone")
	}
	call := b.ask(core, put(number, base, `{"a":1}`))
	b.pass(clock.Second)
	if answer := b.told(t, call); answer.Body != (PutConfigurationResponse{Version: number}) {
		t.Fatalf("%s told %v %v, not a receipt", core.self.ID, answer.Body, answer.Err)
	}
}

// latest is the configuration in force at a core that serves.
func latest(core *Core) uint64 {
	version, _ := core.State().Latest()
	return version.Number
}

// A primary whose disk is full tells who waits at once, says nothing more to the other
// cores, and another one leads. Once its disk is well it takes its seat again, and
// brings nothing back that was not confirmed.
func TestAFullDiskPassesTheLeadOn(t *testing.T) {
	b := fleet(t, small())
	b.primaryAcknowledges(t, 1, 0)
	disks, old := withFullDisks(b), b.primary()
	var caught uint64
	disks.fill(old, func() { caught = b.ask(old, put(2, 1, `{"a":2}`)) })
	if answer := b.told(t, caught); !errs.Is(answer.Err, errs.OutcomeUnknown) {
		t.Fatalf("the operator who waited was told %v %v", answer.Body, answer.Err)
	}
	for _, request := range []any{put(3, 1, `{"a":3}`), ConfigurationsRequest{Latest: true}, RetireRequest{ID: "store-1", Timeout: clock.Second}} {
		if answer := b.told(t, b.ask(old, request)); !errs.Is(answer.Err, errs.NotReady) || errs.Of(answer.Err).Remedy == "" {
			t.Fatalf("%T: told %v %v", request, answer.Body, answer.Err)
		}
	}
	b.pass(6 * clock.Second)
	if disks.sent[old.self.Peer] != 0 {
		t.Fatalf("a core whose disk is full sent %d letters", disks.sent[old.self.Peer])
	}
	now := b.primary()
	if now == nil || now == old {
		t.Fatal("no other core leads")
	}
	base := latest(now)
	b.primaryAcknowledges(t, 8, base)
	disks.clear(old)
	b.pass(6 * clock.Second)
	if b.primary() == nil {
		t.Fatal("no core serves alone after the disk is well")
	}
	b.settle(t)
	b.primaryAcknowledges(t, 9, 8)
	if silent := b.primary().election.Status(b.now).UnreachableVoters; silent != 0 || !hasVote(b.primary().Vote().Voters, old.self.ID) {
		t.Fatalf("%d voters are not heard, and the core whose disk is well again should be one that is", silent)
	}
}

// A disk that is full for a moment costs no lead: the entry that waited is written,
// and confirmed from then on.
func TestADiskThatIsFullForAMoment(t *testing.T) {
	b := fleet(t, small())
	b.primaryAcknowledges(t, 1, 0)
	disks, core := withFullDisks(b), b.primary()
	epoch := core.group().Epoch
	disks.fill(core, func() { b.ask(core, put(2, 1, `{"a":2}`)) })
	b.pass(200 * clock.Millisecond)
	if core.group().Unconfirmed() == 0 {
		t.Fatal("an entry was confirmed without the disk")
	}
	disks.clear(core)
	b.pass(1500 * clock.Millisecond)
	b.settle(t)
	if got := latest(b.primary()); got != 2 {
		t.Fatalf("version %d is in force", got)
	}
	if core.group().Epoch > epoch+1 {
		t.Fatalf("the lead passed %d times", core.group().Epoch-epoch)
	}
	b.primaryAcknowledges(t, 3, 2)
}

// A backup whose disk is full acknowledges no entry and grants no vote; the primary
// finds another backup.
func TestABackupWithAFullDiskIsReplaced(t *testing.T) {
	b := fleet(t, small())
	b.primaryAcknowledges(t, 1, 0)
	disks, primary := withFullDisks(b), b.primary()
	var backup *Core
	for _, core := range b.cores {
		if core.self.ID == primary.Vote().Committed.Replicas[0].ID {
			backup = core
		}
	}
	disks.fill(backup, nil)
	call := b.ask(primary, put(2, 1, `{"a":2}`))
	b.pump()
	if _, early := b.answers[call]; early {
		t.Fatal("a plan was confirmed with one copy")
	}
	vote := backup.Vote()
	b.take(backup.self.Peer, backup.Do(Message{"c9", election.VoteRequest{Fleet: vote.Fleet, Assignment: replication.Assignment{Epoch: vote.Term + 1}, Voters: vote.Voters, Base: vote.Committed.Epoch, Candidate: primary.self}}, b.now))
	if backup.Vote().Term != vote.Term || len(disks.waiting[backup.self.Peer]) != 0 {
		t.Fatal("a vote was granted without the disk")
	}
	b.pass(6 * clock.Second)
	if disks.sent[backup.self.Peer] != 0 {
		t.Fatalf("a core whose disk is full sent %d letters", disks.sent[backup.self.Peer])
	}
	now := b.primary()
	if now == nil || slices.Contains(now.Vote().Committed.IDs(), backup.self.ID) {
		t.Fatal("the pair is not whole without the full disk")
	}
	b.primaryAcknowledges(t, 8, latest(now))
	disks.clear(backup)
	b.pass(3 * clock.Second)
	b.settle(t)
}

// No core can write: nothing is acknowledged, and all is taken up where it stood.
func TestAllDisksAreFull(t *testing.T) {
	b := fleet(t, small())
	b.primaryAcknowledges(t, 1, 0)
	disks, before := withFullDisks(b), append([]replication.Assignment(nil), b.primary().State().Shards...)
	for _, peer := range sortedKeys(b.cores) {
		disks.fill(b.cores[peer], nil)
	}
	b.pass(20 * clock.Second)
	for _, peer := range sortedKeys(b.cores) {
		if answer := b.told(t, b.ask(b.cores[peer], put(2, 1, `{"a":2}`))); !errs.Is(answer.Err, errs.NotReady) {
			t.Fatalf("%s told %v %v", peer, answer.Body, answer.Err)
		}
	}
	for _, peer := range sortedKeys(b.cores) {
		disks.clear(b.cores[peer])
	}
	b.pass(4 * clock.Second)
	b.settle(t)
	if got := latest(b.primary()); got != 1 {
		t.Fatalf("version %d is in force", got)
	}
	b.primaryAcknowledges(t, 2, 1)
	for shard, p := range b.primary().State().Shards {
		if !p.Equal(before[shard]) {
			t.Fatalf("slot %d was paired anew, as %+v, though all stores lived: only the cores could not hear them", shard, p)
		}
	}
}

// A core that has its disk back has heard no store meanwhile: it judges none before it
// had the time to, also where some are heard sooner than others.
func TestNoStoreIsJudgedBeforeItIsHeard(t *testing.T) {
	b := fleet(t, small())
	disks, before := withFullDisks(b), append([]replication.Assignment(nil), b.primary().State().Shards...)
	for _, peer := range sortedKeys(b.cores) {
		disks.fill(b.cores[peer], nil)
	}
	b.pass(20 * clock.Second)
	for _, peer := range sortedKeys(b.cores) {
		disks.clear(b.cores[peer])
	}
	b.stores[0].silent = true
	b.pass(probationSpan + clock.Second)
	b.stores[0].silent = false
	b.pass(3 * clock.Second)
	b.settle(t)
	for shard, p := range b.primary().State().Shards {
		if !p.Equal(before[shard]) {
			t.Fatalf("slot %d was paired anew, as %+v", shard, p)
		}
	}
}

// A view that could not be written is made anew when the shell asks for it.
func TestAViewIsMadeAgain(t *testing.T) {
	b := fleet(t, small())
	b.primaryAcknowledges(t, 1, 0)
	core, folds := b.primary(), 0
	for _, effect := range core.Do(CompactAgain{}, b.now) {
		if _, ok := effect.(machine.Compact); ok {
			folds++
		}
	}
	if folds != 1 {
		t.Fatalf("%d views", folds)
	}
}
