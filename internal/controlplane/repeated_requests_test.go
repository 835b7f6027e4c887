package controlplane

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// cutOff keeps all messages from and to a core.
func cutOff(core *Core) func(l letter) bool {
	return func(l letter) bool { return l.to == core.self.Peer || l.from == core.self.Peer }
}

// servingBut waits until a core other than one serves under a fresh lease.
func (b *bench) servingBut(t *testing.T, old *Core) *Core {
	t.Helper()
	for i := 0; i < 400; i++ {
		b.pass(50 * clock.Millisecond)
		for _, core := range b.cores {
			if core != old && core.HoldsLease(b.now) && !core.queue.HasInFlight() {
				return core
			}
		}
	}
	t.Fatal("no other core came to serve")
	return nil
}

// acknowledged puts a configuration and needs it acknowledged.
func (b *bench) acknowledged(t *testing.T, core *Core, request PutConfigurationRequest) {
	t.Helper()
	call := b.ask(core, request)
	b.pump()
	if answer := b.told(t, call); answer.Err != nil {
		t.Fatalf("version %d on %d: %v", request.Number, request.Base, answer.Err)
	}
}

// refused tells whether an answer ends the order for its operator.
func refused(answer machine.Reply) bool {
	return errs.Is(answer.Err, errs.StaleBase) || errs.Is(answer.Err, errs.InvalidConfiguration) || errs.Is(answer.Err, errs.BadInput) || errs.Is(answer.Err, errs.Conflict)
}

// lostAnswer is how far an order came before its operator lost sight of it.
type lostAnswer int

const (
	neverArrived  lostAnswer = iota
	onOneDisk                // no replica has it
	onAllDisks               // the replica's acknowledgement is lost
	confirmedThen            // only the answer to the operator is lost
)

var lostAnswers = map[lostAnswer]string{neverArrived: "never arrived", onOneDisk: "on one disk", onAllDisks: "on all disks", confirmedThen: "confirmed"}

// afterwards is what became of the primary before the order is sent again.
type afterwards int

const (
	stays afterwards = iota
	isCutOff
	isKilled
)

var afterwardsNames = map[afterwards]string{stays: "stays", isCutOff: "is cut off", isKilled: "is killed"}

// A repeated order: version 10 on top of 5, sent again to every core.
type repeatedOrder struct {
	lost   lostAnswer
	after  afterwards
	newer  int // versions put since
	healed bool
	plant  func(core *Core)
}

func (r repeatedOrder) String() string {
	return fmt.Sprintf("%s, primary %s, %d newer, healed %v", lostAnswers[r.lost], afterwardsNames[r.after], r.newer, r.healed)
}

// play returns what was wrong with the answers.
func (r repeatedOrder) play(t *testing.T) []string {
	t.Helper()
	b := fleet(t, small())
	if r.plant != nil {
		for _, core := range b.cores {
			r.plant(core)
		}
	}
	old := b.primary()
	b.acknowledged(t, old, put(5, 0, `{"n":5}`))
	request := put(10, 5, `{"n":10}`)
	b.lose(old, request, r.lost)
	primary := b.afterwards(t, old, r.after)
	_, survived := primary.state.Version(10)
	for i := 1; i <= r.newer; i++ {
		latest, _ := primary.state.Latest()
		number := latest.Number + 3
		b.acknowledged(t, primary, put(number, latest.Number, fmt.Sprintf(`{"n":%d}`, number)))
	}
	if r.healed {
		b.drop = nil
		b.pass(5 * clock.Second)
	}
	return b.repeat(t, request, r, survived)
}

// lose sends an order and loses its trace at some point.
func (b *bench) lose(primary *Core, request PutConfigurationRequest, lost lostAnswer) {
	switch lost {
	case neverArrived:
		return
	case onOneDisk:
		b.drop = held
	case onAllDisks:
		b.drop = func(l letter) bool { _, ack := l.body.(replication.AppendAck); return ack }
	case confirmedThen:
	}
	b.ask(primary, request)
	b.pump()
	b.drop = nil
}

func (b *bench) afterwards(t *testing.T, old *Core, after afterwards) *Core {
	t.Helper()
	switch after {
	case isCutOff:
		b.drop = cutOff(old)
		return b.servingBut(t, old)
	case isKilled:
		delete(b.cores, old.self.Peer)
		return b.servingBut(t, old)
	}
	b.pass(clock.Second)
	return old
}

