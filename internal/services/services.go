// Package services is the registry of a daemon's services: they are registered by name, find each
// other by name, start in the order of registration and stop in reverse order (docs/DESIGN.md,
// section 2).
package services

import (
	"fmt"
	"reflect"
	"sync"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/errs"
)

// Service is a part of a daemon. Start must not block; the clean-up functions that it pushes stop
// what it started. They also run if Start returns an error.
type Service interface {
	// Start runs after the Start of all services that were registered earlier. If it returns an
	// error, the registry stops these too.
	Start(registry *Registry, cleanups *cleanup.Stack) error
}

// Registry holds a daemon's services. Services are registered before Start, by one goroutine; Find
// may be called from any.
type Registry struct {
	mu       sync.Mutex // guards names and byName
	names    []string   // in the order of registration
	byName   map[string]Service
	cleanups cleanup.Stack
}

// New returns an empty registry.
func New() *Registry { return &Registry{byName: map[string]Service{}} }

// Register adds a service. It panics if the name is taken, because that is a programming error.
func (r *Registry) Register(name string, service Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.byName[name]; taken {
		panic(fmt.Sprintf("services: %q registered twice", name))
	}
	r.names = append(r.names, name)
	r.byName[name] = service
}

// Find returns the service of a name and type. The error is an errs.BadSettings.
func Find[T any](r *Registry, name string) (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	service, ok := r.byName[name].(T)
	if !ok {
		var zero T
		return zero, errs.New(errs.BadSettings, "register it before the services that need it", "no service %q of type %v", name, reflect.TypeFor[T]())
	}
	return service, nil
}

// Start starts all services. After an error it stops those that were started.
func (r *Registry) Start() error {
	for _, name := range r.names {
		if err := r.byName[name].Start(r, &r.cleanups); err != nil {
			r.cleanups.Run()
			return err
		}
	}
	return nil
}

// Stop stops all services.
func (r *Registry) Stop() { r.cleanups.Run() }
