package main

import (
	"net/http"
	"sync/atomic"
	"time"

	"tuliprudder/internal/httpserver"
)

// faultMode is what the server does wrong; the words are those of /control.
type faultMode string

const (
	faultNone         faultMode = ""
	faultUnresponsive faultMode = "dark"   // nothing is answered, connections stay open
	faultInterrupt    faultMode = "cut"    // streams break off half way
	faultReject       faultMode = "refuse" // new requests are rejected
)

const unresponsivePollInterval = 20 * time.Millisecond

// currentFault is the fault in force; the zero value is none.
type currentFault struct{ mode atomic.Value }

func (f *currentFault) is(mode faultMode) bool {
	current, _ := f.mode.Load().(faultMode)
	return current == mode
}

// awaitResponsive waits for as long as the server is unresponsive and the caller waits.
func (f *currentFault) awaitResponsive(r *http.Request) {
	for f.is(faultUnresponsive) && r.Context().Err() == nil {
		time.Sleep(unresponsivePollInterval)
	}
}

// faultChange is the body of POST /control and its response.
type faultChange struct {
	Mode faultMode `json:"mode"`
}

// setFault sets the fault, or ends it.
func (s *server) setFault(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var change faultChange
	if err := httpserver.Decode(data, &change); err != nil {
		return err
	}
	s.fault.mode.Store(change.Mode)
	return httpserver.WriteJSON(w, http.StatusOK, change)
}
