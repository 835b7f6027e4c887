package controlplane

import (
	"errors"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/exclusive"
)

// fixedActSource is a source that always proposes the same acts.
type fixedActSource struct{ acts []exclusive.Act }

func (p *fixedActSource) Due(table *exclusive.Table) (due []exclusive.Act) {
	for _, act := range p.acts {
		if act.Number > table.Record(act.Subject).LastNumber {
			due = append(due, act)
		}
	}
	return due
}

func windowAct(number uint64, content string) exclusive.Act {
	return exclusive.Act{Subject: "windows", Number: number, Content: []byte(content)}
}

var (
	nodeA = exclusive.Holder{Name: "node-a", Instance: "run-1"}
	nodeB = exclusive.Holder{Name: "node-b", Instance: "run-1"}
)

// clusterWithActSource returns a bootstrapped cluster whose cores all have the given source.
func clusterWithActSource(t *testing.T, source exclusive.Source) *testCluster {
	t.Helper()
	b := bootstrappedCluster(t, smallSettings())
	for _, core := range b.cores {
		core.AddActSource(source)
	}
	b.advance(clock.Second)
	return b
}

// permits requests permits from the primary, which must answer at once.
func (b *testCluster) permits(t *testing.T, holder exclusive.Holder, outcomes ...exclusive.Outcome) []exclusive.Permit {
	t.Helper()
	call := b.call(b.primary(), exclusive.Request{Holder: holder, Outcomes: outcomes})
	b.deliverAll()
	answer := b.reply(t, call)
	if answer.Err != nil {
		t.Fatal(answer.Err)
	}
	return answer.Body.(exclusive.Response).Permits
}

func kindOf(err error) errs.Kind {
	var typed *errs.Error
	errors.As(err, &typed)
	if typed == nil {
		return ""
	}
	return typed.Kind
}

func TestPermitIsDurableBeforeItIsSent(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{[]exclusive.Act{windowAct(1, "x")}})
	b.drop = isAppend
	call := b.call(b.primary(), exclusive.Request{Holder: nodeA})
	b.deliverAll()
	if answer, ok := b.replies[call]; ok {
		t.Fatalf("replied before the replicas have the permit: %+v", answer)
	}
	b.drop = nil
	b.advance(500 * clock.Millisecond)
	permits := b.reply(t, call).Body.(exclusive.Response).Permits
	if len(permits) != 1 || string(permits[0].Content) != "x" {
		t.Fatalf("permits %+v, want one with content x", permits)
	}
	for peer, core := range b.cores {
		if record := core.State().Acts.Record("windows"); record.Holder != nodeA && core.Groups().Group("core").Seq > 0 {
			t.Errorf("%s has record %+v, want holder node-a", peer, record)
		}
	}
}

// stopPrimary removes the primary and waits until another core serves under its lease.
func (b *testCluster) stopPrimary(t *testing.T) {
	t.Helper()
	delete(b.cores, b.primary().self.Peer)
	for range 200 {
		b.advance(50 * clock.Millisecond)
		if p := b.primary(); p != nil && p.HoldsLease(b.now) {
			return
		}
	}
	t.Fatal("no core took over")
}

func TestNextPrimaryKnowsEverySentPermit(t *testing.T) {
	source := &fixedActSource{[]exclusive.Act{windowAct(1, "x")}}
	b := clusterWithActSource(t, source)
	first := b.permits(t, nodeA)[0]
	source.acts = []exclusive.Act{windowAct(1, "other")}
	b.stopPrimary(t)
	if got := b.permits(t, nodeB); len(got) > 0 {
		t.Fatalf("before the lease ended another node got %+v", got)
	}
	again := b.permits(t, nodeA)
	if len(again) != 1 || again[0].Fence != first.Fence || string(again[0].Content) != "x" {
		t.Fatalf("first permit %+v, repeated %+v, want the same", first, again)
	}
	b.advance(exclusive.Defaults().HolderLease + 50*clock.Millisecond)
	taken := b.permits(t, nodeB)
	if len(taken) != 1 || taken[0].Fence <= first.Fence || string(taken[0].Content) != "x" {
		t.Fatalf("after the lease ended: %+v, want one permit with a higher fence and content x", taken)
	}
}

func TestDeposedPrimaryGrantsNoPermits(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{[]exclusive.Act{windowAct(1, "x")}})
	old := b.primary()
	inFlight := b.call(old, exclusive.Request{Holder: nodeA})
	waiting := b.call(old, exclusive.Request{Holder: nodeB})
	b.drop = func(l envelope) bool { return l.to == old.self.Peer || l.from == old.self.Peer }
	b.advance(8 * clock.Second)
	b.drop = nil
	b.advance(8 * clock.Second)
	for _, call := range []uint64{inFlight, waiting} {
		if answer := b.reply(t, call); kindOf(answer.Err) != errs.OutcomeUnknown {
			t.Errorf("call %d: reply %+v, want an unknown outcome", call, answer)
		}
	}
	if call := b.call(old, exclusive.Request{Holder: nodeA}); old != b.primary() && kindOf(b.reply(t, call).Err) != errs.NotReady {
		t.Errorf("a repeated request: reply %+v, want not ready", b.reply(t, call))
	}
}

