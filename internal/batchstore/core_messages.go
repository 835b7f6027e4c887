package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
)

// Message is a message from a core or from another member of a replication group.
type Message struct {
	From string // address
	Body any
}

// Apply passes the message to the replication groups, or handles it here if it is from a core.
func (m Message) Apply(s *Store, now clock.Micros) {
	if s.ignoresWhileUnwritable(m.Body) || s.groups.HandleMessage(m.From, m.Body, now) {
		return
	}
	switch body := m.Body.(type) {
	case registration.Registered:
		s.handleRegistered(m.From, body)
	case registration.Rejected:
		s.handleRegistrationRejected(body)
	}
}
