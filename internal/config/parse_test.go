package config

import (
	"os"
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

// The configurations in deploy/ are valid and have the expected routes.
func TestParseDeploymentConfigurations(t *testing.T) {
	for _, name := range []string{"ghent", "nhac-pho"} {
		data, err := os.ReadFile("../../deploy/" + name + ".plan.json")
		if err != nil {
			t.Fatal(err)
		}
		configuration, err := Parse(data)
		if err != nil {
			t.Fatalf("%s: %v %v", name, err, errs.Of(err).Faults)
		}
		kinds := map[string]int{}
		for _, route := range configuration.Routes {
			kinds[route.Kind]++
		}
		if len(configuration.Routes) != 3 || kinds[Batch] != 1 {
			t.Fatalf("%s: got route kinds %v", name, kinds)
		}
	}
}

// Every fault of a document is reported with its path, all in one error.
func TestValidateReportsEveryFaultWithPath(t *testing.T) {
	err := Validate([]byte(`{"classes":[{"name":"a","rank":0,"allowance":-3},{"name":"a","rank":1.5},{"name":"b c","rank":1,"allowance":1,"hue":2}],
	 "customers":[{"name":"x","key":"k","class":"zz"},{"name":"y","key":"k","class":"a"}],
	 "pools":[{"name":"p","labels":{"u":3}}],
	 "routes":[{"name":"r","kind":"dance","classes":{"t":"none"},"pools":{"u":[]},"model":""}],
	 "judges":{"mood":1,"speed":-1},"extra":true}`))
	if !errs.Is(err, errs.InvalidConfiguration) {
		t.Fatalf("got error %v", err)
	}
	all := strings.Join(errs.Of(err).Faults, "\n")
	for _, path := range []string{"$.classes[0].rank: is 0", "$.classes[0].allowance: is -3", "$.classes[1].name: class \"a\" is defined twice", "$.classes[1].rank: must be a whole number",
		"$.classes[1].allowance: is missing", "$.classes[2].name:", "$.classes[2].hue: unknown field", "$.customers[0].class: no class \"zz\"", "$.customers[1].key:", "$.pools[0].labels.u: must be a string",
		"$.pools[0].servers: is missing", "$.routes[0].kind: \"dance\"", "$.routes[0].classes: matches no class", "$.routes[0].pools.u: is empty", "$.routes[0].model: is empty", "$.judges.mood: unknown field", "$.judges.speed:", "$.extra: unknown field"} {
		if !strings.Contains(all, path) {
			t.Errorf("no fault %q in:\n%s", path, all)
		}
	}
}

func TestValidateRejectsNonObjects(t *testing.T) {
	for document, want := range map[string]string{
		`{"classes":`: "$: is not JSON",
		`[]`:          "$: must be an object",
	} {
		err := Validate([]byte(document))
		if !errs.Is(err, errs.InvalidConfiguration) || !strings.HasPrefix(errs.Of(err).Faults[0], want) {
			t.Errorf("%s: got error %v", document, err)
		}
	}
}

// The list of faults is truncated for a document with very many of them.
func TestNumberOfFaultsIsLimited(t *testing.T) {
	err := Validate([]byte(`{"pools":[` + strings.Repeat(`1,`, maxFaults) + `1]}`))
	if got := len(errs.Of(err).Faults); got != maxFaults {
		t.Errorf("got %d faults, want %d", got, maxFaults)
	}
}
