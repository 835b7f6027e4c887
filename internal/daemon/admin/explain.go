package admin

import (
	"net/http"
	"strconv"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// maxSlowest is the maximum number of slowest requests in one response.
const maxSlowest = 1000

// slowestRequestsResponse lists the slowest requests in the decision log, slowest first.
type slowestRequestsResponse struct {
	Requests []decisionlog.Entry `json:"orders"`
}

// explainRequests writes the decision log entry of the request that the query names, or those of
// the slowest requests.
func (a *Admin) explainRequests(w http.ResponseWriter, r *http.Request) error {
	query := r.URL.Query()
	id, slowest := query.Get("order"), query.Get("slowest")
	switch {
	case a.Decisions == nil || id == "" && slowest == "":
		return errs.New(errs.NotFound, "send this to an edge or a store, with ?order=ID or ?slowest=COUNT", "this daemon assigns no requests, or the query names none")
	case slowest != "":
		return a.listSlowest(w, slowest)
	}
	entry, ok := a.Decisions.Find(id)
	if !ok {
		return errs.New(errs.NotFound, "send this to the daemon that served the request; each daemon keeps only its latest requests", "request %q is not in the decision log of this daemon", id)
	}
	return httpserver.WriteJSON(w, http.StatusOK, entry)
}

func (a *Admin) listSlowest(w http.ResponseWriter, text string) error {
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 || count > maxSlowest {
		return errs.New(errs.BadInput, "give a whole number from 1 to "+strconv.Itoa(maxSlowest), "slowest=%q", text)
	}
	return httpserver.WriteJSON(w, http.StatusOK, slowestRequestsResponse{Requests: a.Decisions.Slowest(count)})
}

// explainBatch writes the status of a batch: the store that owns it and the server that ran each
// item.
func (a *Admin) explainBatch(w http.ResponseWriter, r *http.Request) error {
	if a.Reader == nil {
		return errs.New(errs.NotFound, "send this to an edge", "this daemon reads no batches")
	}
	id := pathvar.Vars(r)["bundle"]
	var shard int
	var owner token.Owner
	var err error
	a.Loop.WithMachine(func(clock.Micros) { shard, owner, err = a.Reader.Locate(id) })
	if err != nil {
		return err
	}
	request := batchstore.BatchStatusRequest{Shard: shard, Batch: id, Operator: true}
	status, err := responseAs[batchstore.BatchStatus](a.Loop.Transport.Call(owner.Peer, request, statusTimeout))
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, status)
}
