package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a model server began to work on.
type arrival struct {
	server, service string
	id, host, path  string
	lastEventID     int
	at              time.Time
}

// modelServer is a stand-in of a model server that puts out a stream of events.
type modelServer struct {
	id, service, zone, address string
	slots                      int
	events                     int           // of each answer
	gap                        time.Duration // before each event
	// breakOff, if set, reports whether an answer is to be broken off after an event.
	breakOff func(request *http.Request, event int) bool

	record *record
	http   *http.Server

	mu       sync.Mutex
	running  int
	arrivals []arrival
}

// startServer starts a model server and puts it on the list.
func (r *run) startServer(s *modelServer) (*modelServer, error) {
	listener, err := net.Listen("tcp", r.fleet.serverAddress()+":0")
	if err != nil {
		return nil, err
	}
	s.address, s.record = listener.Addr().String(), r.record
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	r.list.add(s)
	return s, nil
}

// seen returns the requests that the server began to work on.
func (s *modelServer) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// text is the data of an event: it depends on the request and the service alone.
func (s *modelServer) text(request *http.Request, event int) string {
	return fmt.Sprintf("%s %s %d", s.service, request.URL.Path, event)
}

// ServeHTTP serves one request.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance", s.id)
	switch {
	case request.Method == http.MethodGet && request.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
		return
	case request.Method == http.MethodGet && request.URL.Path == "/report":
		_, _ = fmt.Fprint(w, `{"phase":"mixed","models":[],"util":false,"seq":0,"queued":0,"active":0,"kv-used":0,"kv-size":90000,"handles":0}`)
		return
	}
	w.Header().Set("X-Request-Id", id)
	wanted := request.Header.Get("X-Want-Instance")
	switch {
	case id == "":
		s.reject(w, http.StatusBadRequest)
	case wanted != "" && wanted != s.id:
		s.reject(w, http.StatusMisdirectedRequest)
	case !s.take():
		s.reject(w, http.StatusServiceUnavailable)
	default:
		defer s.leave()
		s.work(w, request, id)
	}
}

func (s *modelServer) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(status)
}

// take takes a slot; it returns false if none is free.
func (s *modelServer) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *modelServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// work puts the events out, from the one after Last-Event-Id on.
func (s *modelServer) work(w http.ResponseWriter, request *http.Request, id string) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{s.id, s.service, id, request.Host, request.URL.Path, last, time.Now()})
	s.mu.Unlock()
	s.record.logf("server %s of %s runs %s %s%s from event %d", s.id, s.service, id, request.Host, request.URL.Path, last+1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Seal", "seal."+s.id+"."+id)
	control := http.NewResponseController(w)
	for event := last + 1; event <= s.events; event++ {
		select {
		case <-request.Context().Done():
			s.record.logf("server %s: the connection of %s was closed before event %d", s.id, id, event)
			return
		case <-time.After(s.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, s.text(request, event)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		if s.breakOff != nil && s.breakOff(request, event) {
			s.record.logf("server %s breaks %s off after event %d", s.id, id, event)
			panic(http.ErrAbortHandler)
		}
	}
}
