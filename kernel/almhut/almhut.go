// Package almhut is the micro-kernel: services are registered by name, find
// each other by name, start in order and end in reverse (DESIGN §2).
package almhut

import (
	"sync"

	"tuliprudder/kernel/belay"
	"tuliprudder/kernel/mishap"
)

// Service is a part of a daemon. Start must not block; what it started is
// ended by the clean-ups it pushes.
type Service interface {
	Start(hut *Hut, ends *belay.Stack) error
}

// Hut holds a daemon's services.
type Hut struct {
	mu     sync.Mutex
	names  []string
	byName map[string]Service
	ends   belay.Stack
}

// New makes an empty hut.
func New() *Hut { return &Hut{byName: map[string]Service{}} }

// Register adds a service under a name that is not yet taken.
func (h *Hut) Register(name string, service Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, taken := h.byName[name]; taken {
		panic("almhut: service registered twice: " + name)
	}
	h.names = append(h.names, name)
	h.byName[name] = service
}

// Find looks up a service of the wanted type by name.
func Find[T any](h *Hut, name string) (T, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, ok := h.byName[name].(T)
	if !ok {
		var none T
		return none, mishap.New(mishap.BadSettings, "register it before the services that need it", "no service %q of the wanted type", name)
	}
	return found, nil
}

// Start starts all in the order of registration; on a fault it ends what ran.
func (h *Hut) Start() error {
	for _, name := range h.names {
		if err := h.byName[name].Start(h, &h.ends); err != nil {
			h.ends.Run()
			return err
		}
	}
	return nil
}

// Stop ends all in reverse.
func (h *Hut) Stop() { h.ends.Run() }
