package upstream

import (
	"bytes"
	"io"
	"slices"
	"strings"

	"tuliprudder/internal/errs"
)

const (
	maxEventBytes = 1 << 20 // limit for the size of one event
	readSize      = 4096    // minimum by which the buffer grows, in bytes
	maxEmptyReads = 100     // consecutive reads that return neither bytes nor an error, before Next fails
)

// byteOrderMark may precede a stream, and is not part of its first line.
var byteOrderMark = []byte("\xef\xbb\xbf")

// EventField is one field of an event.
type EventField struct{ Name, Value string }

// Event is a part of a text/event-stream (WHATWG HTML, 9.2.6) that ends with a blank line. A part
// that consists only of comments is also an event, without data.
type Event struct {
	Raw         []byte // exactly as received, including its blank line
	ID          string // "" if none
	Data        string // values of its data fields, joined by newlines
	HasData     bool
	OtherFields []EventField // fields other than id, data, event, retry and comments, in order
}

// EventReader reads a text/event-stream. Next returns an event as soon as its blank line has been
// received. The concatenated raw bytes of all events equal the stream: additional blank lines belong
// to the next event, or to Trailing after the last one. It is not safe for concurrent use.
type EventReader struct {
	source        io.Reader
	buffer        []byte // starts at the first byte of the current event
	position      int    // index of the next byte to scan
	lineStart     int    // index at which the current line begins
	afterCR       bool   // an LF at the position is the second half of the previous line's CR LF
	eventStarted  bool   // the current event has a non-blank line
	streamStarted bool   // the stream's first line has been read
	data          []string
	event         Event // the current event as parsed so far
	sourceErr     error // error returned by the source
	finalErr      error // error that Next returns from now on
}

// NewEventReader returns an EventReader that reads from source.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next event. An error is final: io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends inside an event, an error of kind errs.TooLarge if an event
// is too large, io.ErrNoProgress if the source returns nothing, or the source's own error.
func (e *EventReader) Next() (Event, error) {
	for emptyReads := 0; e.finalErr == nil; {
		event, complete := e.scan()
		isTooLarge := len(event.Raw) > maxEventBytes || !complete && len(e.buffer) > maxEventBytes
		switch {
		case isTooLarge:
			e.finalErr = errs.New(errs.TooLarge, "have the server send smaller events", "event in the response is larger than %d bytes", maxEventBytes)
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

// read reads from the source into the buffer and returns the number of bytes read.
func (e *EventReader) read() (n int) {
	e.buffer = slices.Grow(e.buffer, readSize)
	n, e.sourceErr = e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	return n
}

// Trailing returns the bytes after the last event, which are blank lines. It is valid once Next has
// returned io.EOF.
func (e *EventReader) Trailing() []byte { return e.buffer }

// scan continues through the buffer and returns the current event if its end is in the buffer.
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

// nextLine returns the next complete line of the buffer without its line ending: CR, LF or CR LF.
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

// skipNewline skips the LF of a CR LF. At the end of the buffer it sets afterCR, as the LF may follow.
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

// takeEvent returns the event that ends at the position and starts the next one.
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
