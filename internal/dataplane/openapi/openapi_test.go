package openapi

import (
	"os"
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

const specFile = `{"openapi":"3.0.3","info":{"title":"t","version":"1"},
 "x-tuliprudder":{"classes":{"live":"yes"},"pools":{"use":"all"},"model":"m1"},
 "paths":{
  "/tickets/check":{"post":{"operationId":"checkTicket","x-tuliprudder":{"kind":"one-shot","expiry_us":2000000},"responses":{"200":{"description":"ok"}}},
                    "get":{"responses":{"200":{"description":"ok"}}}},
  "/verdicts":{"post":{"operationId":"verdict","x-tuliprudder":{"kind":"stream"},"parameters":[{"name":"q","in":"query","schema":{"type":"string"}}],"responses":{"200":{"description":"ok"}}}},
  "/other":{"post":{"responses":{"200":{"description":"ok"}}}}}}`

func loadConfiguration(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile("../../../deploy/ghent.plan.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestImportRoutes(t *testing.T) {
	got, err := Import([]byte(specFile), loadConfiguration(t))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	if strings.Join(got.RouteNames, " ") != "checkTicket verdict" {
		t.Fatalf("routes %v", got.RouteNames)
	}
	routes := got.Configuration["routes"].([]any)
	if len(routes) != 4 {
		t.Fatalf("%d routes in the configuration, want the 3 existing ones and 1 new one", len(routes))
	}
	kinds := map[string]any{}
	for _, route := range routes {
		fields := route.(map[string]any)
		kinds[fields["name"].(string)] = fields["kind"]
	}
	if kinds["verdict"] != "stream" || kinds["checkTicket"] != "one-shot" || kinds["label"] != "stream" {
		t.Fatalf("kinds %v", kinds)
	}
	skipped := strings.Join(got.Skipped, "\n")
	for _, word := range []string{"GET /tickets/check", "POST /other", "POST /verdicts: its parameters"} {
		if !strings.Contains(skipped, word) {
			t.Errorf("not reported as skipped: %s in\n%s", word, skipped)
		}
	}
}

func TestInvalidFilesAreRejected(t *testing.T) {
	for name, broken := range map[string]string{
		"no json":       `{"openapi":`,
		"no paths":      `{"openapi":"3.0.3","info":{"title":"t","version":"1"}}`,
		"no operations": `{"openapi":"3.0.3","info":{"title":"t","version":"1"},"paths":{}}`,
		"unknown field": strings.Replace(specFile, `"kind":"stream"`, `"kind":"stream","colour":"red"`, 1),
		"unknown kind":  strings.Replace(specFile, `"kind":"stream"`, `"kind":"dance"`, 1),
		"same name":     strings.Replace(specFile, `"kind":"stream"`, `"kind":"stream","name":"checkTicket"`, 1),
		"no such pool":  strings.Replace(specFile, `{"use":"all"}`, `{"use":"none"}`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Import([]byte(broken), loadConfiguration(t))
			if err == nil || got.Configuration != nil {
				t.Errorf("imported routes %v, error %v", got.RouteNames, err)
			} else if m := errs.Of(err); m.Remedy == "" || m.Kind == errs.OutcomeUnknown {
				t.Errorf("error without a kind or remedy: %v", err)
			}
		})
	}
}
