package gossip

import (
	"fmt"
	"testing"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
)

// town is some gossip nodes with links that can be cut.
type town struct {
	now     clock.Micros
	circles map[string]*Node
	names   []string
	cut     map[string]bool
	lose    func(body any) bool
	apart   func(one, other string) bool
	sent    map[string]int
}

func newTown(count int) *town {
	w := &town{now: 1_000_000, circles: map[string]*Node{}, cut: map[string]bool{}, sent: map[string]int{}}
	for i := 0; i < count; i++ {
		name := fmt.Sprintf("d%02d", i)
		w.names = append(w.names, name)
		w.circles[name] = New(identity.Member{ID: name, Kind: identity.Edge, Peer: name, Incarnation: 1}, []string{"d00", "d01", "d02"}, Defaults(), int64(i+1))
	}
	return w
}

func (w *town) deliver(from string, effects []machine.Effect) {
	for _, effect := range effects {
		if send, ok := effect.(machine.Send); ok {
			w.sent[fmt.Sprintf("%T", send.Body)]++
			to := w.circles[send.To]
			if to == nil || w.cut[from] || w.cut[send.To] || w.lose != nil && w.lose(send.Body) || w.apart != nil && w.apart(from, send.To) {
				continue
			}
			w.deliver(send.To, to.Do(Message{From: from, Body: send.Body}, w.now))
		}
	}
}

func (w *town) pass(span clock.Micros) {
	for end := w.now + span; w.now < end; {
		w.now += 20 * clock.Millisecond
		for _, name := range w.names {
			if !w.cut[name] {
				w.deliver(name, w.circles[name].Do(ClockEvent{}, w.now))
			}
		}
	}
}

func (w *town) standing(at, of string) identity.Status {
	for _, member := range w.circles[at].Members() {
		if member.ID == of {
			return member.Status
		}
	}
	return 99
}

// Fifteen daemons that know three seeds come to know all, each through a
// partial view; updates reaches everyone within a moment.
func TestEveryoneComesToKnowEveryone(t *testing.T) {
	w := newTown(15)
	w.pass(3 * clock.Second)
	for _, name := range w.names {
		if known := len(w.circles[name].Members()); known != 15 {
			t.Fatalf("%s knows %d of 15", name, known)
		}
		if size := len(w.circles[name].view); size > Defaults().View {
			t.Fatalf("%s talks through %d, not a partial view", name, size)
		}
	}
	w.deliver("d07", w.circles["d07"].Do(Publish{machine.Update{Key: "plan", Seq: 1, Value: []byte("x")}}, w.now))
	w.pass(clock.Second)
	for _, name := range w.names {
		if _, ok := w.circles[name].Update("plan"); !ok {
			t.Fatalf("%s has not heard the news after a second", name)
		}
	}
}

// A large update reaches everyone about once, not from every side; and though
// the first who was asked for it falls silent.
func TestALargeRumourTravelsOnce(t *testing.T) {
	for _, lost := range []bool{false, true} {
		w := newTown(15)
		w.pass(3 * clock.Second)
		copies, first := 0, true
		w.lose = func(body any) bool {
			gossip, ok := body.(Gossip)
			if !ok || gossip.Updates[0].Key != "plan" {
				return false
			}
			copies++
			drop := lost && first
			first = false
			return drop
		}
		w.deliver("d07", w.circles["d07"].Do(Publish{machine.Update{Key: "plan", Seq: 1, Value: make([]byte, 100<<10)}}, w.now))
		w.pass(2 * clock.Second)
		for _, name := range w.names {
			if _, ok := w.circles[name].Update("plan"); !ok {
				t.Fatalf("%s has not heard it (first answer lost: %v)", name, lost)
			}
		}
		if copies > 20 {
			t.Fatalf("it travelled %d times to 14 daemons", copies)
		}
	}
}

// Updates are lost altogether: comparing digests mends every gap.
func TestDigestsMendWhatGossipLost(t *testing.T) {
	w := newTown(9)
	w.pass(3 * clock.Second)
	w.lose = func(body any) bool { _, gossip := body.(Gossip); return gossip }
	w.deliver("d03", w.circles["d03"].Do(Publish{machine.Update{Key: "plan", Seq: 1, Value: []byte("x")}}, w.now))
	w.pass(4 * clock.Second)
	for _, name := range w.names {
		if _, ok := w.circles[name].Update("plan"); !ok {
			t.Fatalf("%s never heard", name)
		}
	}
}

// A daemon that falls silent is suspected, then dead, and sound again when back.
func TestSilenceAndReturn(t *testing.T) {
	w := newTown(9)
	w.pass(3 * clock.Second)
	w.cut["d04"] = true
	w.pass(8 * clock.Second)
	if got := w.standing("d00", "d04"); got != identity.Dead {
		t.Fatalf("after 8 s of silence d04 is %s", got)
	}
	w.cut["d04"] = false
	w.pass(8 * clock.Second)
	for _, name := range w.names {
		if got := w.standing(name, "d04"); got != identity.Alive {
			t.Fatalf("at %s d04 is %s after its return", name, got)
		}
	}
}

