package batchstore

import (
	"testing"

	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// The first registration is kept: later ones do not change it, whether their core is of the same fleet or of
// another one.
func TestFirstRegistrationIsKept(t *testing.T) {
	s := newStore(Self{ID: "s", Incarnation: 1})
	for _, registered := range []registration.Registered{{Fleet: "f"}, {Fleet: "f", Writer: 3}, {Fleet: "f", Writer: 4}, {Fleet: "other", Writer: 5}} {
		s.Do(Message{From: "c", Body: registered}, 1000)
	}
	if s.Fleet() != "f" || s.Writer() != 3 {
		t.Fatalf("registered as writer %d of %q", s.Writer(), s.Fleet())
	}
	restarted := New(Self{ID: "s", Incarnation: 2}, Defaults(), s.ownRecords(), newMemoryArchive())
	if restarted.Fleet() != "f" || restarted.Writer() != 3 {
		t.Fatalf("after a restart registered as writer %d of %q", restarted.Writer(), restarted.Fleet())
	}
}

// Only a rejection of the store's own current incarnation halts the daemon.
func TestRejectedRegistrationHaltsTheDaemon(t *testing.T) {
	for name, test := range map[string]struct {
		rejected registration.Rejected
		ends     bool
	}{
		"its own":               {registration.Rejected{ID: "s", Incarnation: 2}, true},
		"another store's":       {registration.Rejected{ID: "t", Incarnation: 2}, false},
		"another incarnation's": {registration.Rejected{ID: "s", Incarnation: 1}, false},
	} {
		s := newStore(Self{ID: "s", Incarnation: 2})
		ended := false
		for _, effect := range s.Do(Message{From: "c", Body: test.rejected}, 1000) {
			if halt, ok := effect.(machine.Halt); ok {
				ended = errs.Is(halt.Err, errs.WrongFolder)
			}
		}
		if ended != test.ends {
			t.Errorf("%s: halted: %v", name, ended)
		}
	}
}
