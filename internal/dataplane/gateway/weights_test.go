package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
)

// weightsServer is a test server that reports the version of its model weights and answers 421 to a
// request that requires another version.
type weightsServer struct {
	mu               sync.Mutex
	version          string
	nextVersion      string // if set, the next response reports in an event that the weights change to this version
	served, rejected int
}

func (s *weightsServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	setResponseHead(w, r, "stamp", eventStream)
	w.Header().Set(headerNames.WeightVersion, s.version)
	if wanted := r.Header.Get(headerNames.WantedWeights); wanted != "" && wanted != s.version {
		s.rejected++
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.served++
	if s.nextVersion != "" {
		s.version = s.nextVersion
		s.nextVersion = ""
		fmt.Fprintf(w, "x-weights: %s\n", s.version)
	}
	writeAndFlush(w, eventTexts(1, 2))
}

func (s *weightsServer) counts() (served, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.rejected
}

// The edge learns the servers' weight versions from their responses. Requests for one version are sent
// to a server with another version at most once, and that server keeps serving all other requests.
func TestRequestsAreRoutedByWeightVersion(t *testing.T) {
	for _, kind := range []string{"once", "flow", "resume", "again"} {
		one, two := &weightsServer{version: "1"}, &weightsServer{version: "2"}
		c := newClusterWithServers(t, one.serve, two.serve)
		for i := range 20 {
			if response := c.do("POST", "/"+kind+"/x", "y", headerNames.WantedWeights, "2"); response.status != http.StatusOK || response.err != nil {
				t.Fatalf("%s, request %d: got %+v", kind, i, response)
			}
		}
		if served, rejected := one.counts(); served != 0 || rejected > 1 {
			t.Errorf("%s: the server with the other version served %d requests and rejected %d", kind, served, rejected)
		}
		for range 20 {
			if response := c.do("POST", "/"+kind+"/x", "y", headerNames.WantedWeights, "1"); response.status != http.StatusOK {
				t.Fatalf("%s: a server that answered 421 gets no more requests for its own version: %+v", kind, response)
			}
		}
		if served, rejected := two.counts(); served != 20 || rejected > 1 {
			t.Errorf("%s: the server with the required version served %d requests and rejected %d", kind, served, rejected)
		}
		c.waitIdle()
	}
}

// A version that changes within a stream takes effect with the event that reports it.
func TestWeightVersionChangesWithinAStream(t *testing.T) {
	server := &weightsServer{version: "1", nextVersion: "2"}
	c := newClusterWithServers(t, server.serve)
	if response := c.do("POST", "/flow/x", "y"); response.body != "x-weights: 2\n"+eventTexts(1, 2) {
		t.Fatalf("%+v", response)
	}
	if response := c.do("POST", "/flow/x", "y", headerNames.WantedWeights, "2"); response.status != http.StatusOK {
		t.Errorf("a request for the version that the event reported got %+v", response)
	}
	if response := c.do("POST", "/flow/x", "y", headerNames.WantedWeights, "1"); response.status != http.StatusServiceUnavailable {
		t.Errorf("a request for the previous version got %+v", response)
	}
	if _, rejected := server.counts(); rejected != 0 {
		t.Errorf("%d requests for the previous version were sent to the server", rejected)
	}
	c.waitIdle()
}
