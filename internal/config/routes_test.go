package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

const forwardedDocument = `{"classes":[{"name":"a","rank":1,"allowance":1,"labels":{"t":"a"}}],
 "pools":[{"name":"p","labels":{"u":"1"},"servers":{"s":"1"}},{"name":"q","labels":{"u":"2"},"servers":{"s":"2"}},{"name":"z","labels":{"u":"3"},"servers":{"s":"3"}}],
 "bounds":%s,
 "routes":[%s]}`

func forwardedRoute(name, fields string) string {
	return fmt.Sprintf(`{"name":%q,"classes":{},%s}`, name, fields)
}

// Forwarded routes are parsed with all their fields and matched by host and path.
func TestParseForwardedRoutes(t *testing.T) {
	configuration, err := Parse([]byte(fmt.Sprintf(forwardedDocument, `{"header_bytes":16384,"body_bytes":1048576,"header_wait_us":5000000,"idle_wait_us":60000000}`, strings.Join([]string{
		forwardedRoute("all", `"kind":"repeatable","pools":{"u":"1"},"forward":{"host":"a.example","path_prefix":"/"}`),
		forwardedRoute("v1", `"kind":"bundle","forward":{"host":"a.example","path_prefix":"/v1/","tries":3,"aim_us":2000000,"gap_us":500000,"due_us":3600000000,"keep_us":7200000000,"most_tokens":1000000,
		  "split":[{"pools":{"u":["1"]},"share":90},{"pools":{"u":"2"},"share":10},{"pools":{"u":"3"},"share":0}]}`),
		forwardedRoute("other", `"kind":"stream","pools":{},"model":"m","forward":{"host":"b.example","path_prefix":"/v1/"}`),
	}, ","))))
	if err != nil {
		t.Fatalf("%v %v", err, errs.Of(err).Faults)
	}
	want := Forward{Host: "a.example", PathPrefix: "/v1/", MaxAttempts: 3, LatencyTarget: 2_000_000, MaxEventGap: 500_000, CompletionWindow: 3_600_000_000, ItemRetention: 7_200_000_000, MaxQueuedTokens: 1_000_000, Authentication: AuthenticationNone, Priority: 1,
		Split: []WeightedPools{{Selector{"u": {"1"}}, 90}, {Selector{"u": {"2"}}, 10}, {Selector{"u": {"3"}}, 0}}}
	if got := *configuration.Routes[1].Forward; !reflect.DeepEqual(got, want) {
		t.Errorf("parsed as %+v", got)
	}
	if got := *configuration.Routes[0].Forward; got.MaxAttempts != 1 || got.LatencyTarget != 0 || configuration.Routes[0].Kind != Repeatable {
		t.Errorf("defaults: %+v", got)
	}
	if configuration.Limits != (Limits{16384, 1048576, 5_000_000, 60_000_000}) {
		t.Errorf("got limits %+v", configuration.Limits)
	}
	for at, name := range map[[2]string]string{{"a.example", "/v1/x"}: "v1", {"a.example", "/v2"}: "all", {"b.example", "/v1/"}: "other", {"b.example", "/"}: "", {"c.example", "/"}: ""} {
		if route := configuration.MatchRoute(at[0], at[1]); route == nil && name != "" || route != nil && route.Name != name {
			t.Errorf("%v: matched route %+v, want %q", at, route, name)
		}
	}
	served := ""
	for _, server := range []string{"1", "2", "3", "4"} {
		for i := range configuration.Routes[:2] {
			if configuration.Serves(&configuration.Routes[i], Labels{"s": server}) {
				served += configuration.Routes[i].Name + server + " "
			}
		}
	}
	if served != "all1 v11 v12 " {
		t.Errorf("got served pairs of route and server %s", served)
	}
}

// Each fault of forwarded routes and of the limits is reported with its path.
func TestFaultsOfForwardedRoutes(t *testing.T) {
	err := Validate([]byte(fmt.Sprintf(forwardedDocument, `{"header_bytes":1,"body_bytes":"x","colour":1}`, strings.Join([]string{
		forwardedRoute("r0", `"kind":"stream","pools":{},"forward":{"host":"a","path_prefix":"/v1/"}`),
		forwardedRoute("r1", `"kind":"one-shot","pools":{},"forward":{"host":"a","path_prefix":"/v1/"}`),
		forwardedRoute("r2", `"kind":"stream","pools":{},"forward":{"host":"A/b","path_prefix":"v1/","tries":0,"hue":1}`),
		forwardedRoute("r3", `"kind":"stream","pools":{},"forward":{"path_prefix":"/v1"}`),
		forwardedRoute("r4", `"kind":"stream","forward":{"host":"a","path_prefix":"/4/","split":[{"pools":{"u":"1"},"share":0},{"pools":{"u":"9"},"share":0},{"pools":{"u":"1"}},{"share":-1}]}`),
		forwardedRoute("r5", `"kind":"stream","forward":{"host":"a","path_prefix":"/5/","split":[]}`),
		forwardedRoute("r6", `"kind":"stream","pools":{},"forward":{"host":"a","path_prefix":"/6/","split":[{"pools":{},"share":1}]}`),
		forwardedRoute("r7", `"kind":"stream","pools":{},"forward":[]`),
		forwardedRoute("r8", `"kind":"stream","forward":{"host":"a","path_prefix":"/8/"}`),
		forwardedRoute("r9", `"kind":"stream","pools":{}`),
		forwardedRoute("r10", `"kind":"repeatable","pools":{},"model":"m"`),
	}, ","))))
	if !errs.Is(err, errs.InvalidConfiguration) {
		t.Fatalf("got error %v", err)
	}
	faults := errs.Of(err).Faults
	all := strings.Join(faults, "\n")
	want := []string{"$.bounds.header_bytes: is 1;", "$.bounds.body_bytes: must be a whole number", "$.bounds.colour: unknown field",
		`$.routes[1].forward: route "r0" has this host and path prefix`, "$.routes[2].forward.host: \"A/b\"", "$.routes[2].forward.path_prefix: \"v1/\" must begin", "$.routes[2].forward.tries: is 0", "$.routes[2].forward.hue: unknown",
		"$.routes[3].forward.host: is missing", "$.routes[3].forward.path_prefix: \"/v1\" must begin and end",
		"$.routes[4].forward.split[1].pools: matches no pool", "$.routes[4].forward.split[2].share: is missing", "$.routes[4].forward.split[3].share: is -1", "$.routes[4].forward.split[3].pools: is missing",
		"$.routes[5].forward.split: the shares add up to 0", "$.routes[5].pools: is missing", "$.routes[6].pools: the split already selects", "$.routes[7].forward: must be an object",
		"$.routes[8].pools: is missing", "$.routes[9].model: is missing", "$.routes[10].kind: only a route"}
	for _, path := range want {
		if !strings.Contains(all, path) {
			t.Errorf("no fault %q in:\n%s", path, all)
		}
	}
	if len(faults) != len(want) {
		t.Errorf("got %d faults, want %d:\n%s", len(faults), len(want), all)
	}
}
