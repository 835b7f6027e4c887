package controlplane

import (
	"errors"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/exclusive"
)

// fixedActSource is a source that proposes the same acts all the time.
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

// clusterWithActSource is a bootstrapped cluster whose cores all have the source.
func clusterWithActSource(t *testing.T, source exclusive.Source) *testCluster {
	t.Helper()
	b := bootstrappedCluster(t, smallSettings())
	for _, core := range b.cores {
		core.AddActSource(source)
	}
	b.advance(clock.Second)
	return b
}

// permits requests permits of the primary, which answers at once.
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
		t.Fatalf("answered before the replicas have it: %+v", answer)
	}
	b.drop = nil
	b.advance(500 * clock.Millisecond)
	permits := b.reply(t, call).Body.(exclusive.Response).Permits
	if len(permits) != 1 || string(permits[0].Content) != "x" {
		t.Fatalf("the permits are %+v", permits)
	}
	for peer, core := range b.cores {
		if record := core.State().Acts.Record("windows"); record.Holder != nodeA && core.Groups().Group("core").Seq > 0 {
			t.Errorf("%s has %+v", peer, record)
		}
	}
}

// stop ends the primary and gives its successor once one serves.
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
		t.Fatalf("at once another node gets %+v", got)
	}
	again := b.permits(t, nodeA)
	if len(again) != 1 || again[0].Fence != first.Fence || string(again[0].Content) != "x" {
		t.Fatalf("first %+v, again %+v", first, again)
	}
	b.advance(exclusive.Defaults().HolderLease + 50*clock.Millisecond)
	taken := b.permits(t, nodeB)
	if len(taken) != 1 || taken[0].Fence <= first.Fence || string(taken[0].Content) != "x" {
		t.Fatalf("after the lease %+v", taken)
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
			t.Errorf("call %d is answered with %+v", call, answer)
		}
	}
	if call := b.call(old, exclusive.Request{Holder: nodeA}); old != b.primary() && kindOf(b.reply(t, call).Err) != errs.NotReady {
		t.Errorf("asked again, it answers %+v", b.reply(t, call))
	}
}

func TestPrimaryWithoutLeaseGrantsNoPermits(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{[]exclusive.Act{windowAct(1, "x")}})
	primary := b.primary()
	b.now += 2 * clock.Second
	if answer := b.reply(t, b.call(primary, exclusive.Request{Holder: nodeA})); kindOf(answer.Err) != errs.NotReady {
		t.Fatalf("it answers %+v", answer)
	}
}

// Nodes ask all the time: where nothing is to be done that costs neither a write nor a turn.
func TestIdlePermitRequestsCauseNoWrite(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{})
	primary := b.primary()
	changes := primary.Changes
	b.drop = isAppend
	put := b.call(primary, putRequest(1, 0, `{}`))
	if got := b.permits(t, nodeA); len(got) > 0 || primary.permitRequests.isNext && len(primary.permitRequests.waiting) > 0 {
		t.Fatalf("it gets %+v", got)
	}
	b.drop = nil
	b.advance(500 * clock.Millisecond)
	if answer := b.reply(t, put); answer.Err != nil {
		t.Fatal(answer.Err)
	}
	if primary.Changes != changes+1 {
		t.Fatalf("%d changes were written", primary.Changes-changes)
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
		t.Fatalf("%d requests wait", waiting)
	}
	put := b.call(primary, putRequest(2, 1, `{}`))
	b.drop = nil
	b.advance(700 * clock.Millisecond)
	if answer := b.reply(t, put); answer.Err != nil {
		t.Fatal(answer.Err)
	}
	if answer := b.reply(t, again); answer.Err != nil || len(answer.Body.(exclusive.Response).Permits) != 1 {
		t.Fatalf("the latest request of a node is answered with %+v", answer)
	}
}

// The map goes to every daemon; a permit changes nothing in it.
func TestPermitsPublishNoMap(t *testing.T) {
	b := clusterWithActSource(t, &fixedActSource{[]exclusive.Act{windowAct(1, "x")}})
	b.published = nil
	permit := b.permits(t, nodeA)[0]
	b.permits(t, nodeA, exclusive.Outcome{ID: permit.ID, Subject: permit.Subject, Number: permit.Number, Fence: permit.Fence, Result: exclusive.Done})
	if len(b.primary().state.Acts.Record("windows").Open) > 0 || len(b.published) > 0 {
		t.Fatalf("published is %+v, the acts are %+v", b.published, b.primary().state.Acts)
	}
	b.call(b.primary(), RetireRequest{ID: "store-1", Timeout: clock.Second})
	b.deliverAll()
	if len(b.published) != 1 || b.published[0].Key != state.MapKey || b.published[0].Seq != b.primary().state.Seq {
		t.Fatalf("after a change of the map, published is %+v", b.published)
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
				t.Errorf("another core answers %+v", answer)
			}
			continue
		}
		subjects := answer.Body.(ActsResponse).Subjects
		if len(subjects) != 1 || subjects[0].Holder != nodeA.Name || len(subjects[0].Open) != 1 || !subjects[0].Open[0].IsPending || subjects[0].Open[0].AgeUS != clock.Millisecond {
			t.Errorf("the primary answers %+v", subjects)
		}
	}
}
