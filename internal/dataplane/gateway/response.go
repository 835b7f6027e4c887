package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/upstream"
	"tuliprudder/internal/errs"
)

const contentTypeEventStream = "text/event-stream"

// unknownLength is the length of a response that does not state its length in advance.
const unknownLength = -1

// forwardResponse forwards a response to the caller. A response that is not an event stream is read
// completely first, so that nothing of an interrupted one is forwarded, not even its head.
func (p *proxiedRequest) forwardResponse(response *upstream.Response) error {
	if isEventStream(response) {
		return p.forwardEvents(response)
	}
	if p.responseStarted {
		return errs.New(errs.ServerFault, "make the server resume the event stream", "the server answered the resumption of an event stream with a response that is not an event stream")
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	length := unknownLength
	if response.Length >= 0 {
		length = len(data)
	}
	p.startResponse(response, length)
	_, err = p.w.Write(data)
	return err
}

func isEventStream(response *upstream.Response) bool {
	return response.Status == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), contentTypeEventStream)
}

// startResponse sends the head of a response to the caller, unless one has been sent: a resumed stream
// keeps the head of the first server's response.
func (p *proxiedRequest) startResponse(response *upstream.Response, length int) {
	if p.responseStarted {
		return
	}
	p.responseStarted = true
	header := p.w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	if length != unknownLength {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	p.w.WriteHeader(response.Status)
}

// forwardEvents forwards the events of a stream as they arrive. A server that resumes a stream must
// start with the event after the last forwarded one.
func (p *proxiedRequest) forwardEvents(response *upstream.Response) error {
	reader := upstream.NewEventReader(response.Body)
	resuming := p.responseStarted
	for isFirst := true; ; isFirst = false {
		event, err := reader.Next()
		if err == io.EOF {
			return p.endStream(response, reader)
		}
		if err != nil {
			return err
		}
		if resuming && !isNextEvent(p.lastEventID, event.ID) {
			return errs.New(errs.ServerFault, "make the server resume after the event that the request names", "the resumed event stream continues with event %s after event %s", event.ID, p.lastEventID)
		}
		if isFirst {
			p.forwarder.reportStarted(proxy.AttemptStarted{RequestID: p.requestID, Load: response.Load, WeightVersion: response.WeightVersion})
		}
		response.ObserveEvent(event)
		if err := p.forwardEvent(response, event); err != nil {
			return err
		}
		if event.ID != "" {
			resuming = false
		}
	}
}

func (p *proxiedRequest) forwardEvent(response *upstream.Response, event upstream.Event) error {
	p.startResponse(response, unknownLength)
	if _, err := p.w.Write(event.Raw); err != nil {
		return err
	}
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		return err
	}
	p.observeEventGap(p.forwarder.Now())
	if event.ID != "" {
		p.lastEventID = event.ID
	}
	return nil
}

// observeEventGap records that an event was forwarded at a time, and updates the longest gap.
func (p *proxiedRequest) observeEventGap(now clock.Micros) {
	if p.lastEventAt > 0 {
		p.longestEventGap = max(p.longestEventGap, now-p.lastEventAt)
	}
	p.lastEventAt = now
}

// endStream forwards the blank lines that follow the last event.
func (p *proxiedRequest) endStream(response *upstream.Response, reader *upstream.EventReader) error {
	p.startResponse(response, unknownLength)
	_, err := p.w.Write(reader.Trailing())
	return err
}

// isNextEvent reports whether an event directly follows the last forwarded one. IDs that are not
// numbers cannot be compared; then it returns true.
func isNextEvent(lastID, id string) bool {
	last, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil || id == "" {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next == last+1
}
