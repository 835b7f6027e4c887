package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/machine"
)

// authenticatedConfiguration has tenants with keys. The routes once, again, flow, resume and many require
// a key; the route brief is public.
var authenticatedConfiguration = withTenants(`{"name":"t","keys":["k1","k2"],"class":"c"},{"name":"u","keys":["k3"],"class":"c"}`)

func withTenants(tenants string) string {
	text := strings.Replace(forwardConfiguration, `"pools":[{"name"`, `"customers":[`+tenants+`],"pools":[{"name"`, 1)
	text = strings.Replace(text, `"expiry_us":300000`, `"expiry_us":20000000`, 1)
	text = strings.ReplaceAll(text, `"forward":{`, `"forward":{"authentication":"required",`)
	return strings.Replace(text, `"required","host":"h.example","path_prefix":"/brief/"`, `"optional","host":"h.example","path_prefix":"/brief/"`, 1)
}

// identityHeaders returns the keys and the tenants that a server received in the request's headers and
// trailers.
func identityHeaders(r *http.Request) string {
	io.Copy(io.Discard, r.Body)
	var keys, tenants []string
	for _, header := range []http.Header{r.Header, r.Trailer} {
		for name, values := range header {
			if strings.EqualFold(name, headerNames.Authorization) {
				keys = append(keys, values...)
			}
			if strings.EqualFold(name, headerNames.Tenant) {
				tenants = append(tenants, values...)
			}
		}
	}
	return fmt.Sprint(keys, tenants)
}

func respondWithIdentity(w http.ResponseWriter, r *http.Request) {
	identity := identityHeaders(r)
	setResponseHead(w, r, "stamp", "text/plain")
	io.WriteString(w, identity)
}

// A server gets the tenant of the caller's key but no key, whichever header lines the caller sends and
// however their names are spelled.
func TestServerReceivesTenantButNoKey(t *testing.T) {
	c := newConfiguredCluster(t, authenticatedConfiguration, respondWithIdentity)
	const end = "\r\nX-Request-Id: id-1\r\nConnection: close\r\n"
	for request, want := range map[string]string{
		"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1" + end + "\r\n":                                                                                                                                "[] [t]",
		"POST /once/x HTTP/1.1\r\nHost: h.example\r\nauthorization: Token k2\r\nx-tenant: u" + end + "\r\n":                                                                                                                 "[] [t]",
		"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAUTHORIZATION: Token k3\r\nX-TENANT: t\r\nX-Tenant: t\r\nX-Tenant: " + end + "\r\n":                                                                                    "[] [u]",
		"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Tenant: u\r\nConnection: X-Tenant, Authorization" + end + "\r\n":                                                                          "[] [t]",
		"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Other: a\r\n X-Tenant: u" + end + "\r\n":                                                                                                  "[] [t]",
		"POST /brief/x HTTP/1.1\r\nHost: h.example\r\nX-Tenant: u" + end + "\r\n":                                                                                                                                           "[] []",
		"POST /brief/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k3\r\nX-Tenant: t" + end + "\r\n":                                                                                                                "[] [u]",
		"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Tenant, Authorization" + end + "\r\n1\r\na\r\n0\r\nX-Tenant: u\r\nAuthorization: Token k3\r\n\r\n": "[] [t]",
	} {
		if raw := c.doRaw(request); !strings.HasPrefix(raw, "HTTP/1.1 200") || !strings.HasSuffix(raw, "\r\n\r\n"+want) {
			t.Errorf("%q: got %q, want a response that ends in %q", request, raw, want)
		}
	}
	c.waitIdle()
}

// Under a configuration without authentication, the callers' identity headers are forwarded unchanged.
func TestIdentityHeadersAreForwardedWithoutAuthentication(t *testing.T) {
	c := newClusterWithServers(t, respondWithIdentity)
	got := c.do("POST", "/once/x", "y", "Authorization", "Token k1", "X-Tenant", "a", "X-Tenant", "b")
	if got.status != 200 || got.body != "[Token k1] [a b]" {
		t.Errorf("got %d %s", got.status, got.body)
	}
	c.waitIdle()
}

