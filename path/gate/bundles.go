package gate

import (
	"net/http"
	"strconv"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/httpserver"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/path/reader"
	"tuliprudder/path/requests"
)

// BundleBody is a bundle as handed in.
type BundleBody struct {
	Items []shard.Item `json:"items"`
}

// Bundle takes a bundle in: whole and on two disks, or not at all.
func (g *Gate) Bundle(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body BundleBody
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = NewName()
	}
	receipt, err := ask[store.Receipt](g, r, requests.SubmitBundle{Caller: caller(r), Route: porchVar(r, "route"), Key: key, Items: body.Items}, nil)
	if err != nil {
		if errs.Is(err, errs.OutcomeUnknown) {
			w.Header().Set("Idempotency-Key", key)
		}
		return err
	}
	status := http.StatusCreated
	if receipt.Repeated {
		status = http.StatusOK
	}
	return httpserver.WriteJSON(w, status, map[string]any{"bundle": receipt.Bundle, "items": receipt.Items, "idempotency_key": key,
		"repeated": receipt.Repeated, "keeper": receipt.Store, "results": "/v1/bundles/" + receipt.Bundle + "/results"})
}

// Status tells how a bundle stands.
func (g *Gate) Status(w http.ResponseWriter, r *http.Request) error { return g.look(w, r, false) }

// End ends a bundle: durable before it is answered.
func (g *Gate) End(w http.ResponseWriter, r *http.Request) error { return g.look(w, r, true) }

func (g *Gate) look(w http.ResponseWriter, r *http.Request, end bool) error {
	status, err := ask[store.Status](g, r, requests.BundleStatus{Caller: caller(r), Bundle: porchVar(r, "bundle"), End: end}, nil)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"bundle": status.Bundle, "route": status.Route, "state": status.State,
		"items": status.Items, "listed": status.Listed, "enrolled_us": status.Enrolled,
		"kept": map[string]any{"keeper": status.Store, "writer": status.Writer, "slot": status.Slot, "epoch": status.Epoch, "replicas": status.Replicas}})
}

// poll reads the paging parameters.
func (g *Gate) poll(r *http.Request) (token string, most int, wait clock.Micros, err error) {
	query := r.URL.Query()
	number := func(name string, missing, top int64) int64 {
		text := query.Get(name)
		if text == "" {
			return missing
		}
		value, bad := strconv.ParseInt(text, 10, 64)
		if bad != nil || value < 0 || value > top {
			err = errs.New(errs.BadInput, "give a whole number within the bound", "%s=%q is not within 0 to %d", name, text, top)
		}
		return value
	}
	for name := range query {
		if name != "after" && name != "limit" && name != "wait_us" {
			return "", 0, 0, errs.New(errs.BadInput, "use after, limit and wait_us", "no such parameter: %s", name)
		}
	}
	most = int(number("limit", 100, 1000))
	wait = number("wait_us", 0, int64(g.Set.MostWait))
	if most == 0 {
		most = 100
	}
	return query.Get("after"), most, wait, err
}

// Results reads one bundle's list.
func (g *Gate) Results(w http.ResponseWriter, r *http.Request) error {
	return g.read(w, r, porchVar(r, "bundle"))
}

// Feed reads all of the caller's bundles as one list.
func (g *Gate) Feed(w http.ResponseWriter, r *http.Request) error { return g.read(w, r, "") }

// read reads a page; an empty one waits for rows, up to the wait the caller gave.
func (g *Gate) read(w http.ResponseWriter, r *http.Request, bundle string) error {
	token, most, wait, err := g.poll(r)
	if err != nil {
		return err
	}
	read := reader.Read{Name: NewName(), Bundle: bundle, Token: token, Most: most, Wait: wait}
	page, err := ask[reader.Page](g, r, requests.Page{Caller: caller(r), Read: read}, reader.Left{Name: read.Name})
	if err != nil {
		return err
	}
	results := page.Rows
	if results == nil {
		results = []shard.Row{}
	}
	answer := map[string]any{"results": results, "next": page.Next, "more": page.More}
	if page.State != "" {
		answer["state"], answer["items"] = page.State, page.Items
	}
	return httpserver.WriteJSON(w, http.StatusOK, answer)
}