// repeat sends the order to every core, twice at once, and judges the answers.
func (b *bench) repeat(t *testing.T, request PutConfigurationRequest, r repeatedOrder, survived bool) []string {
	t.Helper()
	var wrong []string
	var acknowledgements, refusals int
	mayRefuse := !survived && r.newer > 0 // its base was passed, and it was never taken
	for _, peer := range sortedKeys(b.cores) {
		calls := []uint64{b.ask(b.cores[peer], request), b.ask(b.cores[peer], request)}
		b.pass(request.Timeout + clock.Second)
		for _, call := range calls {
			answer := b.told(t, call)
			switch {
			case answer.Err == nil:
				acknowledgements++
			case refused(answer):
				refusals++
				if !mayRefuse {
					wrong = append(wrong, fmt.Sprintf("%s refuses: %v", peer, answer.Err))
				}
			}
		}
	}
	if mayRefuse && acknowledgements > 0 {
		wrong = append(wrong, "acknowledged on a base that is not in force")
	}
	if !mayRefuse && acknowledgements < 2 || mayRefuse && refusals < 2 {
		wrong = append(wrong, fmt.Sprintf("%d acknowledgements and %d refusals: the primary gave no clear answer", acknowledgements, refusals))
	}
	return wrong
}

// An order whose answer was lost is sent again, as it was, to every core: it is
// acknowledged or left unclear. It is refused only where it was never taken and
// another version has taken its base.
func TestOrdersThatAreSentAgain(t *testing.T) {
	for lost := range lostAnswers {
		for after := range afterwardsNames {
			for _, newer := range []int{0, 1, 20} {
				for _, healed := range []bool{false, true} {
					r := repeatedOrder{lost: lost, after: after, newer: newer, healed: healed}
					t.Run(r.String(), func(t *testing.T) {
						for _, wrong := range r.play(t) {
							t.Error(wrong)
						}
					})
				}
			}
		}
	}
}

// A snapshot without the table of orders is caught: a planted fault.
func TestASnapshotWithoutTheOrdersIsCaught(t *testing.T) {
	r := repeatedOrder{lost: confirmedThen, after: isKilled, newer: 1, plant: func(core *Core) { core.InjectFaults(InjectedFaults{SkipRequestTable: true}) }}
	// The new primary fills its own replica by a snapshot; that one takes over next.
	b := fleet(t, small())
	for _, core := range b.cores {
		r.plant(core)
	}
	b.acknowledged(t, b.primary(), put(5, 0, `{"n":5}`))
	old := b.primary()
	b.drop = cutOff(old)
	second := b.servingBut(t, old)
	b.drop = nil
	b.pass(5 * clock.Second)
	b.acknowledged(t, second, put(7, 5, `{"n":7}`))
	b.drop = cutOff(second)
	b.servingBut(t, second)
	wrong := b.repeat(t, put(5, 0, `{"n":5}`), r, true)
	if len(wrong) == 0 {
		t.Fatal("the planted fault was not caught")
	}
	t.Log(wrong[0])
}

// A primary that was deposed without knowing refuses nothing: what it takes for
// stale may have been taken by the new one.
func TestADeposedPrimaryRefusesNothing(t *testing.T) {
	b := fleet(t, small())
	old := b.primary()
	b.acknowledged(t, old, put(5, 0, `{"n":5}`))
	b.drop = cutOff(old)
	primary := b.servingBut(t, old)
	b.acknowledged(t, primary, put(8, 5, `{"n":8}`))
	b.acknowledged(t, primary, put(9, 8, `{"n":9}`))
	for _, request := range []PutConfigurationRequest{put(9, 8, `{"n":9}`), put(5, 0, `{"n":"other"}`), put(4, 5, `{"n":4}`)} {
		call := b.ask(old, request)
		b.pass(4 * clock.Second)
		if answer := b.told(t, call); answer.Err == nil || refused(answer) {
			t.Errorf("version %d on %d: told %v %v", request.Number, request.Base, answer.Body, answer.Err)
		}
	}
	for _, request := range []ConfigurationsRequest{{Latest: true}, {}, {Version: 9}} {
		if answer := b.told(t, b.ask(old, request)); !errs.Is(answer.Err, errs.NotReady) {
			t.Errorf("%+v: told %v %v", request, answer.Body, answer.Err)
		}
	}
}

