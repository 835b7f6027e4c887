package upstream

import (
	"bytes"
	"io"
	"slices"
	"strings"

	"tuliprudder/kernel/errs"
)

const eventLimit = 1 << 20 // bytes of one event

// Field is one field of an event.
type Field struct{ Name, Value string }

// Event is what a text/event-stream has up to a blank line; one of comments
// alone is an event too, without data.
type Event struct {
	Raw     []byte // exactly as received, its blank line included
	ID      string // "" if none
	Data    string // its data lines, joined by newlines
	HasData bool
	Other   []Field // fields that aren't id, data, event, retry or comments, in order
}

// EventReader reads a text/event-stream. An event is given as soon as its blank
// line has come. The raw bytes of all events in order are those of the stream;
// blank lines beyond the first go to the next event.
type EventReader struct {
	source  io.Reader
	buffer  []byte // from the first byte of the event on
	at      int    // the next byte to look at
	line    int    // where its line begins
	afterCR bool   // a newline here still belongs to the line before
	begun   bool   // the event has a line that isn't blank
	started bool   // the stream's first line was read
	data    []string
	event   Event
	err     error // of the source
	final   error // given from now on
}

// NewEventReader reads events from a body.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next gives the next event: io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF when that is inside an event. An error is the last word.
func (e *EventReader) Next() (Event, error) {
	for idle := 0; e.final == nil; {
		event, ok := e.scan()
		switch {
		case len(event.Raw) > eventLimit, !ok && len(e.buffer) > eventLimit:
			e.final = errs.New(errs.TooLarge, "have the server send smaller events", "an event is larger than %d bytes", eventLimit)
		case ok:
			return event, nil
		case e.err == io.EOF && (e.begun || e.line < len(e.buffer)):
			e.final = io.ErrUnexpectedEOF
		case e.err != nil:
			e.final = e.err
		case idle == 100:
			e.final = io.ErrNoProgress
		default:
			var n int
			e.buffer = slices.Grow(e.buffer, 4096)
			n, e.err = e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
			e.buffer = e.buffer[:len(e.buffer)+n]
			if idle++; n > 0 {
				idle = 0
			}
		}
	}
	return Event{}, e.final
}

// Rest is what came after the last event and belongs to none, once Next has given
// io.EOF: blank lines.
func (e *EventReader) Rest() []byte { return e.buffer }

// scan goes on through the buffer to the end of the event, if it is there.
func (e *EventReader) scan() (Event, bool) {
	for e.at < len(e.buffer) {
		c := e.buffer[e.at]
		late := c == '\n' && e.afterCR
		e.afterCR = false
		e.at++
		if late {
			e.line = e.at
			continue
		}
		if c != '\n' && c != '\r' {
			continue
		}
		line := e.buffer[e.line : e.at-1]
		if c == '\r' {
			e.afterCR = e.at == len(e.buffer)
			if !e.afterCR && e.buffer[e.at] == '\n' {
				e.at++
			}
		}
		e.line = e.at
		if !e.started {
			e.started = true
			line = bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
		}
		if len(line) > 0 {
			e.begun = true
			e.field(string(line))
		} else if e.begun {
			return e.finish(), true
		}
	}
	return Event{}, false
}

func (e *EventReader) field(line string) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "", "event", "retry":
	case "id":
		if !strings.Contains(value, "\x00") {
			e.event.ID = value
		}
	case "data":
		e.data = append(e.data, value)
	default:
		e.event.Other = append(e.event.Other, Field{name, value})
	}
}

func (e *EventReader) finish() Event {
	event := e.event
	event.Raw = bytes.Clone(e.buffer[:e.at])
	event.Data, event.HasData = strings.Join(e.data, "\n"), len(e.data) > 0
	e.buffer = e.buffer[:copy(e.buffer, e.buffer[e.at:])]
	e.at, e.line, e.begun, e.event, e.data = 0, 0, false, Event{}, e.data[:0]
	return event
}
