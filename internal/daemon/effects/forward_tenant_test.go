package effects

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"tuliprudder/internal/dataplane/modelclient"
)

// Guards against items that reach their server without their tenant, with a tenant forged in their own
// headers, or with the caller's key. (Issue 40.)
func TestForwardedItemsCarryTheirTenantAndNoCredential(t *testing.T) {
	itemHeaders := map[string]string{"X-Model": "m", "authorization": "Token k", "x-TENANT": "forged"}
	for name, c := range map[string]struct {
		isAuthenticated bool
		tenant          string
		want            string
	}{
		"of a tenant":                  {true, "t", "[] [t] [m]"},
		"of no tenant":                 {true, "", "[] [] [m]"},
		"callers aren't known by keys": {false, "", "[Token k] [forged] [m]"},
	} {
		var got string
		address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			got = fmt.Sprint(r.Header.Values("Authorization"), r.Header.Values("X-Tenant"), r.Header.Values("X-Model"))
			stream(eventStream(1, 1), false)(w, r)
		})
		forwarder, _ := newForwarder()
		attempt := newAttempt(address, 0)
		attempt.ForwardedItem.Request.Header = itemHeaders
		attempt.ForwardedItem.IsAuthenticated, attempt.ForwardedItem.Tenant = c.isAuthenticated, c.tenant
		if result := forwarder.Forward(context.Background(), attempt); result.Outcome != modelclient.Complete {
			t.Errorf("%s: %+v", name, result)
		}
		if got != c.want {
			t.Errorf("%s: the server got %s, not %s", name, got, c.want)
		}
	}
}
