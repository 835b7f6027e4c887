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

// Response is a server's response, whose request ID is that of the request. One goroutine reads and
// closes it; the request's context ends it from any other.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader // io.ErrUnexpectedEOF tells that it was interrupted
	Length int64     // of the body, in bytes; -1 if unknown
	// Delimited is false if the body has no length and ends with the connection (RFC 9112, 6.3): it is
	// complete if the server closed its side in order, and interrupted by anything else.
	Delimited bool
	// NotRun is the server's statement that it did not run the request.
	NotRun bool
	// Load is the server's load as it told it; nil where it told none that can be read.
	Load *endpoints.ReportedLoad
	// WeightVersion is the version of the server's weights; 0 where it told none.
	WeightVersion int64
	// WrongWeights: the server did not run the request because it wants weights of another version.
	WrongWeights bool

	client        *Client
	connection    *connection
	ctx           context.Context
	cancel        func()      // ends ctx
	stopInterrupt func() bool // false if ctx has interrupted the connection
	httpResponse  *http.Response
	requestID     string // of the request
	reusable      bool   // the connection may carry another request, as far as the head says
	bodyStarted   bool   // some of the body has been read
	bodyComplete  bool
	completedAt   time.Time // of the body
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

// parseWeightVersion reads a version of weights; 0 where there is none.
func parseWeightVersion(text string) int64 {
	version, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || version < 0 {
		return 0
	}
	return version
}

// ObserveEvent takes the version of the server's weights from an event at which it changes.
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

// Read reads the body. io.EOF is its complete end, any other error tells that it was interrupted:
// io.ErrUnexpectedEOF, or what the connection failed with. A body that ends with its connection is
// complete where the server closed its side in order; a reset is an error of the connection's. Nobody
// can tell an empty one from a response that was cut behind its head: it counts as interrupted.
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
		// net/http has an error of its own for an end inside the trailers.
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// handleBodyEOF is what the end of the body's bytes means.
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

// trailerMismatches tells whether the body's trailer names another request than the head: then
// nobody can tell whose the body is.
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

// Close gives the connection back to the pool if the next response on it is certain to be the next
// request's; otherwise it closes the connection, and what is unread is lost. Closing twice has no
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
