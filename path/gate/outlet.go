package gate

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/httpserver"
	"tuliprudder/path/requests"
)

func porchVar(r *http.Request, name string) string { return pathvar.Vars(r)[name] }

// outlet is where an order's pieces go: kept for a one-shot answer, or streamed.
type outlet struct {
	w       http.ResponseWriter
	order   string
	streams bool
	started bool
	most    int
	pieces  int
	text    strings.Builder
}

func (o *outlet) piece(text string) error {
	if o.text.Len()+len(text) > o.most {
		return errs.New(errs.TooLarge, "lower max_tokens", "the answer is over %d bytes", o.most)
	}
	o.text.WriteString(text)
	o.pieces++
	if !o.streams {
		return nil
	}
	o.begin()
	return o.event("piece", map[string]any{"text": text})
}

func (o *outlet) begin() {
	if o.started {
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.Header().Set("X-Order", o.order)
	o.w.WriteHeader(http.StatusOK)
}

func (o *outlet) event(name string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.w, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

// end gives the whole answer, or the end mark that only a whole stream has.
func (o *outlet) end(answer requests.Answer) error {
	if !o.streams {
		return httpserver.WriteJSON(o.w, http.StatusOK, answer)
	}
	o.begin()
	return o.event("end", map[string]any{"order": answer.Order, "server": answer.Server, "pieces": o.pieces, "bytes": o.text.Len()})
}

// cut tells a stream's caller that it is not whole; before its first piece it is
// a plain error.
func (o *outlet) cut(why error) error {
	if !o.started {
		return why
	}
	o.event("error", map[string]any{"error": errs.Of(why)})
	return nil
}
