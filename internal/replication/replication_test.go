package replication

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// end is one daemon with one unit, a list of texts.
type end struct {
	machine.Effects
	name      string
	groups    *Groups
	list      []string
	confirmed []uint64
	ready     uint64
	deposed   int
	durable   []machine.Record
}

func newEnd(name string) *end {
	e := &end{name: name}
	e.groups = NewGroups(&e.Effects, e)
	return e
}

func (e *end) Snapshot(string) [][]byte {
	var parts [][]byte
	for _, text := range e.list {
		parts = append(parts, []byte(text))
	}
	return parts
}

func (e *end) LocalSnapshot(unit string) [][]byte { return e.Snapshot(unit) }

func (e *end) Restore(_ string, parts [][]byte) {
	e.list = nil
	for _, part := range parts {
		e.list = append(e.list, string(part))
	}
}
func (e *end) ApplyEntry(_ string, body []byte) { e.list = append(e.list, string(body)) }
func (e *end) Confirmed(_ string, seq uint64, _ clock.Micros) {
	e.confirmed = append(e.confirmed, seq)
}
func (e *end) GroupReady(_ string, epoch uint64, _ clock.Micros) { e.ready = epoch }
func (e *end) Deposed(_ string, _ uint64, _ clock.Micros)        { e.deposed++ }
func (e *end) add(text string, now clock.Micros) (uint64, bool) {
	if e.groups.Group("u").Role != Serving {
		return 0, false
	}
	e.list = append(e.list, text)
	return e.groups.Append("u", []byte(text), now)
}

type letter struct {
	to, from string
	body     any
}

// bench is two or three ends with a fate for every message by its number.
type bench struct {
	now     clock.Micros
	ends    map[string]*end
	wire    []letter
	count   int
	fate    func(number int) string
	late    []letter
	largest int
	cut     func(from, to string) bool
}

func newBench(names ...string) *bench {
	b := &bench{now: 1000, ends: map[string]*end{}}
	for _, name := range names {
		b.ends[name] = newEnd(name)
	}
	return b
}

// pump carries out effects until nothing moves.
func (b *bench) pump() {
	for moved := true; moved; {
		moved = false
		for _, name := range []string{"a", "b", "c"} {
			e := b.ends[name]
			if e == nil {
				continue
			}
			for _, effect := range e.Drain() {
				moved = true
				switch f := effect.(type) {
				case machine.Send:
					b.wire = append(b.wire, letter{f.To, name, f.Body})
				case machine.Persist:
					e.durable = append(e.durable, f.Records...)
					e.groups.Persisted(f.Token, b.now)
				}
			}
		}
		wire := b.wire
		b.wire = nil
		for _, l := range wire {
			moved = true
			b.count++
			if chunk, ok := l.body.(SnapshotChunk); ok {
				size := 0
				for _, part := range chunk.Parts {
					size += len(part)
				}
				b.largest = max(b.largest, size)
			}
			fate := ""
			if b.fate != nil {
				fate = b.fate(b.count)
			}
			switch fate {
			case "drop":
			case "repeat":
				b.deliver(l)
				b.deliver(l)
			case "late":
				b.late = append(b.late, l)
			default:
				b.deliver(l)
			}
		}
	}
}

func (b *bench) deliver(l letter) {
	if b.cut != nil && b.cut(l.from, l.to) {
		return
	}
	if to := b.ends[l.to]; to != nil {
		to.groups.HandleMessage(l.from, l.body, b.now)
	}
}

// pass lets time go by, with ticks.
func (b *bench) pass(span clock.Micros) {
	for end := b.now + span; b.now < end; {
		b.now += 50 * clock.Millisecond
		for _, e := range b.ends {
			e.groups.Tick(b.now)
		}
		b.pump()
	}
}

func (b *bench) pair(t *testing.T, owner, backup string, epoch uint64) {
	t.Helper()
	b.group(t, epoch, owner, backup)
}

