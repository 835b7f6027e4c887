package admin

import (
	"net/http"
	"slices"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/membership"
)

// statusTimeout is how long another daemon may take to return its status.
const statusTimeout = 2 * clock.Second

// retireRequest is the optional body of a request to retire a store.
type retireRequest struct {
	Cancel bool `json:"back"`
}

// retireResponse reports whether a store is retired, and how many shards it still holds.
type retireResponse struct {
	Retired    bool   `json:"retired"`
	ShardsLeft int    `json:"slots_left"`
	Store      string `json:"store"`
}

// getStore writes the status that a store reports of itself.
func (a *Admin) getStore(w http.ResponseWriter, r *http.Request) error {
	id := pathvar.Vars(r)["id"]
	members := a.Loop.Members()
	at := slices.IndexFunc(members, func(member membership.Member) bool { return member.ID == id })
	if at < 0 {
		return errs.New(errs.NotFound, "list the daemons to see their ids", "no daemon %q is known here", id)
	}
	status, err := a.storeStatus(members[at])
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, status)
}

func (a *Admin) storeStatus(store membership.Member) (batchstore.StatusResponse, error) {
	if store.ID == a.Loop.Identity.ID {
		return responseAs[batchstore.StatusResponse](a.Loop.CallLocal(batchstore.StatusRequest{}))
	}
	return responseAs[batchstore.StatusResponse](a.Loop.Transport.Call(store.Peer, batchstore.StatusRequest{}, statusTimeout))
}

// retireStore asks the primary core to move a store's shards to other stores and retire it, or
// cancels that. A repeated request returns the current progress.
func (a *Admin) retireStore(w http.ResponseWriter, r *http.Request) error {
	var body retireRequest
	if err := readOptionalBody(r, &body); err != nil {
		return err
	}
	request := controlplane.RetireRequest{ID: pathvar.Vars(r)["id"], Cancel: body.Cancel, Timeout: changeTimeout}
	response, err := callPrimary[controlplane.RetireResponse](a, request, changeTimeout+networkMargin)
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, retireResponse{Retired: response.Done, ShardsLeft: response.ShardsLeft, Store: response.ID})
}

// readOptionalBody decodes a JSON body strictly. If there is no body, into is unchanged.
func readOptionalBody(r *http.Request, into any) error {
	data, err := httpserver.ReadBody(r)
	if err != nil || len(data) == 0 {
		return err
	}
	return httpserver.Decode(data, into)
}
