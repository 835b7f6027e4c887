package primaryreport

import (
	"errors"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
)

// testPart is a Part that reports one number if it differs from the acknowledged one.
type testPart struct{ value, acknowledged int64 }

func (f *testPart) Add(report *Report, _ clock.Micros) bool {
	if f.value == f.acknowledged {
		return false
	}
	report.Usage = []WindowCounts{{Window: 1, Counts: map[string]int64{"t": f.value}}}
	return true
}

func (f *testPart) Acknowledged(report Report, _ Reply) { f.acknowledged = report.Usage[0].Counts["t"] }
func (f *testPart) Reset()                              { f.acknowledged = 0 }

// senderFixture is a sender with one part, whose requests stay outstanding until reply is called.
type senderFixture struct {
	*Sender
	*testPart
	t     *testing.T
	calls *machine.Calls
	now   clock.Micros
}

func newSenderFixture(t *testing.T) *senderFixture {
	b := &senderFixture{t: t, calls: machine.NewCalls(), testPart: &testPart{}, now: 100 * clock.Second}
	b.Sender = NewSender("edge-1", b.calls)
	b.AddPart(b.testPart)
	b.SetIncarnation(7)
	return b
}

// tick advances the time by one interval and returns the report that is sent, or false.
func (b *senderFixture) tick() (machine.Request, bool) {
	b.now += Interval
	b.Tick(b.now)
	return b.sent()
}

func (b *senderFixture) sent() (machine.Request, bool) {
	effects := b.calls.Drain()
	if len(effects) == 0 {
		return machine.Request{}, false
	}
	if len(effects) > 1 {
		b.t.Fatalf("got %d effects, want at most 1", len(effects))
	}
	return effects[0].(machine.Request), true
}

func (b *senderFixture) mustTick() machine.Request {
	b.t.Helper()
	request, ok := b.tick()
	if !ok {
		b.t.Fatal("no report was sent")
	}
	return request
}

func (b *senderFixture) reply(request machine.Request, reply Reply) {
	b.calls.ReplyReceived(request.Token, reply, nil, b.now)
}

func TestNothingIsSentWithoutChanges(t *testing.T) {
	b := newSenderFixture(t)
	b.value = 1
	if _, ok := b.tick(); ok {
		t.Fatal("sent without a primary")
	}
	b.SetPrimary(state.CoreUpdate{Epoch: 3, Peer: "core"})
	request := b.mustTick()
	report := request.Body.(Report)
	if request.To != "core" || report.Daemon != "edge-1" || report.Incarnation != 7 || report.Epoch != 3 || report.SentAt != b.now {
		t.Fatalf("sent %+v", request)
	}
	b.reply(request, Reply{Epoch: 3})
	if _, ok := b.tick(); ok {
		t.Fatal("sent again what was acknowledged")
	}
	b.value = 2
	b.mustTick()
}

func TestFailedReportIsSentAgain(t *testing.T) {
	b := newSenderFixture(t)
	b.SetPrimary(state.CoreUpdate{Epoch: 3, Peer: "core"})
	b.value = 1
	first := b.mustTick()
	if _, ok := b.tick(); ok {
		t.Fatal("sent a second report while the reply to the first is outstanding")
	}
	b.calls.ReplyReceived(first.Token, nil, errors.New("lost"), b.now)
	b.mustTick()
	if b.Sent != 2 || b.Failed != 1 {
		t.Errorf("sent %d, failed %d", b.Sent, b.Failed)
	}
}