// group has a primary serve with its replicas.
func (b *bench) group(t *testing.T, epoch uint64, owner string, replicas ...string) {
	t.Helper()
	for _, replica := range replicas {
		b.ends[replica].groups.BecomeReplica("u", epoch, owner, b.now)
	}
	b.ends[owner].groups.BecomePrimary("u", epoch, replicas, b.now)
	b.pump()
	b.pass(3 * clock.Second)
	if b.ends[owner].ready != epoch {
		t.Fatalf("%s never had its copy at %s", owner, replicas)
	}
	b.ends[owner].groups.CommitGroup("u", epoch, b.now)
	b.pump()
}

// Every message of a run is dropped, repeated or delayed, one at a time: in the
// end both hold the same list and all is confirmed, once and in order.
func TestEachMessageMutatedOnce(t *testing.T) {
	total := 0
	run := func(number int, fate string, replicas ...string) *bench {
		b := newBench(append([]string{"a"}, replicas...)...)
		b.fate = func(now int) string {
			if now == number {
				return fate
			}
			return ""
		}
		b.group(t, 1, "a", replicas...)
		for i := 0; i < 5; i++ {
			if _, ok := b.ends["a"].add(fmt.Sprint(i), b.now); !ok {
				t.Fatalf("message %d %s: the owner does not serve", number, fate)
			}
			if i%2 == 0 {
				b.pump()
			}
		}
		b.pass(clock.Second)
		for _, l := range b.late {
			b.deliver(l)
		}
		b.late = nil
		b.pass(clock.Second)
		return b
	}
	for _, replicas := range [][]string{{"b"}, {"b", "c"}} {
		total = run(0, "", replicas...).count
		for number := 1; number <= total; number++ {
			for _, fate := range []string{"drop", "repeat", "late"} {
				b := run(number, fate, replicas...)
				a := b.ends["a"]
				for _, name := range append([]string{"a"}, replicas...) {
					if list := b.ends[name].list; fmt.Sprint(list) != "[0 1 2 3 4]" {
						t.Fatalf("message %d of %d replicas %s: %s holds %v", number, len(replicas), fate, name, list)
					}
				}
				if fmt.Sprint(a.confirmed) != "[1 2 3 4 5]" {
					t.Fatalf("message %d of %d replicas %s: confirmed %v", number, len(replicas), fate, a.confirmed)
				}
			}
		}
		if total < 12*len(replicas) {
			t.Fatalf("only %d messages were mutated", total)
		}
	}
}

// A deposed owner that does not know it confirms nothing: its backup refuses.
func TestADeposedOwnerConfirmsNothing(t *testing.T) {
	b := newBench("a", "b", "c")
	b.pair(t, "a", "b", 1)
	b.ends["b"].groups.BecomePrimary("u", 2, []string{"c"}, b.now)
	if _, ok := b.ends["a"].add("stray", b.now); !ok {
		t.Fatal("the old owner knows already; the test shows nothing")
	}
	b.pass(4 * clock.Second)
	if a := b.ends["a"]; len(a.confirmed) != 0 || a.deposed != 1 {
		t.Fatalf("the old owner confirmed %v, deposed %d times", a.confirmed, a.deposed)
	}
	if c := b.ends["c"]; len(c.list) != 0 {
		t.Fatalf("the stray entry reached the new pair: %v", c.list)
	}
}

// A backup that takes over waits until the lease it granted has ended.
func TestTakeoverWaitsForTheLease(t *testing.T) {
	b := newBench("a", "b", "c")
	b.pair(t, "a", "b", 1)
	b.pass(clock.Second)
	until := b.ends["a"].groups.Group("u").LeaseUntil()
	if until <= b.now {
		t.Fatal("the owner has no fresh lease")
	}
	a := b.ends["a"]
	delete(b.ends, "a") // frozen
	b.ends["b"].groups.BecomePrimary("u", 2, []string{"c"}, b.now)
	for b.ends["b"].ready != 2 {
		b.pass(50 * clock.Millisecond)
		if b.ends["b"].ready == 2 && b.now < until {
			t.Fatalf("the copy is done at %d, before the lease ends at %d", b.now, until)
		}
		if b.now > until+5*clock.Second {
			t.Fatal("the takeover never came")
		}
	}
	if a.groups.Group("u").LeaseUntil() > b.now {
		t.Fatal("the old owner's lease outlives the takeover")
	}
}

