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

// isolate drops all messages from and to a core.
func isolate(core *Core) func(l envelope) bool {
	return func(l envelope) bool { return l.to == core.self.Peer || l.from == core.self.Peer }
}

// awaitOtherPrimary waits until a core other than old serves under its lease.
func (b *testCluster) awaitOtherPrimary(t *testing.T, old *Core) *Core {
	t.Helper()
	for i := 0; i < 400; i++ {
		b.advance(50 * clock.Millisecond)
		for _, core := range b.cores {
			if core != old && core.HoldsLease(b.now) && !core.queue.HasInFlight() {
				return core
			}
		}
	}
	t.Fatal("no other core became primary within 20 s")
	return nil
}

// mustAcknowledge puts a configuration; it fails the test unless it is acknowledged.
func (b *testCluster) mustAcknowledge(t *testing.T, core *Core, request PutConfigurationRequest) {
	t.Helper()
	call := b.call(core, request)
	b.deliverAll()
	if answer := b.reply(t, call); answer.Err != nil {
		t.Fatalf("version %d on %d: %v", request.Number, request.Base, answer.Err)
	}
}

// isRefusal reports whether a reply is a final refusal for the operator.
func isRefusal(answer machine.Reply) bool {
	return errs.Is(answer.Err, errs.StaleBase) || errs.Is(answer.Err, errs.InvalidConfiguration) || errs.Is(answer.Err, errs.BadInput) || errs.Is(answer.Err, errs.Conflict)
}

// lossPoint is the progress of a request before it or its reply is lost.
type lossPoint int

const (
	beforeArrival     lossPoint = iota
	onPrimaryDisk               // no replica has the entry
	onAllDisks                  // the replica has the entry, but its acknowledgement is lost
	afterConfirmation           // only the reply to the operator is lost
)

var lossPointNames = map[lossPoint]string{beforeArrival: "never arrived", onPrimaryDisk: "on the primary's disk", onAllDisks: "on all disks", afterConfirmation: "confirmed"}

// primaryFailure is the failure of the primary before the request is repeated.
type primaryFailure int

const (
	noFailure primaryFailure = iota
	primaryIsolated
	primaryKilled
)

var primaryFailureNames = map[primaryFailure]string{noFailure: "stays", primaryIsolated: "is isolated", primaryKilled: "is killed"}

// repeatedRequest is a request for version 10 on base 5 that is repeated to every core.
type repeatedRequest struct {
	lost          lossPoint
	failure       primaryFailure
	newerVersions int // versions put before the request is repeated
	healed        bool
	injectFaults  func(core *Core)
}

func (r repeatedRequest) String() string {
	return fmt.Sprintf("%s, primary %s, %d newer, healed %v", lossPointNames[r.lost], primaryFailureNames[r.failure], r.newerVersions, r.healed)
}

// run returns descriptions of the wrong replies.
func (r repeatedRequest) run(t *testing.T) []string {
	t.Helper()
	b := bootstrappedCluster(t, smallSettings())
	if r.injectFaults != nil {
		for _, core := range b.cores {
			r.injectFaults(core)
		}
	}
	old := b.primary()
	b.mustAcknowledge(t, old, putRequest(5, 0, `{"n":5}`))
	request := putRequest(10, 5, `{"n":10}`)
	b.submitAndLose(old, request, r.lost)
	primary := b.failPrimary(t, old, r.failure)
	_, survived := primary.state.Version(10)
	for i := 1; i <= r.newerVersions; i++ {
		latest, _ := primary.state.Latest()
		number := latest.Number + 3
		b.mustAcknowledge(t, primary, putRequest(number, latest.Number, fmt.Sprintf(`{"n":%d}`, number)))
	}
	if r.healed {
		b.drop = nil
		b.advance(5 * clock.Second)
	}
	return b.resendEverywhere(t, request, r, survived)
}

// submitAndLose sends a request and loses it, or its reply, at the given point.
func (b *testCluster) submitAndLose(primary *Core, request PutConfigurationRequest, lost lossPoint) {
	switch lost {
	case beforeArrival:
		return
	case onPrimaryDisk:
		b.drop = isAppend
	case onAllDisks:
		b.drop = func(l envelope) bool { _, ack := l.body.(replication.AppendAck); return ack }
	case afterConfirmation:
	}
	b.call(primary, request)
	b.deliverAll()
	b.drop = nil
}

func (b *testCluster) failPrimary(t *testing.T, old *Core, failure primaryFailure) *Core {
	t.Helper()
	switch failure {
	case primaryIsolated:
		b.drop = isolate(old)
		return b.awaitOtherPrimary(t, old)
	case primaryKilled:
		delete(b.cores, old.self.Peer)
		return b.awaitOtherPrimary(t, old)
	}
	b.advance(clock.Second)
	return old
}

