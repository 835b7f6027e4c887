package modelcheck

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"tuliprudder/internal/clock"
)

// EventKind is what an event does, as spelled in traces. Traces are stored in testdata and in
// incident notes, so these spellings must not change.
type EventKind string

// The kinds of event.
const (
	PassTime         EventKind = "pass"     // time passes for all: ticks, deliveries and syncs
	DeliverAll       EventKind = "settle"   // all messages are delivered and all writes synced; no time passes
	AdvanceClocks    EventKind = "advance"  // the clocks move; no process acts
	Tick             EventKind = "tick"     // one process has its tick
	Deliver          EventKind = "deliver"  // one message arrives
	Drop             EventKind = "drop"     // one message is lost
	Repeat           EventKind = "repeat"   // one message arrives and stays in flight
	Delay            EventKind = "hold"     // one message stays in flight until an event names it
	Sync             EventKind = "sync"     // the oldest write of a process is synced
	Crash            EventKind = "crash"    // a process crashes; KeepWrites of its unsynced writes are on disk
	CrashAll         EventKind = "blackout" // all processes crash; each keeps up to KeepWrites unsynced writes
	Start            EventKind = "start"    // a process that is down starts from its disk
	Wipe             EventKind = "wipe"     // a process stops, its disk is emptied, it starts with a new identity
	Replace          EventKind = "replace"  // like Wipe, but at a new address
	Partition        EventKind = "cut"      // a set of processes is separated from the others
	BlockOutgoing    EventKind = "mute"     // all messages from a process are lost
	BlockIncoming    EventKind = "deafen"   // all messages to a process are lost
	BlockMessageType EventKind = "starve"   // messages of one kind are lost on one link
	Heal             EventKind = "heal"     // all links work
	Pause            EventKind = "freeze"   // a process is suspended; messages to it stay in flight
	Resume           EventKind = "thaw"     // a paused process continues
	BlockDisk        EventKind = "clog"     // the disk of a process accepts no writes
	UnblockDisk      EventKind = "unclog"   // the disk accepts writes again
	PutConfiguration EventKind = "put"      // an operator sends a request to a process
	Drain            EventKind = "leave"    // a process is notified that it is about to be removed
)

// Event is one step of a run. Fields that its kind doesn't use are zero.
type Event struct {
	Kind       EventKind
	Processes  []string     // names of the processes concerned; for a message: sender, receiver
	Message    string       // kind of a message
	Index      int          // of a message among those with the same sender, receiver and kind
	KeepWrites int          // unsynced writes that a crash leaves on the disk
	Duration   clock.Micros // of the time that passes
	Request    string       // name of an operator's request
}

// operand describes the fields that follow the names of processes on the line of an event.
type operand struct {
	fieldCount int
	format     func(e Event) []string
	parse      func(e *Event, fields []string) error
}

var (
	durationOperand = operand{1,
		func(e Event) []string { return []string{clock.Duration(e.Duration).String()} },
		func(e *Event, fields []string) error {
			duration, err := time.ParseDuration(fields[0])
			e.Duration = duration.Microseconds()
			return err
		}}
	messageOperand = operand{2,
		func(e Event) []string { return []string{e.Message, strconv.Itoa(e.Index)} },
		func(e *Event, fields []string) (err error) {
			e.Message = fields[0]
			e.Index, err = strconv.Atoi(fields[1])
			return err
		}}
	messageTypeOperand = operand{1,
		func(e Event) []string { return []string{e.Message} },
		func(e *Event, fields []string) error {
			e.Message = fields[0]
			return nil
		}}
	keepWritesOperand = operand{1,
		func(e Event) []string { return []string{strconv.Itoa(e.KeepWrites)} },
		func(e *Event, fields []string) (err error) {
			e.KeepWrites, err = strconv.Atoi(fields[0])
			return err
		}}
	requestOperand = operand{1,
		func(e Event) []string { return []string{e.Request} },
		func(e *Event, fields []string) error {
			e.Request = fields[0]
			return nil
		}}
)

// anyProcesses stands for one or more processes.
const anyProcesses = -1

// eventForm is the syntax of one kind of event.
type eventForm struct {
	processes int
	operand   *operand // nil: none
}

var eventForms = map[EventKind]eventForm{
	PassTime:         {0, &durationOperand},
	DeliverAll:       {0, nil},
	AdvanceClocks:    {0, &durationOperand},
	Tick:             {1, nil},
	Deliver:          {2, &messageOperand},
	Drop:             {2, &messageOperand},
	Repeat:           {2, &messageOperand},
	Delay:            {2, &messageOperand},
	Sync:             {1, nil},
	Crash:            {1, &keepWritesOperand},
	CrashAll:         {0, &keepWritesOperand},
	Start:            {1, nil},
	Wipe:             {1, nil},
	Replace:          {1, nil},
	Partition:        {anyProcesses, nil},
	BlockOutgoing:    {1, nil},
	BlockIncoming:    {1, nil},
	BlockMessageType: {2, &messageTypeOperand},
	Heal:             {0, nil},
	Pause:            {1, nil},
	Resume:           {1, nil},
	BlockDisk:        {1, nil},
	UnblockDisk:      {1, nil},
	PutConfiguration: {1, &requestOperand},
	Drain:            {1, nil},
}

// String returns the event as one line of a trace.
func (e Event) String() string {
	fields := append([]string{string(e.Kind)}, e.Processes...)
	if operand := eventForms[e.Kind].operand; operand != nil {
		fields = append(fields, operand.format(e)...)
	}
	return strings.Join(fields, " ")
}

// ParseEvent parses one line of a trace.
func ParseEvent(line string) (Event, error) {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return Event{}, errors.New("empty line instead of an event")
	}
	e := Event{Kind: EventKind(fields[0])}
	form, known := eventForms[e.Kind]
	if !known || !form.parse(&e, fields[1:]) {
		return Event{}, fmt.Errorf("invalid trace event %q", line)
	}
	return e, nil
}

// parse parses the fields after an event's kind; it returns false if they do not match the syntax.
func (f eventForm) parse(e *Event, fields []string) bool {
	processCount := len(fields)
	if f.operand != nil {
		processCount -= f.operand.fieldCount
	}
	fits := processCount == f.processes || f.processes == anyProcesses && processCount > 0
	if !fits {
		return false
	}
	e.Processes = fields[:processCount]
	return f.operand == nil || f.operand.parse(e, fields[processCount:]) == nil
}

// Trace is the sequence of events of a run.
type Trace []Event

// String returns the trace with one event per line.
func (t Trace) String() string {
	var out strings.Builder
	for _, e := range t {
		out.WriteString(e.String())
		out.WriteByte('\n')
	}
	return out.String()
}

// ParseTrace parses a trace; blank lines and those that begin with # are skipped.
func ParseTrace(text string) (Trace, error) {
	var trace Trace
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := ParseEvent(line)
		if err != nil {
			return nil, err
		}
		trace = append(trace, e)
	}
	return trace, nil
}
