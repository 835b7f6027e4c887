package logging

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"

	"tuliprudder/internal/machine"
)

type testEvent struct {
	machine.Info
	Term    uint64   `json:"term"`
	Group   []string `json:"group"`
	Missing int      `json:"missing,omitempty"`
}

func (testEvent) EventName() string { return "term_won" }

type testWarning struct {
	machine.Warning
	Reason string `json:"reason"`
}

func (testWarning) EventName() string { return "disk_unwritable" }

type testFault struct {
	machine.Error
	Reason string `json:"reason"`
}

func (testFault) EventName() string { return "halted" }

func TestAnEventIsOneLine(t *testing.T) {
	for _, test := range []struct {
		name  string
		event machine.Event
		want  string
	}{
		{"an omitempty field that is zero", testEvent{Term: 3, Group: []string{"a", "b"}}, `{"level":"info","event":"term_won","term":3,"group":["a","b"]}`},
		{"an omitempty field that is not zero", testEvent{Missing: 1}, `{"level":"info","event":"term_won","term":0,"group":null,"missing":1}`},
		{"a warning", testWarning{Reason: "full"}, `{"level":"warn","event":"disk_unwritable","reason":"full"}`},
		{"a fault", testFault{Reason: "damaged"}, `{"level":"error","event":"halted","reason":"damaged"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			Write(zerolog.New(&out), test.event)
			if got := out.String(); got != test.want+"\n" {
				t.Errorf("wrote %s, not %s", got, test.want)
			}
		})
	}
}
