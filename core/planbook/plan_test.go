package planbook

import (
	"os"
	"strings"
	"testing"

	"tuliprudder/kernel/mishap"
)

func TestTheDeploymentsPlans(t *testing.T) {
	for _, name := range []string{"ghent", "nhac-pho"} {
		data, err := os.ReadFile("../../deploy/" + name + ".plan.json")
		if err != nil {
			t.Fatal(err)
		}
		plan, err := Parse(data)
		if err != nil {
			t.Fatalf("%s: %v %v", name, err, mishap.Of(err).Faults)
		}
		kinds := map[string]int{}
		for _, route := range plan.Routes {
			kinds[route.Kind]++
		}
		if len(plan.Routes) != 3 || kinds[Bundle] != 1 {
			t.Fatalf("%s: kinds %v", name, kinds)
		}
	}
}

// Every fault of a plan is reported with its path, all in one answer.
func TestEveryFaultHasItsPath(t *testing.T) {
	err := Check([]byte(`{"classes":[{"name":"a","rank":0,"allowance":-3},{"name":"a","rank":1.5},{"name":"b c","rank":1,"allowance":1,"hue":2}],
	 "customers":[{"name":"x","key":"k","class":"zz"},{"name":"y","key":"k","class":"a"}],
	 "pools":[{"name":"p","labels":{"u":3}}],
	 "routes":[{"name":"r","kind":"dance","classes":{"t":"none"},"pools":{"u":[]},"model":""}],
	 "judges":{"mood":1,"speed":-1},"extra":true}`))
	if !mishap.Is(err, mishap.BadPlan) {
		t.Fatalf("told %v", err)
	}
	all := strings.Join(mishap.Of(err).Faults, "\n")
	for _, path := range []string{"$.classes[0].rank: is 0", "$.classes[0].allowance: is -3", "$.classes[1].name: class \"a\" is there twice", "$.classes[1].rank: must be a whole number",
		"$.classes[1].allowance: is missing", "$.classes[2].name:", "$.classes[2].hue: unknown field", "$.customers[0].class: no class \"zz\"", "$.customers[1].key:", "$.pools[0].labels.u: must be a text",
		"$.pools[0].servers: is missing", "$.routes[0].kind: \"dance\"", "$.routes[0].classes: matches no class", "$.routes[0].pools.u: is empty", "$.routes[0].model: is empty", "$.judges.mood: unknown field", "$.judges.speed:", "$.extra: unknown field"} {
		if !strings.Contains(all, path) {
			t.Errorf("no fault %q in:\n%s", path, all)
		}
	}
}
