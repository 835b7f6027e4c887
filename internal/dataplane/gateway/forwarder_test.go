package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/machine"
)

// A new configuration interrupts no request in flight, even if it removes the request's route, or if
// the server is removed and its connections are to be closed.
func TestConfigurationChangeInterruptsNoRequest(t *testing.T) {
	for _, kind := range []string{"once", "flow"} {
		reached, proceed := make(chan string, 1), make(chan struct{})
		c := newClusterWithServers(t, func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			setResponseHead(w, r, "stamp", map[string]string{"once": "text/plain", "flow": eventStream}[kind])
			writeAndFlush(w, eventText(1))
			reached <- r.Host
			<-proceed
			writeAndFlush(w, eventText(2))
		})
		responses := make(chan callerResponse, 1)
		go func() { responses <- c.do("POST", "/"+kind+"/x", "y") }()
		<-reached
		c.loop.apply(func(now clock.Micros) []machine.Effect {
			configuration, err := config.Parse([]byte(strings.NewReplacer(`"/once/"`, `"/now/"`, `"/flow/"`, `"/then/"`, `"once"`, `"now"`, `"flow"`, `"then"`).Replace(forwardConfiguration)))
			if err != nil {
				t.Error(err)
				return nil
			}
			configuration.Version = 2
			c.loop.edge.Scheduler.SetConfiguration(configuration, now)
			server := c.loop.edge.Scheduler.Servers()[0]
			server.Removed = true
			c.loop.edge.Scheduler.SetServer(server)
			c.forwarder.Client.SetMaxConnections(server.Address, 0)
			c.forwarder.Client.RemoveServer(server.Address)
			return c.loop.edge.Tick(now)
		})
		if response := c.do("POST", "/"+kind+"/x", "y"); response.status != http.StatusNotFound {
			t.Errorf("%s: the new configuration is not in effect: got %+v", kind, response)
		}
		close(proceed)
		if response := <-responses; response.err != nil || response.status != 200 || response.body != eventTexts(1, 2) {
			t.Errorf("%s: the request in flight got %+v", kind, response)
		}
		c.waitIdle()
	}
}

// Requests of batch routes are passed to SubmitBatch, and requests without a route are rejected, as the
// state machine's configuration says. Neither reaches a server.
func TestBatchAndUnknownRoutesReachNoServer(t *testing.T) {
	c := newClusterWithServers(t, func(http.ResponseWriter, *http.Request) { t.Error("a server got a request") })
	if response := c.do("POST", "/many/x", "the batch"); response.status != 200 || response.body != "batch many the batch" {
		t.Errorf("%+v", response)
	}
	if response := c.do("POST", "/nowhere/x", "y"); response.status != http.StatusNotFound {
		t.Errorf("%+v", response)
	}
	c.waitIdle()
}