// resendEverywhere repeats the request to every core, two at the same time, and checks the replies.
func (b *testCluster) resendEverywhere(t *testing.T, request PutConfigurationRequest, r repeatedRequest, survived bool) []string {
	t.Helper()
	var wrong []string
	var acknowledgements, refusals int
	mayRefuse := !survived && r.newerVersions > 0 // its base is no longer in force, and it was never applied
	for _, peer := range sortedKeys(b.cores) {
		calls := []uint64{b.call(b.cores[peer], request), b.call(b.cores[peer], request)}
		b.advance(request.Timeout + clock.Second)
		for _, call := range calls {
			answer := b.reply(t, call)
			switch {
			case answer.Err == nil:
				acknowledgements++
			case isRefusal(answer):
				refusals++
				if !mayRefuse {
					wrong = append(wrong, fmt.Sprintf("%s refused the request: %v", peer, answer.Err))
				}
			}
		}
	}
	if mayRefuse && acknowledgements > 0 {
		wrong = append(wrong, "acknowledged on a base that is not in force")
	}
	if !mayRefuse && acknowledgements < 2 || mayRefuse && refusals < 2 {
		wrong = append(wrong, fmt.Sprintf("%d acknowledgements and %d refusals: the primary gave no final answer", acknowledgements, refusals))
	}
	return wrong
}

// A request whose reply was lost is repeated unchanged to every core: it is acknowledged, or its
// outcome is unknown. It is refused only if it was never applied and another version was built
// on its base.
func TestRepeatedRequestIsAcknowledgedOrUnknown(t *testing.T) {
	for lost := range lossPointNames {
		for failure := range primaryFailureNames {
			for _, newer := range []int{0, 1, 20} {
				for _, healed := range []bool{false, true} {
					r := repeatedRequest{lost: lost, failure: failure, newerVersions: newer, healed: healed}
					t.Run(r.String(), func(t *testing.T) {
						for _, wrong := range r.run(t) {
							t.Error(wrong)
						}
					})
				}
			}
		}
	}
}

// The checks detect an injected fault: snapshots without the table of requests.
func TestSnapshotWithoutRequestTableIsDetected(t *testing.T) {
	r := repeatedRequest{lost: afterConfirmation, failure: primaryKilled, newerVersions: 1, injectFaults: func(core *Core) { core.InjectFaults(InjectedFaults{SkipRequestTable: true}) }}
	// The second primary sends its replica a snapshot; that replica becomes primary next.
	b := bootstrappedCluster(t, smallSettings())
	for _, core := range b.cores {
		r.injectFaults(core)
	}
	b.mustAcknowledge(t, b.primary(), putRequest(5, 0, `{"n":5}`))
	old := b.primary()
	b.drop = isolate(old)
	second := b.awaitOtherPrimary(t, old)
	b.drop = nil
	b.advance(5 * clock.Second)
	b.mustAcknowledge(t, second, putRequest(7, 5, `{"n":7}`))
	b.drop = isolate(second)
	b.awaitOtherPrimary(t, second)
	wrong := b.resendEverywhere(t, putRequest(5, 0, `{"n":5}`), r, true)
	if len(wrong) == 0 {
		t.Fatal("the injected fault was not detected")
	}
	t.Log(wrong[0])
}

// A primary that was deposed without noticing refuses no request: the new primary may have
// applied a request that the old one considers stale.
func TestDeposedPrimaryGivesNoFinalRefusal(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	old := b.primary()
	b.mustAcknowledge(t, old, putRequest(5, 0, `{"n":5}`))
	b.drop = isolate(old)
	primary := b.awaitOtherPrimary(t, old)
	b.mustAcknowledge(t, primary, putRequest(8, 5, `{"n":8}`))
	b.mustAcknowledge(t, primary, putRequest(9, 8, `{"n":9}`))
	for _, request := range []PutConfigurationRequest{putRequest(9, 8, `{"n":9}`), putRequest(5, 0, `{"n":"other"}`), putRequest(4, 5, `{"n":4}`)} {
		call := b.call(old, request)
		b.advance(4 * clock.Second)
		if answer := b.reply(t, call); answer.Err == nil || isRefusal(answer) {
			t.Errorf("version %d on %d: reply %v, error %v, want neither an acknowledgement nor a refusal", request.Number, request.Base, answer.Body, answer.Err)
		}
	}
	for _, request := range []ConfigurationsRequest{{Latest: true}, {}, {Version: 9}} {
		if answer := b.reply(t, b.call(old, request)); !errs.Is(answer.Err, errs.NotReady) {
			t.Errorf("%+v: reply %v, error %v, want not ready", request, answer.Body, answer.Err)
		}
	}
}

