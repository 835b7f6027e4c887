package services

import (
	"errors"
	"fmt"
	"testing"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/errs"
)

// testService records its start and end in a log.
type testService struct {
	name string
	log  *[]string
	err  error
}

func (s testService) Start(_ *Registry, cleanups *cleanup.Stack) error {
	if s.err != nil {
		return s.err
	}
	*s.log = append(*s.log, "start "+s.name)
	cleanups.Push(func() { *s.log = append(*s.log, "end "+s.name) })
	return nil
}

func TestServicesStartInOrderAndEndInReverse(t *testing.T) {
	failure := errors.New("no port")
	for _, test := range []struct {
		name  string
		third error
		want  string
	}{
		{"all start", nil, "[start a start b start c end c end b end a]"},
		{"one fails", failure, "[start a start b end b end a]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var log []string
			registry := New()
			registry.Register("a", testService{"a", &log, nil})
			registry.Register("b", testService{"b", &log, nil})
			registry.Register("c", testService{"c", &log, test.third})
			if err := registry.Start(); !errors.Is(err, test.third) {
				t.Errorf("Start returned %v", err)
			}
			registry.Stop()
			if fmt.Sprint(log) != test.want {
				t.Errorf("the log is %v, not %s", log, test.want)
			}
		})
	}
}

func TestAServiceIsFoundByNameAndType(t *testing.T) {
	registry := New()
	registry.Register("a", testService{name: "a"})
	if got, err := Find[testService](registry, "a"); err != nil || got.name != "a" {
		t.Errorf("found %+v, %v", got, err)
	}
	if _, err := Find[*testService](registry, "a"); !errs.Is(err, errs.BadSettings) {
		t.Errorf("a service of another type: %v", err)
	}
	if _, err := Find[testService](registry, "b"); !errs.Is(err, errs.BadSettings) {
		t.Errorf("a service of another name: %v", err)
	}
}
