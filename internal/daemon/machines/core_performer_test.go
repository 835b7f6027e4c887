package machines

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

const testPrimaryAddress = "10.0.0.2:1"

// newPerformingCore makes a core with a performer, which knows the primary from gossip alone.
func newPerformingCore(t *testing.T) *Core {
	t.Helper()
	ref := election.CoreRef{ID: "core-1", Peer: "10.0.0.1:1", Zone: "zone-a"}
	core := NewCore(controlplane.New(ref, 1, []string{testPrimaryAddress}, controlplane.Defaults(), nil))
	core.EnablePerformer(exclusive.Holder{Name: "machine-1", Instance: "core-1/1"}, exclusive.PerformerDefaults())
	value, err := json.Marshal(state.CoreUpdate{Epoch: 3, Primary: "core-2", Peer: testPrimaryAddress})
	if err != nil {
		t.Fatal(err)
	}
	core.UpdateReceived(machine.Update{Key: state.CoreKey, Epoch: 3, Value: value}, 1)
	return core
}

// permitRequest returns the request for permits among effects.
func permitRequest(effects []machine.Effect) (request machine.Request, isSent bool) {
	for _, effect := range effects {
		if sent, ok := effect.(machine.Request); ok {
			return sent, true
		}
	}
	return request, false
}

func TestACorePerformsWhatThePrimaryPermits(t *testing.T) {
	core := newPerformingCore(t)
	now := 100 * clock.Second
	request, isSent := permitRequest(core.Tick(now))
	if !isSent || request.To != testPrimaryAddress {
		t.Fatalf("the request is %+v", request)
	}
	id := exclusive.PermitID{Epoch: 3, Serial: 1}
	permit := exclusive.Permit{Act: exclusive.Act{Subject: "s", Number: 1}, ID: id, Fence: 1}
	response := exclusive.Response{Permits: []exclusive.Permit{permit}, Validity: 2 * clock.Second}
	effects := core.ReplyReceived(request.Token, response, nil, now)
	if len(effects) != 1 || effects[0].(machine.Execute).Task.(exclusive.Task).Deadline != now+response.Validity {
		t.Fatalf("the effects are %+v", effects)
	}
	core.Call(7, exclusive.Performed{ID: id, Result: exclusive.Done}, now)
	request, isSent = permitRequest(core.Tick(now))
	if outcomes := request.Body.(exclusive.Request).Outcomes; !isSent || len(outcomes) != 1 || outcomes[0].Result != exclusive.Done {
		t.Fatalf("the report is %+v", request)
	}
}

func TestADrainingCoreRequestsNoPermits(t *testing.T) {
	core := newPerformingCore(t)
	core.Call(7, controlplane.Drain{}, clock.Second)
	if request, isSent := permitRequest(core.Tick(clock.Second)); !isSent || !request.Body.(exclusive.Request).ReportOnly {
		t.Fatalf("the request is %+v", request)
	}
}

func TestACoreWithoutActsRequestsNothing(t *testing.T) {
	core := newPerformingCore(t)
	core.acts = newCorePerformer()
	if request, isSent := permitRequest(core.Tick(clock.Second)); isSent {
		t.Fatalf("the request is %+v", request)
	}
}