// Two documents are put under one number, before and after a change of primary: once the second
// is confirmed, the first must never be.
func TestVersionNumberIsConfirmedForOneDocumentOnly(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	old := b.primary()
	first, second := putRequest(5, 0, `{"by":"first"}`), putRequest(5, 0, `{"by":"second"}`)
	b.submitAndLose(old, first, onPrimaryDisk)
	b.drop = isolate(old)
	primary := b.awaitOtherPrimary(t, old)
	b.mustAcknowledge(t, primary, second)
	b.drop = nil
	b.advance(5 * clock.Second)
	for round := 0; round < 3; round++ {
		for _, peer := range sortedKeys(b.cores) {
			call := b.call(b.cores[peer], first)
			b.advance(4 * clock.Second)
			if answer := b.reply(t, call); answer.Err == nil {
				t.Fatalf("round %d, %s: both documents were confirmed under one number", round, peer)
			}
		}
		again := b.primary()
		b.drop = isolate(again)
		b.awaitOtherPrimary(t, again)
		b.drop = nil
		b.advance(5 * clock.Second)
	}
	if version, ok := b.primary().state.Version(5); !ok || string(version.Body) != `{"by":"second"}` {
		t.Fatalf("the configuration in force is %s", version.Body)
	}
}

// Eight requests are in flight at the same time, each based on the previous one. They are all
// applied, in whichever order they arrive.
func TestDependentRequestsArriveInAnyOrder(t *testing.T) {
	for turn := 0; turn < 8; turn++ {
		b := bootstrappedCluster(t, smallSettings())
		core := b.primary()
		b.drop = isAppend // the first request is still in flight when the others arrive
		b.call(core, putRequest(1, 0, `{}`))
		var calls []uint64
		for i := 0; i < 8; i++ {
			n := uint64((i*5+turn)%8) + 1
			calls = append(calls, b.call(core, putRequest(n+1, n, fmt.Sprintf(`{"n":%d}`, n+1))))
		}
		b.drop = nil
		b.advance(2 * clock.Second)
		for _, call := range calls {
			if answer := b.reply(t, call); answer.Err != nil {
				t.Errorf("order %d: error %v", turn, answer.Err)
			}
		}
		if latest, _ := core.state.Latest(); latest.Number != 9 {
			t.Errorf("order %d: version %d is in force, want 9", turn, latest.Number)
		}
	}
}

// A repeated request without a number is recognised by its base and document.
func TestRepeatedRequestWithoutNumberIsRecognised(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	request := PutConfigurationRequest{HasBase: true, Body: []byte(`{"a":1}`), Timeout: clock.Second}
	other := PutConfigurationRequest{HasBase: true, Base: 1, Body: []byte(`{"a":2}`), Timeout: clock.Second}
	for i, step := range []struct {
		request PutConfigurationRequest
		want    uint64
	}{{request, 1}, {request, 1}, {other, 2}, {request, 1}, {other, 2}} {
		call := b.call(core, step.request)
		b.deliverAll()
		if answer := b.reply(t, call); answer.Body != (PutConfigurationResponse{Version: step.want}) {
			t.Errorf("step %d: reply %v, error %v, want the same version", i, answer.Body, answer.Err)
		}
	}
	call := b.call(core, PutConfigurationRequest{HasBase: true, Body: []byte(`{"a":3}`), Timeout: clock.Second})
	b.deliverAll()
	if answer := b.reply(t, call); !errs.Is(answer.Err, errs.StaleBase) {
		t.Errorf("another document on the same base: reply %v, error %v, want a stale base", answer.Body, answer.Err)
	}
}

