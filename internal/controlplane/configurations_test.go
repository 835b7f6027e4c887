package controlplane

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// A configuration keeps the operator's version number, which must be above the one in force; a
// stale base is reported before a number that is too low.
func TestConfigurationsKeepTheOperatorsNumber(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	for i, step := range []struct {
		request PutConfigurationRequest
		want    any
	}{
		{putRequest(3, 3, `{"a":1}`), errs.StaleBase}, // no version is in force, and 3 can't be its own base
		{putRequest(7, 0, `{"a":1}`), uint64(7)},
		{putRequest(7, 0, `{"a":2}`), errs.StaleBase}, // the number belongs to another document
		{putRequest(5, 0, `{"a":2}`), errs.StaleBase}, // both stale and too low: reported as stale
		{putRequest(5, 7, `{"a":2}`), errs.InvalidConfiguration},
		{putRequest(9, 7, `{"a":2}`), uint64(9)},
		{putRequest(12, 7, `{"a":3}`), errs.StaleBase},
		{PutConfigurationRequest{Number: 8, Body: []byte(`{"a":4}`), Timeout: clock.Second}, errs.InvalidConfiguration},
		{PutConfigurationRequest{Number: 11, Body: []byte(`{"a":4}`), Timeout: clock.Second}, uint64(11)},
		{PutConfigurationRequest{Body: []byte(`{"a":5}`), Timeout: clock.Second}, uint64(12)}, // the core assigns the number
	} {
		call := b.call(core, step.request)
		b.deliverAll()
		answer := b.reply(t, call)
		switch want := step.want.(type) {
		case errs.Kind:
			if !errs.Is(answer.Err, want) || errs.Of(answer.Err).Remedy == "" {
				t.Errorf("step %d: reply %v, error %v, want %s", i, answer.Body, answer.Err, want)
			}
		case uint64:
			if answer.Body != (PutConfigurationResponse{Version: want}) {
				t.Errorf("step %d: reply %v, error %v, want version %d", i, answer.Body, answer.Err, want)
			}
		}
	}
}

// A repeated request gets the same acknowledgement, regardless of its base and of later
// versions. It writes nothing, and it is acknowledged only once a majority of the voters for
// updates know the configuration.
func TestRepeatedRequestGetsTheSameAcknowledgement(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	for _, request := range []PutConfigurationRequest{putRequest(3, 0, `{ "a": "x<y" }`), putRequest(3, 0, `{"a":"x<y"}`), putRequest(3, 99, `{"a" : "x<y"}`), putRequest(4, 3, `{}`), putRequest(3, 0, `{"a":"x<y"}`)} {
		notified := len(b.broadcasts)
		call := b.call(core, request)
		b.deliverAll()
		if answer := b.reply(t, call); answer.Body != (PutConfigurationResponse{Version: request.Number}) {
			t.Fatalf("version %d on base %d: reply %v, error %v, want an acknowledgement", request.Number, request.Base, answer.Body, answer.Err)
		}
		if len(b.broadcasts) != notified+1 {
			t.Fatalf("version %d on base %d was acknowledged before a majority of the voters for updates knew it", request.Number, request.Base)
		}
	}
	if n := len(core.State().Versions); n != 2 {
		t.Fatalf("%d versions were written, want 2", n)
	}
}

// A repeated request for a version that is not yet confirmed waits for its confirmation.
func TestRepeatedRequestWaitsForTheVersionInFlight(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	b.drop = isAppend
	first, again, other := b.call(core, putRequest(3, 0, `{"a":1}`)), b.call(core, putRequest(3, 0, `{"a":1}`)), b.call(core, putRequest(3, 0, `{"a":2}`))
	b.deliverAll()
	if len(b.replies) != 0 {
		t.Fatalf("replies before the group confirmed the version: %v", b.replies)
	}
	b.drop = nil
	b.advance(clock.Second)
	for _, call := range []uint64{first, again} {
		if answer := b.reply(t, call); answer.Body != (PutConfigurationResponse{Version: 3}) {
			t.Errorf("call %d: reply %v, error %v, want version 3", call, answer.Body, answer.Err)
		}
	}
	if answer := b.reply(t, other); !errs.Is(answer.Err, errs.StaleBase) {
		t.Errorf("the same number with another document: reply %v, error %v, want a stale base", answer.Body, answer.Err)
	}
	// A repeat whose deadline passes while it waits must not be answered as if nothing was written.
	b.drop = isAppend
	first, again = b.call(core, putRequest(5, 3, `{"a":1}`)), b.call(core, putRequest(5, 3, `{"a":1}`))
	b.advance(3500 * clock.Millisecond)
	for _, call := range []uint64{first, again} {
		if answer := b.reply(t, call); !errs.Is(answer.Err, errs.OutcomeUnknown) {
			t.Errorf("call %d after its deadline: reply %v, error %v, want an unknown outcome", call, answer.Body, answer.Err)
		}
	}
}

