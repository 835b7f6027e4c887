package controlplane

import (
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
)

// patchSettings returns the settings of a cluster whose documents contain the operator's version.
func patchSettings() Settings {
	settings := smallSettings()
	settings.PatchFormat = config.PatchFormat{Lists: []string{"routes", "svcs"}, VersionField: "ver"}
	settings.CheckConfiguration = func(body []byte) error {
		if strings.Contains(string(body), "invalid") {
			return errs.New(errs.InvalidConfiguration, "correct it", "it is invalid")
		}
		return nil
	}
	return settings
}

func patchRequest(base uint64, body string) PatchConfigurationRequest {
	return PatchConfigurationRequest{Base: base, HasBase: true, Body: []byte(body), By: "o", Timeout: 3 * clock.Second}
}

// latestDocument returns the latest configuration as read from the primary.
func (b *testCluster) latestDocument(t *testing.T) string {
	t.Helper()
	call := b.call(b.primary(), ConfigurationsRequest{Latest: true})
	b.deliverAll()
	response, ok := b.reply(t, call).Body.(ConfigurationsResponse)
	if !ok || len(response.Versions) != 1 {
		t.Fatalf("got %+v, want one version", b.reply(t, call))
	}
	return string(response.Versions[0].Body)
}

// A patch is applied when its base is checked, and rejected on another base than the version in
// force. A repeated patch is acknowledged again.
func TestPatchesAreAppliedOnTheirBaseOnly(t *testing.T) {
	b := bootstrappedCluster(t, patchSettings())
	const whole = `{"ver":7,"routes":[{"name":"a"}]}`
	add, other := `{"ver":9,"upsert":{"routes":[{"name":"b"}]}}`, `{"ver":9,"upsert":{"routes":[{"name":"c"}]}}`
	for i, step := range []struct {
		request  any
		want     any
		document string
	}{
		{putRequest(7, 0, whole), uint64(7), whole},
		{patchRequest(3, add), errs.StaleBase, whole},
		{patchRequest(7, `{"ver":7,"upsert":{"routes":[{"name":"b"}]}}`), errs.StaleBase, whole},
		{patchRequest(7, `{"ver":6,"upsert":{"routes":[{"name":"b"}]}}`), errs.InvalidConfiguration, whole},
		{patchRequest(7, `{"ver":9,"remove":{"routes":["z"]}}`), errs.InvalidConfiguration, whole},
		{patchRequest(7, `{"ver":9,"upsert":{"routes":[{"name":"invalid"}]}}`), errs.InvalidConfiguration, whole},
		{patchRequest(7, `{"ver":9,`), errs.InvalidConfiguration, whole},
		{patchRequest(7, add), uint64(9), `{"routes":[{"name":"a"},{"name":"b"}],"ver":9}`},
		{patchRequest(7, other), errs.StaleBase, `{"routes":[{"name":"a"},{"name":"b"}],"ver":9}`},
		{patchRequest(7, add), uint64(9), `{"routes":[{"name":"a"},{"name":"b"}],"ver":9}`}, // a repeat
		{patchRequest(9, `{"ver":11,"remove":{"routes":["a"]}}`), uint64(11), `{"routes":[{"name":"b"}],"ver":11}`},
		{patchRequest(7, ` {"ver" : 9, "upsert":{"routes":[{"name":"b"}]}}`), uint64(9), `{"routes":[{"name":"b"}],"ver":11}`}, // a repeat, after a later version
		{putRequest(9, 7, `{"ver":9,"routes":[{"name":"a"},{"name":"c"}]}`), errs.StaleBase, `{"routes":[{"name":"b"}],"ver":11}`},
	} {
		call := b.call(b.primary(), step.request)
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
		if got := b.latestDocument(t); got != step.document {
			t.Errorf("step %d: the configuration in force is %s", i, got)
		}
	}
}

// Of two operators' patches on one base, one is applied and the other has no effect.
func TestOneOfTwoPatchesOnOneBaseIsApplied(t *testing.T) {
	b := bootstrappedCluster(t, patchSettings())
	core := b.primary()
	b.mustAcknowledge(t, core, putRequest(1, 0, `{"ver":1,"routes":[]}`))
	first := b.call(core, patchRequest(1, `{"ver":2,"upsert":{"routes":[{"name":"a"}]}}`))
	second := b.call(core, patchRequest(1, `{"ver":3,"upsert":{"routes":[{"name":"b"}]}}`))
	b.deliverAll()
	if answer := b.reply(t, first); answer.Err != nil {
		t.Errorf("the first patch got error %v", answer.Err)
	}
	if answer := b.reply(t, second); !errs.Is(answer.Err, errs.StaleBase) {
		t.Errorf("the second patch got reply %v, error %v, want a stale base", answer.Body, answer.Err)
	}
	if got := b.latestDocument(t); got != `{"routes":[{"name":"a"}],"ver":2}` {
		t.Errorf("the configuration in force is %s", got)
	}
}

// A repeated patch is recognised by the primary that follows the one that applied it.
func TestRepeatedPatchIsRecognisedByTheNextPrimary(t *testing.T) {
	b := bootstrappedCluster(t, patchSettings())
	old := b.primary()
	b.mustAcknowledge(t, old, putRequest(1, 0, `{"ver":1,"routes":[]}`))
	patch := patchRequest(1, `{"ver":2,"upsert":{"routes":[{"name":"a"}]}}`)
	b.call(old, patch)
	b.deliverAll()
	b.drop = isolate(old)
	core := b.awaitOtherPrimary(t, old)
	call := b.call(core, patch)
	b.deliverAll()
	if answer := b.reply(t, call); answer.Body != (PutConfigurationResponse{Version: 2}) {
		t.Errorf("reply %v, error %v, want version 2", answer.Body, answer.Err)
	}
}

// The digest of a patch is stored with the configuration that it made.
func TestPatchDigestIsStored(t *testing.T) {
	digest, err := state.DigestOf([]byte(`{"ver":2}`))
	if err != nil {
		t.Fatal(err)
	}
	current := state.New()
	entry := state.PutConfiguration{Version: state.Version{Number: 2, Body: []byte(`{"routes":[],"ver":2}`)}, RequestDigest: digest[:]}
	if err := current.ApplyEntry(state.Encode(entry)); err != nil {
		t.Fatal(err)
	}
	if applied, found := current.Requests.Find(2); !found || applied.Digest != digest {
		t.Errorf("stored request %v, want the digest of the patch", applied)
	}
}