// The outcome of a request that is older than every recognised one is unknown: it is neither
// refused nor applied a second time.
func TestOutcomeOfForgottenRequestIsUnknown(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	for n := uint64(1); n <= state.MaxRequests+3; n++ {
		b.mustAcknowledge(t, core, putRequest(n, n-1, fmt.Sprintf(`{"n":%d}`, n)))
	}
	for n, want := range map[uint64]bool{1: false, 3: false, 4: true, 5: true, state.MaxRequests + 3: true} {
		call := b.call(core, putRequest(n, n-1, fmt.Sprintf(`{"n":%d}`, n)))
		b.deliverAll()
		if answer := b.reply(t, call); want != (answer.Err == nil) || !want && !errs.Is(answer.Err, errs.OutcomeUnknown) {
			t.Errorf("repeated version %d: reply %v, error %v", n, answer.Body, answer.Err)
		}
	}
	call := b.call(core, PutConfigurationRequest{HasBase: true, Base: 2, Body: []byte(`{"n":3}`), Timeout: clock.Second})
	b.deliverAll()
	if answer := b.reply(t, call); !errs.Is(answer.Err, errs.OutcomeUnknown) {
		t.Errorf("a repeat without a number: reply %v, error %v, want an unknown outcome", answer.Body, answer.Err)
	}
	if latest, _ := core.state.Latest(); latest.Number != state.MaxRequests+3 {
		t.Errorf("version %d is in force, want the last one", latest.Number)
	}
}

// Old documents are dropped; a read of one returns a specific error, and the list has their
// digests.
func TestOldDocumentIsDroppedAndItsDigestKept(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	for n := uint64(1); n <= 20; n++ {
		b.mustAcknowledge(t, core, putRequest(n, n-1, fmt.Sprintf(`{"n":%d}`, n)))
	}
	answer := b.reply(t, b.call(core, ConfigurationsRequest{Version: 1}))
	if !errs.Is(answer.Err, errs.NotFound) || errs.Of(answer.Err).Remedy == "" {
		t.Errorf("an old version: reply %v, error %v, want not found", answer.Body, answer.Err)
	}
	if answer = b.reply(t, b.call(core, ConfigurationsRequest{Version: 19})); answer.Err != nil || string(answer.Body.(ConfigurationsResponse).Versions[0].Body) != `{"n":19}` {
		t.Errorf("the version before the newest: reply %v, error %v", answer.Body, answer.Err)
	}
	list := b.reply(t, b.call(core, ConfigurationsRequest{})).Body.(ConfigurationsResponse)
	digest, _ := state.DigestOf([]byte(`{ "n" : 1 }`))
	if len(list.Requests) != 20 || list.Requests[0] != (state.AppliedRequest{Number: 1, Digest: digest}) || len(list.Versions) == 0 || list.Versions[0].Body != nil {
		t.Errorf("list %+v", list)
	}
}

// A damaged snapshot halts the core: its state stays unchanged, and nothing is acknowledged.
func TestDamagedSnapshotHaltsTheCore(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	b.mustAcknowledge(t, core, putRequest(1, 0, `{}`))
	parts := core.LocalSnapshot("")
	parts[0][len(parts[0])-2] ^= 1
	core.Restore("", parts)
	if !errs.Is(core.BadRecord, errs.Corrupt) || errs.Of(core.BadRecord).Remedy == "" {
		t.Fatalf("error %v, want corrupt with a remedy", core.BadRecord)
	}
	if latest, _ := core.state.Latest(); latest.Number != 1 {
		t.Error("the previous state was lost")
	}
	effects := core.Drain()
	if halt, ok := effects[len(effects)-1].(machine.Halt); !ok || !errs.Is(halt.Err, errs.Corrupt) {
		t.Errorf("the core does not halt: %v", effects)
	}
}

// A request that arrives before the one it is based on is not refused: a refusal would not be
// final, as the request is valid once its base is in force. The fault was found on real
// processes.
func TestRequestThatPrecedesItsBaseIsNotRefused(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	b.mustAcknowledge(t, core, putRequest(1, 0, `{"n":1}`))
	early := b.call(core, putRequest(3, 2, `{"n":3}`))
	b.advance(clock.Second)
	if answer, isAnswered := b.replies[early]; isAnswered {
		t.Fatalf("reply %v, error %v before the base arrived", answer.Body, answer.Err)
	}
	b.mustAcknowledge(t, core, putRequest(2, 1, `{"n":2}`))
	b.advance(clock.Second)
	if answer := b.reply(t, early); answer.Err != nil {
		t.Fatalf("its base is in force, and it got error %v", answer.Err)
	}
	lost := b.call(core, putRequest(9, 8, `{"n":9}`))
	b.advance(5 * clock.Second)
	if answer := b.reply(t, lost); !errs.Is(answer.Err, errs.NotReady) {
		t.Fatalf("its base never arrived: reply %v, error %v, want not ready", answer.Body, answer.Err)
	}
	ownBase := b.call(core, putRequest(9, 9, `{"n":9}`))
	b.advance(clock.Second)
	if answer := b.reply(t, ownBase); !isRefusal(answer) {
		t.Fatalf("a request with the number of its own base: reply %v, error %v, want a refusal", answer.Body, answer.Err)
	}
}