// Of two operators' configurations on one base, exactly one is applied.
func TestOneOfTwoRequestsOnOneBaseIsApplied(t *testing.T) {
	for _, second := range []uint64{5, 6, 0} {
		b := bootstrappedCluster(t, smallSettings())
		core := b.primary()
		b.drop = isAppend
		calls := []uint64{b.call(core, putRequest(5, 0, `{"a":1}`)), b.call(core, putRequest(second, 0, `{"a":2}`))}
		b.drop = nil
		b.advance(clock.Second)
		won := 0
		for _, call := range calls {
			if answer := b.reply(t, call); answer.Err == nil {
				won++
			} else if !errs.Is(answer.Err, errs.StaleBase) {
				t.Errorf("the rejected request got error %v, want a stale base", answer.Err)
			}
		}
		if won != 1 || len(core.State().Versions) != 1 {
			t.Errorf("%d requests were applied and %d versions written, want 1 of each", won, len(core.State().Versions))
		}
	}
}

// The latest confirmed version can be read at the serving primary only, and never one that is
// in flight. An invalid configuration is rejected before anything is written.
func TestReadReturnsTheLatestConfirmedConfiguration(t *testing.T) {
	settings := smallSettings()
	settings.CheckConfiguration = func(body []byte) error {
		if string(body) == `{"bad":1}` {
			return errs.New(errs.InvalidConfiguration, "correct it", "it is bad")
		}
		return nil
	}
	b := bootstrappedCluster(t, settings)
	core := b.primary()
	latest := func(core *Core) (uint64, error) {
		answer := b.reply(t, b.call(core, ConfigurationsRequest{Latest: true}))
		if answer.Err != nil {
			return 0, answer.Err
		}
		versions := answer.Body.(ConfigurationsResponse).Versions
		if len(versions) != 1 || string(versions[0].Body) != fmt.Sprintf(`{"n":%d}`, versions[0].Number) {
			t.Fatalf("read back %+v", versions)
		}
		return versions[0].Number, nil
	}
	if _, err := latest(core); !errs.Is(err, errs.NotFound) {
		t.Errorf("before any configuration: error %v, want not found", err)
	}
	seq := core.State().Seq
	if answer := b.reply(t, b.call(core, putRequest(2, 0, `{"bad":1}`))); !errs.Is(answer.Err, errs.InvalidConfiguration) || core.State().Seq != seq {
		t.Errorf("an invalid configuration: error %v, %d entries written, want none", answer.Err, core.State().Seq-seq)
	}
	b.call(core, putRequest(2, 0, `{"n":2}`))
	b.deliverAll()
	b.drop = isAppend
	b.call(core, putRequest(4, 2, `{"n":4}`))
	if number, err := latest(core); number != 2 {
		t.Errorf("while 4 is in flight: version %d, error %v, want 2", number, err)
	}
	b.drop = nil
	b.advance(clock.Second)
	if number, err := latest(core); number != 4 {
		t.Errorf("after 4 was confirmed: version %d, error %v, want 4", number, err)
	}
	for _, other := range b.cores {
		if other == core {
			continue
		}
		if _, err := latest(other); !errs.Is(err, errs.NotReady) {
			t.Errorf("a core that is not primary: error %v, want not ready", err)
		}
	}
	// An isolated primary does not know whether it is still primary.
	b.drop = func(l envelope) bool { return l.to == core.self.Peer || l.from == core.self.Peer }
	b.advance(1600 * clock.Millisecond)
	if _, err := latest(core); !errs.Is(err, errs.NotReady) {
		t.Errorf("an isolated primary: error %v, want not ready", err)
	}
}