// Each attempt carries the tenant, including one that resumes a stream at another server.
func TestRetriesCarryTheTenant(t *testing.T) {
	seen := make(chan string, 8)
	interrupts := func(w http.ResponseWriter, r *http.Request) {
		seen <- identityHeaders(r)
		from, _ := strconv.Atoi(r.Header.Get(headerNames.LastEventID))
		if from == 0 && strings.HasPrefix(r.URL.Path, "/resume/") {
			setResponseHead(w, r, "stamp", eventStream)
			writeAndFlush(w, eventText(1))
		}
		abortConnection()
	}
	c := newConfiguredCluster(t, authenticatedConfiguration, interrupts, interrupts, interrupts)
	for _, kind := range []string{"again", "resume"} {
		c.do("POST", "/"+kind+"/x", "y", "Authorization", "Token k1", "X-Tenant", "forged")
		for attempt := range 3 {
			if got := <-seen; got != "[] [t]" {
				t.Errorf("%s, attempt %d: the server got %s", kind, attempt, got)
			}
		}
		c.clearRejections()
	}
	c.waitIdle()
}

// The route's authentication setting and the caller's key decide whether a request is accepted. No
// rejected request reaches a server, and no error response contains the key.
func TestUnauthorisedRequestsReachNoServer(t *testing.T) {
	reached := make(chan string, 64)
	c := newConfiguredCluster(t, authenticatedConfiguration, func(w http.ResponseWriter, r *http.Request) {
		reached <- r.URL.Path
		respondWithIdentity(w, r)
	})
	for _, row := range []struct {
		route, authorization string
		status               int
	}{
		{"once", "", 401}, {"once", "Token wrong", 401}, {"once", "Token t", 401}, {"once", "Token k1", 200}, {"once", "Token k3", 200},
		{"again", "", 401}, {"again", "Token wrong", 401}, {"again", "Token k2", 200},
		{"flow", "", 401}, {"flow", "Token wrong", 401}, {"flow", "Token k1", 200},
		{"resume", "", 401}, {"resume", "Token wrong", 401}, {"resume", "Token k1", 200},
		{"many", "", 401}, {"many", "Token wrong", 401}, {"many", "Token k1", 200},
		{"brief", "", 200}, {"brief", "Token wrong", 401}, {"brief", "Token k1", 200},
		{"none", "", 404}, {"none", "Token wrong", 404}, {"none", "Token k1", 404},
	} {
		headers := []string{"X-Tenant", "t"}
		if row.authorization != "" {
			headers = append(headers, "Authorization", row.authorization)
		}
		response := c.do("POST", "/"+row.route+"/x", "y", headers...)
		if response.status != row.status || strings.Contains(response.body, "wrong") {
			t.Errorf("%s with %q: got %d %s", row.route, row.authorization, response.status, response.body)
		}
		if isForwarded := row.status == 200 && row.route != "many"; len(reached) > 0 != isForwarded {
			t.Errorf("%s with %q: request reached a server: %v", row.route, row.authorization, !isForwarded)
		}
		for len(reached) > 0 {
			<-reached
		}
	}
	c.waitIdle()
}

// After a new configuration removes a key, the next request with it is rejected, even on an open
// connection. A request that was accepted before gets its complete response.
func TestRemovedKeyIsRejectedOnOpenConnection(t *testing.T) {
	started, proceed := make(chan bool, 8), make(chan bool)
	c := newConfiguredCluster(t, authenticatedConfiguration, func(w http.ResponseWriter, r *http.Request) {
		setResponseHead(w, r, "stamp", eventStream)
		writeAndFlush(w, eventText(1))
		started <- true
		<-proceed
		writeAndFlush(w, eventText(2))
	})
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	send := func(key string) (status int, body string) {
		response, err := transport.RoundTrip(c.newRequest(t.Context(), "POST", "/flow/x", "y", "Authorization", "Token "+key))
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			t.Error(err)
		}
		return response.StatusCode, string(data)
	}
	type result struct {
		status int
		body   string
	}
	first := make(chan result, 1)
	go func() {
		status, body := send("k1")
		first <- result{status, body}
	}()
	<-started
	c.setConfiguration(withTenants(`{"name":"t","keys":["k2"],"class":"c"}`), 2)
	close(proceed)
	if got := <-first; got.status != 200 || got.body != eventTexts(1, 2) {
		t.Errorf("the request in flight got %d %q", got.status, got.body)
	}
	if status, _ := send("k1"); status != 401 {
		t.Errorf("the next request with the removed key got %d", status)
	}
	if status, body := send("k2"); status != 200 || body != eventTexts(1, 2) {
		t.Errorf("a request with the remaining key got %d %q", status, body)
	}
	c.waitIdle()
}

// setConfiguration puts a configuration into effect.
func (c *testCluster) setConfiguration(text string, version uint64) {
	c.t.Helper()
	configuration, err := config.Parse([]byte(text))
	if err != nil {
		c.t.Fatal(err)
	}
	configuration.Version = version
	c.loop.apply(func(now clock.Micros) []machine.Effect {
		c.loop.edge.Scheduler.SetConfiguration(configuration, now)
		return nil
	})
}
