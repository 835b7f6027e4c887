package observations

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

const start = 100 * clock.Second

func newMember(id, kind, zone string) membership.Member {
	return membership.Member{ID: id, Kind: kind, Zone: zone, Peer: "p" + id}
}

func newTestScheduler() *scheduler.Scheduler {
	testScheduler := scheduler.New(scheduler.Defaults(), 1)
	testScheduler.SetServer(endpoints.Server{Name: "s1", Slots: 9})
	testScheduler.SetServer(endpoints.Server{Name: "s2", Slots: 9})
	return testScheduler
}

// tickReports returns the messages that a tick sends, by address.
func tickReports(x *Exchange, members map[string]membership.Member, now clock.Micros) map[string]Reports {
	out := map[string]Reports{}
	x.Tick(members, func(effect machine.Effect) {
		send := effect.(machine.Send)
		out[send.To] = send.Body.(Reports)
	}, now)
	return out
}

// A daemon's observations are sent once, unchanged, to the live edges and stores of its zone.
func TestObservationsAreSentWithinZone(t *testing.T) {
	members := map[string]membership.Member{
		"a": newMember("a", membership.Edge, "z1"), "b": newMember("b", membership.Edge, "z1"), "c": newMember("c", membership.Store, "z1"),
		"d": newMember("d", membership.Core, "z1"), "e": newMember("e", membership.Edge, "z2"),
		"f": {ID: "f", Kind: membership.Edge, Zone: "z1", Peer: "pf", Status: membership.Dead},
	}
	senderScheduler := newTestScheduler()
	x := New("a", senderScheduler)
	if got := tickReports(x, members, start); len(got) > 0 {
		t.Fatalf("sent without an observation: %+v", got)
	}
	senderScheduler.ObserveLoad("s1", &endpoints.ReportedLoad{Running: 300, Waiting: 7, Slots: 9}, start)
	if got := tickReports(x, members, start+interval/2); len(got) > 0 {
		t.Fatalf("sent too soon: %+v", got)
	}
	got := tickReports(x, members, start+interval)
	if len(got) != 2 || len(got["pb"].Servers) != 1 || len(got["pc"].Servers) != 1 {
		t.Fatalf("got messages %+v", got)
	}
	want := Report{Server: endpoints.NameHash("s1"), Running: 255, Waiting: 7, Slots: 9, AgeMS: 500}
	if got["pb"].Servers[0] != want {
		t.Errorf("got report %+v", got["pb"].Servers[0])
	}
	if again := tickReports(x, members, start+2*interval); len(again) > 0 {
		t.Errorf("sent again: %+v", again)
	}
}

// A received report has the sender's observation. Reports about unknown servers are ignored, and received
// observations are not sent to other daemons.
func TestReportsAreReceived(t *testing.T) {
	report := Report{Server: endpoints.NameHash("s2"), Running: 3, Waiting: 2, Slots: 9, AgeMS: 40, Succeeded: 5, Failed: 1}
	got := report.observation("s2", start)
	if got.Load == nil || *got.Load != (endpoints.ReportedLoad{Running: 3, Waiting: 2, Slots: 9}) || got.At != start-40*clock.Millisecond || got.Succeeded != 5 || got.Failed != 1 {
		t.Errorf("got observation %+v", got)
	}
	if got := (Report{Server: endpoints.NameHash("s2"), Failed: 1}).observation("s2", start); got.Load != nil {
		t.Errorf("got a load from a report without one: %+v", got.Load)
	}
	receiverScheduler := newTestScheduler()
	New("b", receiverScheduler).Receive(Reports{Servers: []Report{report, {Server: 12345, Failed: 9}}}, start)
	if got := receiverScheduler.TakeObservations(); len(got) > 0 {
		t.Errorf("received observations are forwarded: %+v", got)
	}
}

// In a large zone each message is sent to maxPeers daemons, which rotate so that all are reached.
func TestPeersRotateInLargeZone(t *testing.T) {
	members := map[string]membership.Member{}
	for i := range 60 {
		id := fmt.Sprintf("e%02d", i)
		members[id] = newMember(id, membership.Edge, "z")
	}
	senderScheduler := newTestScheduler()
	x := New("e00", senderScheduler)
	reached := map[string]bool{}
	for i := range (len(members) + maxPeers - 1) / maxPeers {
		now := start + clock.Micros(i)*interval
		senderScheduler.ObserveLoad("s1", &endpoints.ReportedLoad{Slots: 9}, now)
		got := tickReports(x, members, now)
		if len(got) != maxPeers {
			t.Errorf("sent to %d daemons", len(got))
		}
		for peer := range got {
			reached[peer] = true
		}
	}
	if len(reached) != 59 {
		t.Errorf("%d of 59 daemons are reached", len(reached))
	}
}
