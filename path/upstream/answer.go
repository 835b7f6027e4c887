package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is a server's answer; its request id was that of the request. One
// goroutine reads and closes it; another one ends it through the context.
type Answer struct {
	Status    int
	Header    http.Header
	Body      io.Reader
	Length    int64 // of the body; -1 is unknown
	Delimited bool  // false: the body ends with the connection, so nobody can tell whether it is whole
	NotRun    bool  // the server's word that it didn't run the request

	causeway *Client
	k        *connection
	ctx      context.Context
	cancel   func()
	stop     func() bool
	source   io.Reader
	response *http.Response // its trailers come with the end of the body
	id       string         // the request's
	keepable bool
	ended    bool
	endedAt  time.Time
	closed   atomic.Bool
}

func (c *Client) answer(ctx context.Context, k *connection, stop func() bool, r Request, response *http.Response) *Answer {
	a := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		causeway: c, k: k, ctx: ctx, stop: stop, source: response.Body, response: response, id: r.ID, keepable: !response.Close && !r.Probe}
	_, refused := response.Header[http.CanonicalHeaderKey(c.words.NotRun)]
	a.NotRun = refused || a.Status == http.StatusMisdirectedRequest
	chunked := len(response.TransferEncoding) > 0
	if response.Body == http.NoBody {
		a.Length = 0
		a.ended, a.endedAt = true, c.clock.Now()
	}
	a.Delimited = chunked || a.Length >= 0
	a.Body = body{a}
	return a
}

// body is the answer's body.
type body struct{ a *Answer }

// Read reads the body: io.EOF is its whole end (but see Answer.Delimited),
// io.ErrUnexpectedEOF that it was cut short.
func (b body) Read(p []byte) (int, error) {
	a := b.a
	if a.ended {
		return 0, io.EOF
	}
	if err := a.ctx.Err(); err != nil {
		return 0, err
	}
	if a.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := a.source.Read(p)
	switch {
	case err == nil:
	case err == io.EOF && a.strayed():
		a.causeway.Mismatched.Add(1)
		err = io.ErrUnexpectedEOF
	case err == io.EOF:
		a.ended, a.endedAt = true, a.causeway.clock.Now()
	case a.ctx.Err() != nil:
		err = a.ctx.Err()
	case a.k.failed == io.EOF:
		// net/http has an error of its own for an end inside the trailers.
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// strayed tells whether the body's trailer names another request than its head: then
// nobody can tell whose the body is.
func (a *Answer) strayed() bool {
	ids := a.response.Trailer.Values(a.causeway.words.RequestID)
	return len(ids) > 0 && !a.causeway.Faults.UncheckedID && !(len(ids) == 1 && ids[0] == a.id)
}

// Close hands the connection back if the next answer on it is certain to be the
// next request's; otherwise it closes it, and whatever is unread is lost.
func (a *Answer) Close() {
	if a.closed.Swap(true) {
		return
	}
	c, open := a.causeway, a.stop()
	a.cancel()
	if !open || !a.ended || !a.Delimited || !a.keepable {
		c.drop(a.k)
		return
	}
	if a.k.in.Buffered() > 0 {
		c.Dirty.Add(1)
		c.drop(a.k)
		return
	}
	c.keep(a.k, a.endedAt.Add(c.idleSpan(a.Header)))
}

const longestIdle = time.Hour

// idleSpan is how long a connection may be kept, by the server's Keep-Alive or
// else by the settings.
func (c *Client) idleSpan(header http.Header) time.Duration {
	span := c.set.IdleFor
	for _, line := range header.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(parameter, "=")
			number, err := strconv.ParseUint(strings.Trim(value, " \t\""), 10, 31)
			if err != nil {
				continue
			}
			switch strings.ToLower(strings.TrimSpace(name)) {
			case "timeout":
				span = min(time.Duration(number)*time.Second-c.set.Margin, longestIdle)
			case "max":
				if number == 0 {
					return 0
				}
			}
		}
	}
	return span
}