// A zone that is cut off takes its own updates for old, though its daemons hear
// each other; the rest goes on.
func TestACutZoneIsNotFresh(t *testing.T) {
	w := &town{now: 1_000_000, circles: map[string]*Node{}, cut: map[string]bool{}, sent: map[string]int{}}
	for i := 0; i < 9; i++ {
		name := fmt.Sprintf("d%02d", i)
		w.names = append(w.names, name)
		w.circles[name] = New(identity.Member{ID: name, Kind: identity.Edge, Peer: name, Zone: fmt.Sprint(i % 3), Incarnation: 1}, []string{"d00", "d01", "d02"}, Defaults(), int64(i+1))
	}
	w.pass(3 * clock.Second)
	w.apart = func(one, other string) bool {
		return (w.circles[one].self.Zone == "0") != (w.circles[other].self.Zone == "0")
	}
	w.pass(4 * clock.Second)
	for _, name := range w.names {
		age := w.now - w.circles[name].LastSwap()
		if cut := w.circles[name].self.Zone == "0"; cut != (age > 2500*clock.Millisecond) {
			t.Errorf("%s, in the cut zone %v: its news are %d us old", name, cut, age)
		}
	}
}

// A word that has to be kept everywhere is told once most of the voters have given
// their word; one of the release before is told by gossip, and sent no press.
func TestAWordIsOutOnceMostOfTheRollKnowIt(t *testing.T) {
	for _, reached := range []bool{true, false} {
		c := New(identity.Member{ID: "e", Kind: identity.Edge, Peer: "e", Zone: "z"}, nil, Defaults(), 1)
		for id, version := range map[string]int{"s1": 2, "s2": 2, "s3": 1, "k1": 2, "k2": 2} {
			p := identity.Member{ID: id, Kind: identity.Store, Peer: id, Zone: "y", Version: version}
			c.Do(Publish{machine.Update{Key: identity.Key(id), Seq: p.Seq(), Value: p.Encode()}}, 1)
		}
		c.Do(Publish{machine.Update{Key: "map", Seq: 1, Value: []byte(`{"stores":{"s1":{},"s2":{},"s3":{}}}`)}}, 1)
		c.Do(Publish{machine.Update{Key: "core", Seq: 1, Value: []byte(`{"seats":["k1","k2","k3"]}`)}}, 1)
		var answer *machine.Answer
		pressed := map[string]uint64{}
		take := func(effects []machine.Effect) {
			for _, effect := range effects {
				if a, ok := effect.(machine.Answer); ok {
					answer = &a
				}
				if send, ok := effect.(machine.Send); ok {
					if press, ok := send.Body.(PushUpdate); ok {
						pressed[send.To] = press.Nonce
					}
				}
			}
		}
		take(c.Do(Broadcast{Update: machine.Update{Key: "server/a", Seq: 1}, Call: 7, Body: "out", Expiry: clock.Second}, 10))
		if _, old := pressed["s3"]; old || len(pressed) != 4 || answer != nil {
			t.Fatalf("pressed %v, answered %v before anybody's word", pressed, answer)
		}
		// s3 counts two of nine; s1 makes four, and k1 five.
		take(c.Do(Message{From: "s1", Body: PushAck{Nonce: pressed["s1"], ID: "s1"}}, 20))
		if answer != nil {
			t.Fatal("four of nine were taken for most")
		}
		if reached {
			take(c.Do(Message{From: "k1", Body: PushAck{Nonce: pressed["k1"], ID: "k1"}}, 30))
		}
		take(c.Do(ClockEvent{}, 2*clock.Second))
		if answer == nil || answer.Call != 7 || (answer.Err == nil) != reached {
			t.Fatalf("most reached %v: answered %+v", reached, answer)
		}
	}
}

// A daemon that is itself cut off calls nobody dead: it has no second witness.
func TestTheOneCutOffSuspectsNobody(t *testing.T) {
	w := newTown(9)
	w.pass(3 * clock.Second)
	alone := w.circles["d05"]
	for end := w.now + 10*clock.Second; w.now < end; w.now += 20 * clock.Millisecond {
		alone.Do(ClockEvent{}, w.now)
	}
	for _, member := range alone.Members() {
		if member.Status != identity.Alive {
			t.Fatalf("d05, alone, holds %s to be %s", member.ID, member.Status)
		}
	}
	if alone.LastSwap() > w.now-9*clock.Second {
		t.Fatal("d05 takes its news for fresh")
	}
}