// A large state is copied in pieces, a few at a time, and each piece may be
// dropped, repeated or late.
func TestALargeCopyGoesInChunks(t *testing.T) {
	big := strings.Repeat("x", 100<<10)
	for number := 0; number <= 24; number += 3 {
		for _, fate := range []string{"drop", "repeat", "late"} {
			b := newBench("a", "b")
			for i := 0; i < 20; i++ {
				b.ends["a"].list = append(b.ends["a"].list, fmt.Sprint(i, big))
			}
			b.fate = func(now int) string {
				if now == number {
					return fate
				}
				return ""
			}
			b.pair(t, "a", "b", 1)
			if b.largest > 300<<10 {
				t.Fatalf("a piece has %d bytes", b.largest)
			}
			if fmt.Sprint(b.ends["b"].list) != fmt.Sprint(b.ends["a"].list) {
				t.Fatalf("message %d %s: the backup has %d of 20 parts", number, fate, len(b.ends["b"].list))
			}
		}
	}
}

// Many shards copied at once share a budget: no more pieces are under way than it
// allows, and all get their turn.
func TestCopiesShareABudget(t *testing.T) {
	a := newEnd("a")
	for i := 0; i < 40; i++ {
		a.list = append(a.list, strings.Repeat("x", 100<<10))
	}
	now := clock.Micros(1000)
	for i := 0; i < 10; i++ {
		a.groups.BecomePrimary(fmt.Sprint("u", i), 1, []string{"b"}, now)
	}
	acked, limit := 0, 0
	for round := 0; round < 400; round++ {
		now += 20 * clock.Millisecond
		a.groups.Tick(now)
		var chunks []SnapshotChunk
		for _, effect := range a.Drain() {
			switch f := effect.(type) {
			case machine.Send:
				if chunk, ok := f.Body.(SnapshotChunk); ok {
					chunks = append(chunks, chunk)
				}
			case machine.Persist:
				a.groups.Persisted(f.Token, now)
			}
		}
		limit = max(limit, a.groups.chunksInFlight(now))
		for _, chunk := range chunks {
			acked++
			a.groups.HandleMessage("b", SnapshotChunkAck{Unit: chunk.Unit, Epoch: chunk.Epoch, Index: chunk.Index}, now)
		}
	}
	if limit > maxChunksInFlight {
		t.Fatalf("%d pieces were under way, the budget is %d", limit, maxChunksInFlight)
	}
	for i := 0; i < 10; i++ {
		for at, done := range a.groups.Group(fmt.Sprint("u", i)).replicas[0].chunkAcked {
			if !done {
				t.Fatalf("slot %d: piece %d never had its turn (%d taken)", i, at, acked)
			}
		}
	}
}

// What was confirmed is read back from either disk.
func TestReadBack(t *testing.T) {
	b := newBench("a", "b")
	b.pair(t, "a", "b", 1)
	for i := 0; i < 3; i++ {
		b.ends["a"].add(fmt.Sprint(i), b.now)
	}
	b.pump()
	for _, name := range []string{"a", "b"} {
		again := newEnd(name)
		for _, record := range b.ends[name].durable {
			again.groups.Recover(record)
		}
		if fmt.Sprint(again.list) != "[0 1 2]" {
			t.Fatalf("%s reads %v back", name, again.list)
		}
		if role := again.groups.Group("u").Role; role != Idle {
			t.Fatalf("%s is %s after its start, not cold", name, role)
		}
	}
}

