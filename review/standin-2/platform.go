package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// instanceList is the platform's list of model servers.
type instanceList struct {
	mu        sync.Mutex
	instances []map[string]any
	server    *http.Server
}

func newInstanceList() *instanceList { return &instanceList{} }

// serve answers GET /instances at an address of its own, which it returns.
func (l *instanceList) serve(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (l *instanceList) stop() {
	if l.server != nil {
		_ = l.server.Close()
	}
}

// add lists a server.
func (l *instanceList) add(s *modelServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = append(l.instances, map[string]any{
		"id": s.id, "svc": s.service, "addr": s.address, "az": s.zone, "ver": "v1", "slots": s.slots, "state": "up", "warm-left-ms": 0,
	})
}

// ServeHTTP answers with the whole list on one page.
func (l *instanceList) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/instances" {
		http.NotFound(w, request)
		return
	}
	l.mu.Lock()
	data, err := json.Marshal(map[string]any{"insts": l.instances, "next-token": nil})
	l.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
