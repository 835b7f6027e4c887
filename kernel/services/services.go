// Package services is the service registry: services are registered by name, find
// each other by name, start in order and end in reverse (DESIGN §2).
package services

import (
	"sync"

	"tuliprudder/kernel/cleanup"
	"tuliprudder/kernel/errs"
)

// Service is a part of a daemon. Start must not block; what it started is
// ended by the clean-ups it pushes.
type Service interface {
	Start(registry *Registry, ends *cleanup.Stack) error
}

// Registry holds a daemon's services.
type Registry struct {
	mu     sync.Mutex
	names  []string
	byName map[string]Service
	ends   cleanup.Stack
}

// New makes an empty registry.
func New() *Registry { return &Registry{byName: map[string]Service{}} }

// Register adds a service under a name that is not yet taken.
func (h *Registry) Register(name string, service Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, taken := h.byName[name]; taken {
		panic("almhut: service registered twice: " + name)
	}
	h.names = append(h.names, name)
	h.byName[name] = service
}

// Find looks up a service of the wanted type by name.
func Find[T any](h *Registry, name string) (T, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, ok := h.byName[name].(T)
	if !ok {
		var none T
		return none, errs.New(errs.BadSettings, "register it before the services that need it", "no service %q of the wanted type", name)
	}
	return found, nil
}

// Start starts all in the order of registration; on a fault it ends what ran.
func (h *Registry) Start() error {
	for _, name := range h.names {
		if err := h.byName[name].Start(h, &h.ends); err != nil {
			h.ends.Run()
			return err
		}
	}
	return nil
}

// Stop ends all in reverse.
func (h *Registry) Stop() { h.ends.Run() }
