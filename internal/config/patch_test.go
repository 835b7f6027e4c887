package config

import (
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

// testPatchFormat has a version field and two lists.
var testPatchFormat = PatchFormat{Lists: []string{"routes", "pools"}, VersionField: "ver"}

const patchedDocument = `{"ver":7,"routes":[{"name":"a","x":1},{"name":"b","x":2}],"pools":[{"name":"p"}],"more":{"n":1.50}}`

func TestPatchesAreApplied(t *testing.T) {
	for name, c := range map[string]struct{ document, patch, want string }{
		"an entry is added at the end": {patchedDocument, `{"ver":9,"upsert":{"routes":[{"name":"c"}]}}`,
			`{"more":{"n":1.50},"pools":[{"name":"p"}],"routes":[{"name":"a","x":1},{"name":"b","x":2},{"name":"c"}],"ver":9}`},
		"an entry is replaced in its place": {patchedDocument, `{"ver":8,"upsert":{"routes":[{"name":"a","y":3}]},"remove":{}}`,
			`{"more":{"n":1.50},"pools":[{"name":"p"}],"routes":[{"name":"a","y":3},{"name":"b","x":2}],"ver":8}`},
		"entries of two lists are removed": {patchedDocument, `{"ver":8,"remove":{"routes":["a"],"pools":["p"]}}`,
			`{"more":{"n":1.50},"pools":[],"routes":[{"name":"b","x":2}],"ver":8}`},
		"one entry is added and one removed": {patchedDocument, `{"ver":8,"upsert":{"routes":[{"name":"c"}]},"remove":{"routes":["b"]}}`,
			`{"more":{"n":1.50},"pools":[{"name":"p"}],"routes":[{"name":"a","x":1},{"name":"c"}],"ver":8}`},
		"only the version": {patchedDocument, `{"ver":8}`,
			`{"more":{"n":1.50},"pools":[{"name":"p"}],"routes":[{"name":"a","x":1},{"name":"b","x":2}],"ver":8}`},
		"the first configuration": {"", `{"ver":1,"upsert":{"pools":[{"name":"p"}]}}`, `{"pools":[{"name":"p"}],"ver":1}`},
	} {
		t.Run(name, func(t *testing.T) {
			patch, err := testPatchFormat.Parse([]byte(c.patch))
			if err != nil {
				t.Fatal(err)
			}
			got, err := patch.Apply([]byte(c.document))
			if err != nil || string(got) != c.want {
				t.Errorf("got document %s, %v", got, err)
			}
		})
	}
}

// Each fault of a patch is rejected with an error that names it.
func TestInvalidPatchesAreRejected(t *testing.T) {
	for name, c := range map[string]struct{ patch, fault string }{
		"cut short":                     {`{"ver":8,"upsert":{"rou`, "can't be read completely"},
		"two documents":                 {`{"ver":8}{}`, "unexpected data after the patch"},
		"no object":                     {`[]`, "can't be read completely"},
		"a list where names belong":     {`{"ver":8,"remove":{"routes":[{"name":"a"}]}}`, "can't be read"},
		"no version":                    {`{"upsert":{"routes":[{"name":"c"}]}}`, "$.ver"},
		"a fractional version":          {`{"ver":8.5}`, "$.ver"},
		"an unknown field":              {`{"ver":8,"limits":{}}`, "$.limits: unknown field"},
		"an unknown list to upsert":     {`{"ver":8,"upsert":{"servers":[{"name":"c"}]}}`, "$.upsert.servers: unknown list"},
		"an unknown list to remove":     {`{"ver":8,"remove":{"servers":["a"]}}`, "$.remove.servers: unknown list"},
		"an entry without a name":       {`{"ver":8,"upsert":{"routes":[{"name":"c"},{"x":1}]}}`, "$.upsert.routes[1]: has no name"},
		"an entry that is no object":    {`{"ver":8,"upsert":{"routes":["c"]}}`, "$.upsert.routes[0]: has no name"},
		"an entry twice":                {`{"ver":8,"upsert":{"routes":[{"name":"c"},{"name":"c"}]}}`, `names "c", which is already in the patch`},
		"a name to remove twice":        {`{"ver":8,"remove":{"routes":["a","a"]}}`, `names "a", which is already in the patch`},
		"a name in both":                {`{"ver":8,"upsert":{"routes":[{"name":"a"}]},"remove":{"routes":["a"]}}`, `names "a", which is already in the patch`},
		"a name to remove is not there": {`{"ver":8,"remove":{"routes":["z"]}}`, `names "z", which is not there`},
		"a name of another list":        {`{"ver":8,"remove":{"pools":["a"]}}`, `names "a", which is not there`},
	} {
		t.Run(name, func(t *testing.T) {
			patch, err := testPatchFormat.Parse([]byte(c.patch))
			if err == nil {
				_, err = patch.Apply([]byte(patchedDocument))
			}
			if !errs.Is(err, errs.InvalidConfiguration) || errs.Of(err).Remedy == "" {
				t.Fatalf("got error %v", err)
			}
			if text := err.Error() + strings.Join(errs.Of(err).Faults, "\n"); !strings.Contains(text, c.fault) {
				t.Errorf("the error does not name the fault: %s", text)
			}
		})
	}
}

// Documents in the native format have no version.
func TestNativePatchesHaveNoVersion(t *testing.T) {
	patch, err := NativePatchFormat.Parse([]byte(`{"upsert":{"customers":[{"name":"c"}]}}`))
	if err != nil || patch.Version != 0 {
		t.Fatalf("version %d, %v", patch.Version, err)
	}
	got, err := patch.Apply([]byte(`{"classes":[]}`))
	if err != nil || string(got) != `{"classes":[],"customers":[{"name":"c"}]}` {
		t.Errorf("got document %s, %v", got, err)
	}
	if _, err := NativePatchFormat.Parse([]byte(`{"ver":8}`)); !errs.Is(err, errs.InvalidConfiguration) {
		t.Errorf("a patch with a version is not rejected: %v", err)
	}
}