// townsfolk is a scene of daemons in zones, with who lives in which life.
func townsfolk(copies, least int, zones map[string]string, living map[string]uint64) ClusterView {
	return ClusterView{Copies: copies,
		Incarnation:    func(id string) (uint64, bool) { incarnation, ok := living[id]; return incarnation, ok },
		AllowsDegraded: func(members []string) bool { return len(members) >= least },
		ChooseReplacement: func(members, excluded []string) string {
			for _, id := range slices.Sorted(maps.Keys(zones)) {
				_, ok := living[id]
				taken := slices.ContainsFunc(members, func(other string) bool { return zones[other] == zones[id] })
				if ok && !taken && !slices.Contains(excluded, id) {
					return id
				}
			}
			return ""
		}}
}

// Only a member of the last complete group may be primary next.
func TestOnlyTheTrustedMayOwn(t *testing.T) {
	living := map[string]uint64{}
	view := townsfolk(2, 2, map[string]string{"a": "1", "b": "2", "c": "3"}, living)
	filling := Assignment{Epoch: 5, Primary: Member{"a", 1}, Replicas: []Member{{"c", 1}}, Trusted: []string{"a", "b"}}
	living["c"] = 1
	if next, _, ok := Next(filling, view); ok {
		t.Fatalf("c was being filled and becomes %+v", next)
	}
	living["b"] = 9
	next, _, ok := Next(filling, view)
	if !ok || next.Primary != (Member{"b", 9}) || next.Replicas[0].ID != "c" || next.Epoch != 6 {
		t.Fatalf("b holds all and is back: %+v %v", next, ok)
	}
	complete := Assignment{Epoch: 5, Primary: Member{"a", 1}, Replicas: []Member{{"b", 9}}, Complete: true, Trusted: []string{"a", "b"}}
	next, _, ok = Next(complete, view)
	if !ok || next.Primary.ID != "b" || next.Complete || !next.IsTrusted("a") {
		t.Fatalf("a is lost: %+v %v", next, ok)
	}
}

// A group of three goes on with the two that live once that is enough, and takes a
// third member in as soon as there is one.
func TestAGroupOfThreeShrinksAndGrows(t *testing.T) {
	living := map[string]uint64{"a": 1, "b": 1}
	zones := map[string]string{"a": "1", "b": "2", "c": "3", "d": "4"}
	complete := Assignment{Epoch: 5, Primary: Member{"a", 1}, Replicas: []Member{{"b", 1}, {"c", 1}}, Complete: true, Trusted: []string{"a", "b", "c"}}
	if next, _, ok := Next(complete, townsfolk(3, 3, zones, living)); ok {
		t.Fatalf("two are not enough, and yet %+v follows", next)
	}
	next, _, ok := Next(complete, townsfolk(3, 2, zones, living))
	if !ok || fmt.Sprint(next.IDs()) != "[a b]" || !next.IsTrusted("c") {
		t.Fatalf("two are enough: %+v %v", next, ok)
	}
	next = next.Completed()
	if again, _, ok := Next(next, townsfolk(3, 2, zones, living)); ok {
		t.Fatalf("nothing better can be had, and yet %+v follows", again)
	}
	living["d"] = 1
	next, _, ok = Next(next, townsfolk(3, 2, zones, living))
	if !ok || fmt.Sprint(next.IDs()) != "[a b d]" || next.Complete || fmt.Sprint(next.Trusted) != "[a b]" {
		t.Fatalf("d is there: %+v %v", next, ok)
	}
}

// An entry is confirmed once every replica has it, not one of them; the planted fault
// that is content with one is seen.
func TestConfirmedMeansEveryReplica(t *testing.T) {
	for _, planted := range []bool{false, true} {
		b := newBench("a", "b", "c")
		b.group(t, 1, "a", "b", "c")
		b.ends["a"].groups.SkipLastReplica = planted
		b.cut = func(_, to string) bool { return to == "c" }
		b.ends["a"].add("x", b.now)
		b.pass(500 * clock.Millisecond)
		if got := len(b.ends["a"].confirmed) > 0; got != planted {
			t.Fatalf("planted %v: confirmed %v though c lacks it", planted, b.ends["a"].confirmed)
		}
	}
}