// Acknowledgements of a former primary are discarded when a new term becomes known, whether by an
// update or by a reply.
func TestNewPrimaryGetsFullReport(t *testing.T) {
	b := newSenderFixture(t)
	b.SetPrimary(state.CoreUpdate{Epoch: 3, Peer: "core"})
	b.value = 1
	b.reply(b.mustTick(), Reply{Epoch: 3})
	b.SetPrimary(state.CoreUpdate{Epoch: 4, Peer: "next"})
	if request := b.mustTick(); request.To != "next" || request.Body.(Report).Epoch != 4 {
		t.Fatalf("sent %+v", request)
	} else {
		b.reply(request, Reply{Epoch: 5})
	}
	again := b.mustTick()
	if again.Body.(Report).Epoch != 5 || b.acknowledged != 0 {
		t.Fatalf("after a reply of term 5: %+v, acknowledged %d", again, b.acknowledged)
	}
	b.SetPrimary(state.CoreUpdate{Epoch: 4, Peer: "other"})
	b.reply(again, Reply{Epoch: 5})
	b.value = 2
	if request := b.mustTick(); request.To != "next" {
		t.Errorf("an older update changed the primary to %s", request.To)
	}
}

// A reply to a report of the former term, received after a change of the primary, acknowledges
// nothing.
func TestLateAcknowledgementIsIgnored(t *testing.T) {
	b := newSenderFixture(t)
	b.SetPrimary(state.CoreUpdate{Epoch: 3, Peer: "core"})
	b.value = 1
	request := b.mustTick()
	b.SetPrimary(state.CoreUpdate{Epoch: 4, Peer: "next"})
	b.Tick(b.now)
	if anew, ok := b.sent(); !ok || anew.To != "next" {
		t.Fatal("no report was sent to the new primary at once")
	}
	b.reply(request, Reply{Epoch: 3})
	if b.acknowledged != 0 {
		t.Error("acknowledged")
	}
}

func TestFlushEndsOnceAllIsAcknowledged(t *testing.T) {
	b := newSenderFixture(t)
	ended := 0
	b.Flush(b.now, func() { ended++ })
	if ended != 1 {
		t.Fatal("a flush without a known primary does not end at once")
	}
	b.SetPrimary(state.CoreUpdate{Epoch: 3, Peer: "core"})
	b.value = 1
	waiting := b.mustTick()
	b.value = 2
	b.Flush(b.now, func() { ended++ })
	b.reply(waiting, Reply{Epoch: 3})
	last, ok := b.sent()
	if !ok || ended != 1 || last.Body.(Report).Usage[0].Counts["t"] != 2 {
		t.Fatalf("after the report before the flush: sent %v, ended %d", ok, ended)
	}
	b.reply(last, Reply{Epoch: 3})
	if ended != 2 || b.acknowledged != 2 {
		t.Errorf("ended %d, acknowledged %d", ended, b.acknowledged)
	}
}

func TestFlushEndsAfterMaxAttempts(t *testing.T) {
	b := newSenderFixture(t)
	b.SetPrimary(state.CoreUpdate{Epoch: 3, Peer: "core"})
	b.value = 1
	ended := 0
	b.Flush(b.now, func() { ended++ })
	attempts := 0
	for request, ok := b.sent(); ok; request, ok = b.sent() {
		attempts++
		b.calls.ReplyReceived(request.Token, nil, errors.New("lost"), b.now)
	}
	if ended != 1 || attempts != maxFlushAttempts {
		t.Errorf("ended %d after %d attempts", ended, attempts)
	}
}

// A report that only the primary has would be lost if the primary fails, so a flush goes to all
// voters.
func TestFlushSendsToAllVoters(t *testing.T) {
	b := newSenderFixture(t)
	b.SetPrimary(state.CoreUpdate{Epoch: 3, Peer: "core", VoterPeers: []string{"a", "core", "b"}})
	b.value = 1
	b.reply(b.mustTick(), Reply{Epoch: 3})
	b.Flush(b.now, func() {})
	var to []string
	for _, effect := range b.calls.Drain() {
		switch effect := effect.(type) {
		case machine.Send:
			to = append(to, effect.To)
			if len(effect.Body.(Report).Usage) != 1 {
				t.Errorf("sent %+v", effect)
			}
		case machine.Request:
			to = append(to, effect.To)
		}
	}
	if !slices.Equal(to, []string{"a", "core", "b", "core"}) {
		t.Errorf("got reports to %q", to)
	}
}
