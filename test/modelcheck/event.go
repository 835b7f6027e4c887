package modelcheck

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"tuliprudder/internal/clock"
)

// EventKind is what an event does, as traces spell it. Traces are kept in testdata and in
// incident notes, so these spellings never change.
type EventKind string

// The kinds of event.
const (
	PassTime         EventKind = "pass"     // time goes by fairly: ticks, deliveries and syncs
	DeliverAll       EventKind = "settle"   // all messages and syncs are carried out; no time passes
	AdvanceClocks    EventKind = "advance"  // the clocks move; no process acts
	Tick             EventKind = "tick"     // one process has its tick
	Deliver          EventKind = "deliver"  // one message arrives
	Drop             EventKind = "drop"     // one message is lost
	Repeat           EventKind = "repeat"   // one message arrives and stays in flight
	Delay            EventKind = "hold"     // one message stays in flight until it is delivered by name
	Sync             EventKind = "sync"     // the oldest write of a process is synced
	Crash            EventKind = "crash"    // a process ends; KeepWrites of its unsynced writes are on disk
	CrashAll         EventKind = "blackout" // all processes end; each keeps up to KeepWrites unsynced writes
	Start            EventKind = "start"    // a process that ended starts from its disk
	Wipe             EventKind = "wipe"     // a process ends, its disk is emptied, it starts as a new identity
	Replace          EventKind = "replace"  // the same, at a new address
	Partition        EventKind = "cut"      // a set of processes and the others can't reach each other
	BlockOutgoing    EventKind = "mute"     // nothing that a process sends arrives
	BlockIncoming    EventKind = "deafen"   // nothing arrives at a process
	BlockMessageType EventKind = "starve"   // messages of one kind don't arrive over one link
	Heal             EventKind = "heal"     // all links work
	Pause            EventKind = "freeze"   // a process stands still; what is sent to it waits
	Resume           EventKind = "thaw"     // it goes on
	BlockDisk        EventKind = "clog"     // the disk of a process takes no writes
	UnblockDisk      EventKind = "unclog"   // it takes them again
	PutConfiguration EventKind = "put"      // an operator sends a request to a process
	Drain            EventKind = "leave"    // a process is notified that it is about to be removed
)

// Event is one step of a run. Fields that its kind doesn't use are zero.
type Event struct {
	Kind       EventKind
	Processes  []string     // names of the processes it is about; of a message: sender, receiver
	Message    string       // kind of a message
	Index      int          // of a message among those of one sender, receiver and kind
	KeepWrites int          // unsynced writes that a crash leaves on the disk
	Duration   clock.Micros // of time that goes by
	Request    string       // name of an operator's request
}

// operand is what follows the names of processes on the line of an event.
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

// anyProcesses stands for one process or more.
const anyProcesses = -1

// eventForm is how an event of a kind is written.
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

// String writes an event as one line of a trace.
func (e Event) String() string {
	fields := append([]string{string(e.Kind)}, e.Processes...)
	if operand := eventForms[e.Kind].operand; operand != nil {
		fields = append(fields, operand.format(e)...)
	}
	return strings.Join(fields, " ")
}

// ParseEvent reads one line of a trace.
func ParseEvent(line string) (Event, error) {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return Event{}, errors.New("an empty line is no event")
	}
	e := Event{Kind: EventKind(fields[0])}
	form, known := eventForms[e.Kind]
	if !known || !form.parse(&e, fields[1:]) {
		return Event{}, fmt.Errorf("not an event of a trace: %q", line)
	}
	return e, nil
}

// parse reads the fields after an event's kind; false where they don't fit it.
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

// Trace is a run, one event a line.
type Trace []Event

// String writes the run.
func (t Trace) String() string {
	var out strings.Builder
	for _, e := range t {
		out.WriteString(e.String())
		out.WriteByte('\n')
	}
	return out.String()
}

// ParseTrace reads a run; blank lines and those that begin with # are skipped.
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
