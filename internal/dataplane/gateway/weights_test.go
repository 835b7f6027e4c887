package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
)

// weightsServer is a stand-in server with weights of a version, which it tells; it answers 421 to a
// request that wants another one.
type weightsServer struct {
	mu               sync.Mutex
	version          string
	nextVersion      string // tells in an event that it has this version from there on; "": it doesn't
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

// Servers' versions of their weights are known from their answers: a request that wants one is sent to
// a server of another one once at most, and that server goes on serving all others.
func TestRequestsAreRoutedByWeightVersion(t *testing.T) {
	for _, kind := range []string{"once", "flow", "resume", "again"} {
		one, two := &weightsServer{version: "1"}, &weightsServer{version: "2"}
		c := newClusterWithServers(t, one.serve, two.serve)
		for i := range 20 {
			if response := c.do("POST", "/"+kind+"/x", "y", headerNames.WantedWeights, "2"); response.status != http.StatusOK || response.err != nil {
				t.Fatalf("%s, request %d: %+v", kind, i, response)
			}
		}
		if served, rejected := one.counts(); served != 0 || rejected > 1 {
			t.Errorf("%s: the server of the other version served %d and rejected %d", kind, served, rejected)
		}
		for range 20 {
			if response := c.do("POST", "/"+kind+"/x", "y", headerNames.WantedWeights, "1"); response.status != http.StatusOK {
				t.Fatalf("%s: a server that answered 421 rests: %+v", kind, response)
			}
		}
		if served, rejected := two.counts(); served != 20 || rejected > 1 {
			t.Errorf("%s: the server of the wanted version served %d and rejected %d", kind, served, rejected)
		}
		c.waitIdle()
	}
}

// A version that changes within a stream is known from the event that tells it.
func TestWeightVersionChangesWithinAStream(t *testing.T) {
	server := &weightsServer{version: "1", nextVersion: "2"}
	c := newClusterWithServers(t, server.serve)
	if response := c.do("POST", "/flow/x", "y"); response.body != "x-weights: 2\n"+eventTexts(1, 2) {
		t.Fatalf("%+v", response)
	}
	if response := c.do("POST", "/flow/x", "y", headerNames.WantedWeights, "2"); response.status != http.StatusOK {
		t.Errorf("the version that the event told: %+v", response)
	}
	if response := c.do("POST", "/flow/x", "y", headerNames.WantedWeights, "1"); response.status != http.StatusServiceUnavailable {
		t.Errorf("the version before it: %+v", response)
	}
	if _, rejected := server.counts(); rejected != 0 {
		t.Errorf("%d requests were sent there for the version before it", rejected)
	}
	c.waitIdle()
}