// Two documents under one number, through a change of primary: the second one is
// confirmed, and the first one never.
func TestOneNumberIsConfirmedOnce(t *testing.T) {
	b := fleet(t, small())
	old := b.primary()
	first, second := put(5, 0, `{"by":"first"}`), put(5, 0, `{"by":"second"}`)
	b.lose(old, first, onOneDisk)
	b.drop = cutOff(old)
	primary := b.servingBut(t, old)
	b.acknowledged(t, primary, second)
	b.drop = nil
	b.pass(5 * clock.Second)
	for round := 0; round < 3; round++ {
		for _, peer := range sortedKeys(b.cores) {
			call := b.ask(b.cores[peer], first)
			b.pass(4 * clock.Second)
			if answer := b.told(t, call); answer.Err == nil {
				t.Fatalf("round %d, %s: both documents are confirmed under one number", round, peer)
			}
		}
		again := b.primary()
		b.drop = cutOff(again)
		b.servingBut(t, again)
		b.drop = nil
		b.pass(5 * clock.Second)
	}
	if version, ok := b.primary().state.Version(5); !ok || string(version.Body) != `{"by":"second"}` {
		t.Fatalf("in force is %s", version.Body)
	}
}

// Eight orders are under way at once, each built on the one before, and come in any
// order: all are taken.
func TestEightOrdersAtOnce(t *testing.T) {
	for turn := 0; turn < 8; turn++ {
		b := fleet(t, small())
		core := b.primary()
		b.drop = held // what comes first is still on its way when the others come
		b.ask(core, put(1, 0, `{}`))
		var calls []uint64
		for i := 0; i < 8; i++ {
			n := uint64((i*5+turn)%8) + 1
			calls = append(calls, b.ask(core, put(n+1, n, fmt.Sprintf(`{"n":%d}`, n+1))))
		}
		b.drop = nil
		b.pass(2 * clock.Second)
		for _, call := range calls {
			if answer := b.told(t, call); answer.Err != nil {
				t.Errorf("turn %d: told %v", turn, answer.Err)
			}
		}
		if latest, _ := core.state.Latest(); latest.Number != 9 {
			t.Errorf("turn %d: version %d is in force", turn, latest.Number)
		}
	}
}

// An order that the core numbers is recognised by its base and document.
func TestAnOrderThatTheCoreNumbersIsRecognised(t *testing.T) {
	b := fleet(t, small())
	core := b.primary()
	request := PutConfigurationRequest{HasBase: true, Body: []byte(`{"a":1}`), Timeout: clock.Second}
	other := PutConfigurationRequest{HasBase: true, Base: 1, Body: []byte(`{"a":2}`), Timeout: clock.Second}
	for i, step := range []struct {
		ask  PutConfigurationRequest
		want uint64
	}{{request, 1}, {request, 1}, {other, 2}, {request, 1}, {other, 2}} {
		call := b.ask(core, step.ask)
		b.pump()
		if answer := b.told(t, call); answer.Body != (PutConfigurationResponse{Version: step.want}) {
			t.Errorf("step %d: told %v %v", i, answer.Body, answer.Err)
		}
	}
	call := b.ask(core, PutConfigurationRequest{HasBase: true, Body: []byte(`{"a":3}`), Timeout: clock.Second})
	b.pump()
	if answer := b.told(t, call); !errs.Is(answer.Err, errs.StaleBase) {
		t.Errorf("another document on the same base: told %v %v", answer.Body, answer.Err)
	}
}

// An order that is older than all that is recognised is left unclear: it is not
// refused, and not taken a second time.
func TestAForgottenOrderIsLeftUnclear(t *testing.T) {
	b := fleet(t, small())
	core := b.primary()
	for n := uint64(1); n <= state.MaxRequests+3; n++ {
		b.acknowledged(t, core, put(n, n-1, fmt.Sprintf(`{"n":%d}`, n)))
	}
	for n, want := range map[uint64]bool{1: false, 3: false, 4: true, 5: true, state.MaxRequests + 3: true} {
		call := b.ask(core, put(n, n-1, fmt.Sprintf(`{"n":%d}`, n)))
		b.pump()
		if answer := b.told(t, call); want != (answer.Err == nil) || !want && !errs.Is(answer.Err, errs.OutcomeUnknown) {
			t.Errorf("version %d again: told %v %v", n, answer.Body, answer.Err)
		}
	}
	call := b.ask(core, PutConfigurationRequest{HasBase: true, Base: 2, Body: []byte(`{"n":3}`), Timeout: clock.Second})
	b.pump()
	if answer := b.told(t, call); !errs.Is(answer.Err, errs.OutcomeUnknown) {
		t.Errorf("numbered by the core: told %v %v", answer.Body, answer.Err)
	}
	if latest, _ := core.state.Latest(); latest.Number != state.MaxRequests+3 {
		t.Errorf("version %d is in force", latest.Number)
	}
}

