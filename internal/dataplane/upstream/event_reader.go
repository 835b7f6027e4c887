package upstream

import (
	"bytes"
	"io"
	"slices"
	"strings"

	"tuliprudder/internal/errs"
)

const (
	maxEventBytes = 1 << 20 // of one event
	readSize      = 4096    // bytes by which the buffer grows at least
	maxEmptyReads = 100     // in a row, of a source that gives neither bytes nor an error
)

// byteOrderMark may precede a stream, and is not part of its first line.
var byteOrderMark = []byte("\xef\xbb\xbf")

// EventField is one field of an event.
type EventField struct{ Name, Value string }

// Event is what a text/event-stream (WHATWG HTML, 9.2.6) has up to a blank line. One of comments
// alone is an event too, without data.
type Event struct {
	Raw         []byte // exactly as received, its blank line included
	ID          string // "" if none
	Data        string // its data lines, joined by newlines
	HasData     bool
	OtherFields []EventField // fields other than id, data, event, retry and comments, in order
}

// EventReader reads a text/event-stream. Next returns an event as soon as its blank line has come.
// The raw bytes of all events in order are those of the stream; blank lines beyond the first belong
// to the next event. One goroutine uses it.
type EventReader struct {
	source        io.Reader
	buffer        []byte // from the first byte of the event on
	position      int    // the next byte to scan
	lineStart     int    // where its line begins
	afterCR       bool   // a newline at the position still belongs to the line before
	eventStarted  bool   // the event has a line that isn't blank
	streamStarted bool   // the stream's first line was read
	data          []string
	event         Event // as far as it was read
	sourceErr     error // of the source
	finalErr      error // which Next returns from now on
}

// NewEventReader reads events from a body.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next event. An error is final: io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if that is inside an event, errs.TooLarge if an event is too large, or the
// source's own error.
func (e *EventReader) Next() (Event, error) {
	for emptyReads := 0; e.finalErr == nil; {
		event, complete := e.scan()
		isTooLarge := len(event.Raw) > maxEventBytes || !complete && len(e.buffer) > maxEventBytes
		switch {
		case isTooLarge:
			e.finalErr = errs.New(errs.TooLarge, "have the server send smaller events", "an event is larger than %d bytes", maxEventBytes)
		case complete:
			return event, nil
		case e.sourceErr == io.EOF && e.isInsideEvent():
			e.finalErr = io.ErrUnexpectedEOF
		case e.sourceErr != nil:
			e.finalErr = e.sourceErr
		case emptyReads == maxEmptyReads:
			e.finalErr = io.ErrNoProgress
		case e.read() > 0:
			emptyReads = 0
		default:
			emptyReads++
		}
	}
	return Event{}, e.finalErr
}

func (e *EventReader) isInsideEvent() bool { return e.eventStarted || e.lineStart < len(e.buffer) }

// read reads from the source into the buffer, and returns the number of bytes.
func (e *EventReader) read() (n int) {
	e.buffer = slices.Grow(e.buffer, readSize)
	n, e.sourceErr = e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	return n
}

// Trailing is what came after the last event and belongs to none, once Next has returned io.EOF:
// blank lines.
func (e *EventReader) Trailing() []byte { return e.buffer }

// scan goes on through the buffer up to the end of the event, if it is there.
func (e *EventReader) scan() (event Event, complete bool) {
	for {
		line, ok := e.nextLine()
		if !ok {
			return Event{}, false
		}
		if len(line) > 0 {
			e.eventStarted = true
			e.parseField(string(line))
		} else if e.eventStarted {
			return e.takeEvent(), true
		}
	}
}

// nextLine returns the next complete line of the buffer, without its end: CR, LF or both.
func (e *EventReader) nextLine() (line []byte, ok bool) {
	for e.position < len(e.buffer) {
		c := e.buffer[e.position]
		endsLineBefore := c == '\n' && e.afterCR
		e.afterCR = false
		e.position++
		if endsLineBefore {
			e.lineStart = e.position
			continue
		}
		if c != '\n' && c != '\r' {
			continue
		}
		line := e.buffer[e.lineStart : e.position-1]
		if c == '\r' {
			e.skipNewline()
		}
		e.lineStart = e.position
		if !e.streamStarted {
			e.streamStarted = true
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		return line, true
	}
	return nil, false
}

// skipNewline skips the LF of a CR LF, or notes that it may still come.
func (e *EventReader) skipNewline() {
	e.afterCR = e.position == len(e.buffer)
	if !e.afterCR && e.buffer[e.position] == '\n' {
		e.position++
	}
}

func (e *EventReader) parseField(line string) {
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
		e.event.OtherFields = append(e.event.OtherFields, EventField{name, value})
	}
}

// takeEvent returns the event that ends at the position, and begins the next one.
func (e *EventReader) takeEvent() Event {
	event := e.event
	event.Raw = bytes.Clone(e.buffer[:e.position])
	event.Data = strings.Join(e.data, "\n")
	event.HasData = len(e.data) > 0
	e.buffer = e.buffer[:copy(e.buffer, e.buffer[e.position:])]
	e.position = 0
	e.lineStart = 0
	e.eventStarted = false
	e.event = Event{}
	e.data = e.data[:0]
	return event
}
