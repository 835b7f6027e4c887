package machines

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// reportingEdge makes an edge that knows its own member entry and the primary core.
func reportingEdge(window clock.Micros) *Edge {
	settings := EdgeDefaults()
	settings.Usage.Interval = window
	e := NewEdge("edge", settings, 1)
	e.UpdateReceived(memberUpdate(membership.Member{ID: "edge", Kind: membership.Edge, Peer: "p", Incarnation: 7}), testTime)
	cores, _ := json.Marshal(state.CoreUpdate{Epoch: 3, Peer: "core", VoterPeers: []string{"core", "other"}})
	e.UpdateReceived(machine.Update{Key: state.CoreKey, Epoch: 3, Value: cores}, testTime)
	return e
}

// reportsIn returns the reports among effects, by how and where they are sent.
func reportsIn(effects []machine.Effect) map[string]primaryreport.Report {
	out := map[string]primaryreport.Report{}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case machine.Request:
			if report, ok := effect.Body.(primaryreport.Report); ok {
				out["request "+effect.To] = report
			}
		case machine.Send:
			if report, ok := effect.Body.(primaryreport.Report); ok {
				out["send "+effect.To] = report
			}
		}
	}
	return out
}

func TestAnEdgeReportsStartedRequests(t *testing.T) {
	e := reportingEdge(5 * clock.Second)
	e.Proxy.OnExecutionStarted("t", testTime)
	sent := reportsIn(e.Tick(testTime))
	report, ok := sent["request core"]
	if len(sent) != 1 || !ok || report.Incarnation != 7 || report.Daemon != "edge" || report.Usage[0].Counts["t"] != 1 {
		t.Fatalf("sent %+v", sent)
	}
	if sent := reportsIn(e.Tick(testTime + 15*clock.Millisecond)); len(sent) > 0 {
		t.Errorf("sent %+v while the reply is waited for", sent)
	}
}

// A flush sends the reports to all voting cores and replies once the primary has acknowledged them.
func TestReportsAreFlushed(t *testing.T) {
	e := reportingEdge(5 * clock.Second)
	e.Proxy.OnExecutionStarted("t", testTime)
	effects := e.Call(9, FlushReports{}, testTime)
	sent := reportsIn(effects)
	if len(sent) != 3 || len(sent["send other"].Usage) != 1 || len(sent["request core"].Usage) != 1 {
		t.Fatalf("sent %+v", sent)
	}
	for _, effect := range effects {
		if request, ok := effect.(machine.Request); ok {
			replies := e.ReplyReceived(request.Token, primaryreport.Reply{Epoch: 3}, nil, testTime)
			if len(replies) != 1 || replies[0] != (machine.Reply{Call: 9}) {
				t.Errorf("after the acknowledgement: %+v", replies)
			}
		}
	}
}

// With a usage interval of 0, which disables usage reports, nothing is sent.
func TestAnEdgeWithoutUsageReportingReportsNothing(t *testing.T) {
	e := reportingEdge(0)
	e.Proxy.OnExecutionStarted("t", testTime)
	for now := testTime; now < testTime+10*clock.Second; now += 100 * clock.Millisecond {
		if sent := reportsIn(e.Tick(now)); len(sent) > 0 {
			t.Fatalf("sent %+v", sent)
		}
	}
	if replies := e.Call(9, FlushReports{}, testTime); len(replies) != 1 {
		t.Errorf("a flush is answered with %+v", replies)
	}
}