// Old documents give way; what is asked for says so, and the list has their digests.
func TestAnOldDocumentGaveWay(t *testing.T) {
	b := fleet(t, small())
	core := b.primary()
	for n := uint64(1); n <= 20; n++ {
		b.acknowledged(t, core, put(n, n-1, fmt.Sprintf(`{"n":%d}`, n)))
	}
	answer := b.told(t, b.ask(core, ConfigurationsRequest{Version: 1}))
	if !errs.Is(answer.Err, errs.NotFound) || errs.Of(answer.Err).Remedy == "" {
		t.Errorf("an old version: told %v %v", answer.Body, answer.Err)
	}
	if answer = b.told(t, b.ask(core, ConfigurationsRequest{Version: 19})); answer.Err != nil || string(answer.Body.(ConfigurationsResponse).Versions[0].Body) != `{"n":19}` {
		t.Errorf("the one before the newest: told %v %v", answer.Body, answer.Err)
	}
	list := b.told(t, b.ask(core, ConfigurationsRequest{})).Body.(ConfigurationsResponse)
	digest, _ := state.DigestOf([]byte(`{ "n" : 1 }`))
	if len(list.Requests) != 20 || list.Requests[0] != (state.AppliedRequest{Number: 1, Digest: digest}) || len(list.Versions) == 0 || list.Versions[0].Body != nil {
		t.Errorf("the list is %+v", list)
	}
}

// A snapshot that is damaged, or of another form, ends the core: what it holds on
// disk stays as it is, and nothing is acknowledged.
func TestADamagedSnapshotEndsTheCore(t *testing.T) {
	b := fleet(t, small())
	core := b.primary()
	b.acknowledged(t, core, put(1, 0, `{}`))
	parts := core.Snapshot("")
	parts[0][len(parts[0])-2] ^= 1
	core.Restore("", parts)
	if !errs.Is(core.BadRecord, errs.Corrupt) || errs.Of(core.BadRecord).Remedy == "" {
		t.Fatalf("told %v", core.BadRecord)
	}
	if latest, _ := core.state.Latest(); latest.Number != 1 {
		t.Error("what was held is lost")
	}
	effects := core.Drain()
	if halt, ok := effects[len(effects)-1].(machine.Halt); !ok || !errs.Is(halt.Err, errs.Corrupt) {
		t.Errorf("the core goes on: %v", effects)
	}
}

// An order that overtook the one it is built on is not refused: that verdict would not be
// final, as it is valid once its base is in force (found on real processes).
func TestAnOrderThatOvertookItsBaseIsNotRefused(t *testing.T) {
	b := fleet(t, small())
	core := b.primary()
	b.acknowledged(t, core, put(1, 0, `{"n":1}`))
	early := b.ask(core, put(3, 2, `{"n":3}`))
	b.pass(clock.Second)
	if answer, notified := b.answers[early]; notified {
		t.Fatalf("told %v %v before its base came", answer.Body, answer.Err)
	}
	b.acknowledged(t, core, put(2, 1, `{"n":2}`))
	b.pass(clock.Second)
	if answer := b.told(t, early); answer.Err != nil {
		t.Fatalf("its base is in force, and it is told %v", answer.Err)
	}
	lost := b.ask(core, put(9, 8, `{"n":9}`))
	b.pass(5 * clock.Second)
	if answer := b.told(t, lost); !errs.Is(answer.Err, errs.NotReady) {
		t.Fatalf("its base never came, and it is told %v %v", answer.Body, answer.Err)
	}
	senseless := b.ask(core, put(9, 9, `{"n":9}`))
	b.pass(clock.Second)
	if answer := b.told(t, senseless); !refused(answer) {
		t.Fatalf("an order under its own base's number is told %v %v", answer.Body, answer.Err)
	}
}
