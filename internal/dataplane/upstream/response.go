package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tuliprudder/internal/dataplane/endpoints"
)

// Response is a server's response whose request ID matches the request. It is not safe for
// concurrent use; to interrupt it from another goroutine, cancel the request's context.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader // any error except io.EOF means that the body was interrupted
	Length int64     // of the body, in bytes; -1 if unknown
	// Delimited is false if the body has no length and ends with the connection (RFC 9112, 6.3). Such
	// a body is complete only if the server closed its side of the connection in an orderly way.
	Delimited bool
	// NotRun says that the server declared that it did not execute the request, by the header
	// HeaderNames.NotRun or by status 421.
	NotRun bool
	// Load is the load that the server reported; nil if it reported none or it can't be parsed.
	Load *endpoints.ReportedLoad
	// WeightVersion is the version of the server's weights; 0 if the server reported none.
	WeightVersion int64
	// WrongWeights says that the server did not execute the request because the request requires
	// weights of another version.
	WrongWeights bool

	client        *Client
	connection    *connection
	ctx           context.Context
	cancel        func()      // ends ctx
	stopInterrupt func() bool // returns false if ctx has interrupted the connection
	httpResponse  *http.Response
	requestID     string // of the request
	reusable      bool   // the response's head permits reuse of the connection
	bodyStarted   bool   // some of the body has been read
	bodyComplete  bool
	completedAt   time.Time // when the body was complete
	closed        atomic.Bool
}

func (c *Client) newResponse(ctx context.Context, pc *connection, stopInterrupt func() bool, req Request, response *http.Response) *Response {
	r := &Response{
		Status:        response.StatusCode,
		Header:        response.Header,
		Length:        response.ContentLength,
		client:        c,
		connection:    pc,
		ctx:           ctx,
		stopInterrupt: stopInterrupt,
		httpResponse:  response,
		requestID:     req.ID,
		reusable:      !response.Close && !req.IsHealthCheck,
	}
	_, markedNotRun := response.Header[http.CanonicalHeaderKey(c.headerNames.NotRun)]
	if c.headerNames.Load != "" {
		r.Load = endpoints.ParseReportedLoad(response.Header.Get(c.headerNames.Load))
	}
	r.WeightVersion = parseWeightVersion(response.Header.Get(c.headerNames.WeightVersion))
	r.WrongWeights = r.Status == http.StatusMisdirectedRequest && req.Header.Get(c.headerNames.WantedWeights) != ""
	r.NotRun = markedNotRun || r.Status == http.StatusMisdirectedRequest
	if response.Body == http.NoBody {
		r.Length = 0
		r.completeBody()
	}
	isChunked := len(response.TransferEncoding) > 0
	r.Delimited = isChunked || r.Length >= 0
	r.Body = responseBody{r}
	return r
}

// parseWeightVersion parses a version of the weights. It returns 0 if there is no valid one.
func parseWeightVersion(text string) int64 {
	version, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || version < 0 {
		return 0
	}
	return version
}

// ObserveEvent updates WeightVersion from an event at which the version of the server's weights
// changes.
func (r *Response) ObserveEvent(event Event) {
	for _, field := range event.OtherFields {
		if strings.EqualFold(field.Name, r.client.headerNames.WeightVersion) {
			r.WeightVersion = parseWeightVersion(field.Value)
		}
	}
}

func (r *Response) completeBody() {
	r.bodyComplete = true
	r.completedAt = r.client.clock.Now()
}

// responseBody is the body of a response.
type responseBody struct{ response *Response }

// Read reads the body. io.EOF means that the body is complete. Any other error means that it was
// interrupted: io.ErrUnexpectedEOF, or the error of the connection or of the request's context. A
// body that ends with its connection is complete if the server closed its side in an orderly way; a
// reset is an error of the connection. If such a body is empty, it can't be distinguished from a
// response that was truncated after its head, so it counts as interrupted.
func (b responseBody) Read(p []byte) (int, error) {
	r := b.response
	if r.bodyComplete {
		return 0, io.EOF
	}
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	if r.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := r.httpResponse.Body.Read(p)
	r.bodyStarted = r.bodyStarted || n > 0
	switch {
	case err == nil:
	case err == io.EOF:
		err = r.handleBodyEOF()
	case r.ctx.Err() != nil:
		err = r.ctx.Err()
	case r.connection.readErr == io.EOF:
		// net/http returns an error of its own if the stream ends inside the trailers.
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// handleBodyEOF returns the error with which Read reports the end of the body's bytes: io.EOF if the
// body is complete, io.ErrUnexpectedEOF if not.
func (r *Response) handleBodyEOF() error {
	if !r.Delimited && !r.bodyStarted {
		return io.ErrUnexpectedEOF
	}
	if r.trailerMismatches() {
		r.client.Mismatched.Add(1)
		return io.ErrUnexpectedEOF
	}
	r.completeBody()
	return io.EOF
}

// trailerMismatches reports whether the trailer carries another request ID than the head. It is then
// uncertain to which request the body belongs.
func (r *Response) trailerMismatches() bool {
	if r.client.InjectedFaults.SkipIDCheck {
		return false
	}
	ids := r.httpResponse.Trailer.Values(r.client.headerNames.RequestID)
	if len(ids) == 0 {
		return false
	}
	return len(ids) > 1 || ids[0] != r.requestID
}

// Close returns the connection to the pool if the next response on it is certain to belong to the
// next request. Otherwise it closes the connection and discards unread input. Further calls have no
// effect.
func (r *Response) Close() {
	if r.closed.Swap(true) {
		return
	}
	c := r.client
	uninterrupted := r.stopInterrupt()
	r.cancel()
	if !uninterrupted || !r.bodyComplete || !r.Delimited || !r.reusable {
		c.closeConnection(r.connection)
		return
	}
	if r.connection.reader.Buffered() > 0 {
		c.UnexpectedInput.Add(1)
		c.closeConnection(r.connection)
		return
	}
	c.putIdle(r.connection, r.completedAt.Add(c.keepAliveTimeout(r.Header)))
}
