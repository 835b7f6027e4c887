package controlplane

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// A configuration carries the operator's own number: it has to be above the one in force,
// and a stale base is refused first.
func TestConfigurationsKeepTheOperatorsNumber(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	for i, step := range []struct {
		ask  PutConfigurationRequest
		want any
	}{
		{putRequest(3, 3, `{"a":1}`), errs.StaleBase}, // nothing is in force, and 3 can't be the base of 3
		{putRequest(7, 0, `{"a":1}`), uint64(7)},
		{putRequest(7, 0, `{"a":2}`), errs.StaleBase}, // the number is taken by another
		{putRequest(5, 0, `{"a":2}`), errs.StaleBase}, // stale, and not above: stale is told
		{putRequest(5, 7, `{"a":2}`), errs.InvalidConfiguration},
		{putRequest(9, 7, `{"a":2}`), uint64(9)},
		{putRequest(12, 7, `{"a":3}`), errs.StaleBase},
		{PutConfigurationRequest{Number: 8, Body: []byte(`{"a":4}`), Timeout: clock.Second}, errs.InvalidConfiguration},
		{PutConfigurationRequest{Number: 11, Body: []byte(`{"a":4}`), Timeout: clock.Second}, uint64(11)},
		{PutConfigurationRequest{Body: []byte(`{"a":5}`), Timeout: clock.Second}, uint64(12)}, // the core's own
	} {
		call := b.call(core, step.ask)
		b.deliverAll()
		answer := b.reply(t, call)
		switch want := step.want.(type) {
		case errs.Kind:
			if !errs.Is(answer.Err, want) || errs.Of(answer.Err).Remedy == "" {
				t.Errorf("step %d: told %v %v, not %s", i, answer.Body, answer.Err, want)
			}
		case uint64:
			if answer.Body != (PutConfigurationResponse{Version: want}) {
				t.Errorf("step %d: told %v %v, not version %d", i, answer.Body, answer.Err, want)
			}
		}
	}
}

// An exact repeat gets the same acknowledgement, whatever its base and what came after it; it
// writes nothing, and it too is acknowledged once a majority of the voters for updates know
// the configuration.
func TestRepeatedRequestGetsTheSameAcknowledgement(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	for _, request := range []PutConfigurationRequest{putRequest(3, 0, `{ "a": "x<y" }`), putRequest(3, 0, `{"a":"x<y"}`), putRequest(3, 99, `{"a" : "x<y"}`), putRequest(4, 3, `{}`), putRequest(3, 0, `{"a":"x<y"}`)} {
		notified := len(b.broadcasts)
		call := b.call(core, request)
		b.deliverAll()
		if answer := b.reply(t, call); answer.Body != (PutConfigurationResponse{Version: request.Number}) {
			t.Fatalf("%d on base %d: told %v %v", request.Number, request.Base, answer.Body, answer.Err)
		}
		if len(b.broadcasts) != notified+1 {
			t.Fatalf("%d on base %d: it was acknowledged before a majority of the voters for updates knew the configuration", request.Number, request.Base)
		}
	}
	if n := len(core.State().Versions); n != 2 {
		t.Fatalf("%d versions are written, not 2", n)
	}
}

// A repeat of a version that the group has not confirmed waits for it.
func TestRepeatedRequestWaitsForTheVersionInFlight(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	core := b.primary()
	b.drop = isAppend
	first, again, other := b.call(core, putRequest(3, 0, `{"a":1}`)), b.call(core, putRequest(3, 0, `{"a":1}`)), b.call(core, putRequest(3, 0, `{"a":2}`))
	b.deliverAll()
	if len(b.replies) != 0 {
		t.Fatalf("answered before the group confirmed: %v", b.replies)
	}
	b.drop = nil
	b.advance(clock.Second)
	for _, call := range []uint64{first, again} {
		if answer := b.reply(t, call); answer.Body != (PutConfigurationResponse{Version: 3}) {
			t.Errorf("call %d: told %v %v", call, answer.Body, answer.Err)
		}
	}
	if answer := b.reply(t, other); !errs.Is(answer.Err, errs.StaleBase) {
		t.Errorf("the same number with another document: told %v %v", answer.Body, answer.Err)
	}
	// One that expires while it waits is not told that nothing was put.
	b.drop = isAppend
	first, again = b.call(core, putRequest(5, 3, `{"a":1}`)), b.call(core, putRequest(5, 3, `{"a":1}`))
	b.advance(3500 * clock.Millisecond)
	for _, call := range []uint64{first, again} {
		if answer := b.reply(t, call); !errs.Is(answer.Err, errs.OutcomeUnknown) {
			t.Errorf("call %d expired: told %v %v", call, answer.Body, answer.Err)
		}
	}
}

// Two operators put on the same base: exactly one of them wins.
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
				t.Errorf("the loser is told %v", answer.Err)
			}
		}
		if won != 1 || len(core.State().Versions) != 1 {
			t.Errorf("%d won, %d versions are written", won, len(core.State().Versions))
		}
	}
}

// The latest version is read back complete, at the serving primary alone, and never
// one that is in flight; an invalid configuration is rejected before anything is written.
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
		t.Errorf("before any configuration: told %v", err)
	}
	seq := core.State().Seq
	if answer := b.reply(t, b.call(core, putRequest(2, 0, `{"bad":1}`))); !errs.Is(answer.Err, errs.InvalidConfiguration) || core.State().Seq != seq {
		t.Errorf("an invalid configuration: told %v, %d entries more", answer.Err, core.State().Seq-seq)
	}
	b.call(core, putRequest(2, 0, `{"n":2}`))
	b.deliverAll()
	b.drop = isAppend
	b.call(core, putRequest(4, 2, `{"n":4}`))
	if number, err := latest(core); number != 2 {
		t.Errorf("while 4 is in flight: told %d %v", number, err)
	}
	b.drop = nil
	b.advance(clock.Second)
	if number, err := latest(core); number != 4 {
		t.Errorf("after 4 was confirmed: told %d %v", number, err)
	}
	for _, other := range b.cores {
		if other == core {
			continue
		}
		if _, err := latest(other); !errs.Is(err, errs.NotReady) {
			t.Errorf("a core that is not primary: told %v", err)
		}
	}
	// A primary that nobody hears does not know whether it still is one.
	b.drop = func(l envelope) bool { return l.to == core.self.Peer || l.from == core.self.Peer }
	b.advance(1600 * clock.Millisecond)
	if _, err := latest(core); !errs.Is(err, errs.NotReady) {
		t.Errorf("a primary that was cut off: told %v", err)
	}
}