// The primary's lease is every replica's: with one of them cut off it ends, and the
// one that is cut off may take over after it.
func TestALeaseNeedsEveryReplica(t *testing.T) {
	b := newBench("a", "b", "c")
	b.group(t, 1, "a", "b", "c")
	b.pass(clock.Second)
	if b.ends["a"].groups.Group("u").LeaseUntil() <= b.now {
		t.Fatal("the primary has no fresh lease")
	}
	b.cut = func(from, to string) bool { return (from == "c") != (to == "c") }
	b.pass(LeaseWait)
	if until := b.ends["a"].groups.Group("u").LeaseUntil(); until > b.now {
		t.Fatalf("the lease runs to %d without c, now is %d", until, b.now)
	}
	b.pass(clock.Second)
	if silent := b.ends["a"].groups.Group("u").UnreachableReplicas(b.now); fmt.Sprint(silent) != "[c]" {
		t.Fatalf("silent are %v", silent)
	}
}

// A replica that holds what the primary holds adopts the new epoch without a copy, and
// reads the same back; one that holds anything else is filled.
func TestWhatIsHeldAlreadyIsNotCopied(t *testing.T) {
	for _, behind := range []bool{false, true} {
		b := newBench("a", "b", "c")
		b.group(t, 1, "a", "b", "c")
		b.ends["a"].add("one", b.now)
		b.pass(clock.Second)
		if behind {
			b.cut = func(_, to string) bool { return to == "c" }
			b.ends["a"].add("two", b.now)
			b.pump()
			b.cut = nil
		}
		before := len(b.ends["c"].durable)
		b.group(t, 2, "b", "c")
		last := b.ends["c"].durable[before]
		if copied := last.Kind == KindSnapshot; copied != behind {
			t.Fatalf("behind %v: c wrote a record of kind %s", behind, last.Kind)
		}
		again := newEnd("c")
		for _, record := range b.ends["c"].durable {
			again.groups.Recover(record)
		}
		if fmt.Sprint(again.list) != fmt.Sprint(b.ends["b"].list) || again.groups.Group("u").Epoch != 2 {
			t.Fatalf("behind %v: c reads %v of epoch %d back, b holds %v", behind, again.list, again.groups.Group("u").Epoch, b.ends["b"].list)
		}
	}
}

// A member that restarted may have granted a lease right before: it takes over once
// that has ended.
func TestARestartedReplicaWaitsForTheLeaseItGranted(t *testing.T) {
	b := newBench("a", "b", "c")
	b.group(t, 1, "a", "b")
	b.pass(clock.Second)
	until := b.ends["a"].groups.Group("u").LeaseUntil()
	again := newEnd("b")
	for _, record := range b.ends["b"].durable {
		again.groups.Recover(record)
	}
	b.ends["b"] = again
	delete(b.ends, "a") // frozen: it can't give its lease back
	again.groups.Tick(b.now)
	again.groups.BecomePrimary("u", 2, []string{"c"}, b.now)
	for again.ready != 2 {
		b.pass(50 * clock.Millisecond)
		if again.ready == 2 && b.now < until {
			t.Fatalf("the copy is done at %d, before the lease ends at %d", b.now, until)
		}
		if b.now > until+5*clock.Second {
			t.Fatal("the takeover never came")
		}
	}
}

// The form of the release before, with one replica, is read.
func TestAnOlderAssignmentIsRead(t *testing.T) {
	var a Assignment
	old := `{"epoch":4,"owner":{"id":"a","life":2},"backup":{"id":"b","life":3},"complete":true,"trusted":["a","b"]}`
	if err := json.Unmarshal([]byte(old), &a); err != nil {
		t.Fatal(err)
	}
	if !a.Equal(Assignment{Epoch: 4, Primary: Member{"a", 2}, Replicas: []Member{{"b", 3}}, Complete: true, Trusted: []string{"a", "b"}}) {
		t.Fatalf("read as %+v", a)
	}
	data, _ := json.Marshal(a)
	var again Assignment
	if err := json.Unmarshal(data, &again); err != nil || !again.Equal(a) {
		t.Fatalf("written as %s, read as %+v (%v)", data, again, err)
	}
}
