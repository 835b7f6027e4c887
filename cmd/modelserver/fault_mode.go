package main

import (
	"net/http"
	"sync/atomic"
	"time"

	"tuliprudder/internal/httpserver"
)

// faultMode is a fault that the server simulates; the values are those of POST /control.
type faultMode string

const (
	faultNone         faultMode = ""
	faultUnresponsive faultMode = "dark"   // no request is answered, connections stay open
	faultInterrupt    faultMode = "cut"    // streams are disconnected half-way
	faultReject       faultMode = "refuse" // new requests are rejected
)

const unresponsivePollInterval = 20 * time.Millisecond

// currentFault holds the active fault; the zero value means none.
type currentFault struct{ mode atomic.Value }

func (f *currentFault) is(mode faultMode) bool {
	current, _ := f.mode.Load().(faultMode)
	return current == mode
}

// awaitResponsive blocks until the server is no longer unresponsive or the request is cancelled.
func (f *currentFault) awaitResponsive(r *http.Request) {
	for f.is(faultUnresponsive) && r.Context().Err() == nil {
		time.Sleep(unresponsivePollInterval)
	}
}

// faultChange is the request and response body of POST /control.
type faultChange struct {
	Mode faultMode `json:"mode"`
}

// setFault handles POST /control: it sets the active fault, or clears it if the mode is empty.
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