func TestPrimaryWithoutLeaseGrantsNoPermits(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{[]exclusive.Act{windowAct(1, "x")}})
	primary := b.primary()
	b.now += 2 * clock.Second
	if answer := b.reply(t, b.call(primary, exclusive.Request{Holder: nodeA})); kindOf(answer.Err) != errs.NotReady {
		t.Fatalf("reply %+v, want not ready", answer)
	}
}

// Nodes send requests all the time: without any work to do, a request must cause no write and
// must not wait in the queue.
func TestIdlePermitRequestsCauseNoWrite(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{})
	primary := b.primary()
	changes := primary.Changes
	b.drop = isAppend
	put := b.call(primary, putRequest(1, 0, `{}`))
	if got := b.permits(t, nodeA); len(got) > 0 || primary.permitRequests.isNext && len(primary.permitRequests.waiting) > 0 {
		t.Fatalf("permits %+v, or a queued request; want neither", got)
	}
	b.drop = nil
	b.advance(500 * clock.Millisecond)
	if answer := b.reply(t, put); answer.Err != nil {
		t.Fatal(answer.Err)
	}
	if primary.Changes != changes+1 {
		t.Fatalf("%d changes were written, want 1", primary.Changes-changes)
	}
}

func TestPermitRequestsAlternateWithOperatorRequests(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{[]exclusive.Act{windowAct(1, "x")}})
	primary := b.primary()
	b.drop = isAppend
	b.call(primary, putRequest(1, 0, `{}`))
	b.call(primary, exclusive.Request{Holder: nodeA})
	again := b.call(primary, exclusive.Request{Holder: nodeA})
	for number := range uint64(maxPermitRequests + 3) {
		b.call(primary, exclusive.Request{Holder: exclusive.Holder{Name: "node", Instance: string(rune('a' + number))}})
	}
	if waiting := len(primary.permitRequests.waiting); waiting != maxPermitRequests {
		t.Fatalf("%d requests are queued", waiting)
	}
	put := b.call(primary, putRequest(2, 1, `{}`))
	b.drop = nil
	b.advance(700 * clock.Millisecond)
	if answer := b.reply(t, put); answer.Err != nil {
		t.Fatal(answer.Err)
	}
	if answer := b.reply(t, again); answer.Err != nil || len(answer.Body.(exclusive.Response).Permits) != 1 {
		t.Fatalf("the latest request of a node got reply %+v, want one permit", answer)
	}
}

// The shard map is published to every daemon; a permit doesn't change it and must not cause an
// update.
func TestPermitsPublishNoMap(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{[]exclusive.Act{windowAct(1, "x")}})
	b.published = nil
	permit := b.permits(t, nodeA)[0]
	b.permits(t, nodeA, exclusive.Outcome{ID: permit.ID, Subject: permit.Subject, Number: permit.Number, Fence: permit.Fence, Result: exclusive.Done})
	if len(b.primary().state.Acts.Record("windows").Open) > 0 || len(b.published) > 0 {
		t.Fatalf("published %+v, want nothing; acts %+v, want none open", b.published, b.primary().state.Acts)
	}
	b.call(b.primary(), RetireRequest{ID: "store-1", Timeout: clock.Second})
	b.deliverAll()
	if len(b.published) != 1 || b.published[0].Key != state.MapKey || b.published[0].Seq != b.primary().state.Seq {
		t.Fatalf("after a change of the map, published %+v, want the map alone", b.published)
	}
}

func TestActsAreReadAtThePrimaryOnly(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{[]exclusive.Act{windowAct(1, "x")}})
	b.permits(t, nodeA)
	b.now += clock.Millisecond
	for _, core := range b.cores {
		answer := b.reply(t, b.call(core, ActsRequest{}))
		if core != b.primary() {
			if kindOf(answer.Err) != errs.NotReady {
				t.Errorf("a core that is not primary: reply %+v, want not ready", answer)
			}
			continue
		}
		subjects := answer.Body.(ActsResponse).Subjects
		if len(subjects) != 1 || subjects[0].Holder != nodeA.Name || len(subjects[0].Open) != 1 || !subjects[0].Open[0].IsPending || subjects[0].Open[0].AgeUS != clock.Millisecond {
			t.Errorf("the primary: subjects %+v, want one open act of node-a", subjects)
		}
	}
}
