package admin

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// memberListResponse lists the members known to this daemon, sorted by id.
type memberListResponse struct {
	Members []memberResponse `json:"daemons"`
}

type memberResponse struct {
	Draining    bool   `json:"draining"`
	HTTP        string `json:"http"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Kind        string `json:"kind"`
	Peer        string `json:"peer"`
	Status      string `json:"standing"`
	Zone        string `json:"zone"`
}

func (a *Admin) listMembers(w http.ResponseWriter, _ *http.Request) error {
	response := memberListResponse{Members: []memberResponse{}}
	for _, member := range a.Loop.Members() {
		response.Members = append(response.Members, memberResponse{
			Draining:    member.Draining,
			HTTP:        member.HTTP,
			ID:          member.ID,
			Incarnation: member.Incarnation,
			Kind:        member.Kind,
			Peer:        member.Peer,
			Status:      member.Status.String(),
			Zone:        member.Zone,
		})
	}
	return httpserver.WriteJSON(w, http.StatusOK, response)
}

// getShardMap writes the map of the shards to the stores that hold them.
func (a *Admin) getShardMap(w http.ResponseWriter, _ *http.Request) error {
	shardMap, err := readUpdate[state.Map](a, state.MapKey, "map of the shards")
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, shardMap)
}

// getCoreUpdate writes the voting cores and the primary.
func (a *Admin) getCoreUpdate(w http.ResponseWriter, _ *http.Request) error {
	update, err := a.coreUpdate()
	if err != nil {
		return err
	}
	return httpserver.WriteJSON(w, http.StatusOK, update)
}

func (a *Admin) coreUpdate() (state.CoreUpdate, error) {
	return readUpdate[state.CoreUpdate](a, state.CoreKey, "update of the primary core")
}

// readUpdate returns the value of the update known under a key. The error is errs.NotReady
// if there is none yet.
func readUpdate[T any](a *Admin, key, description string) (T, error) {
	var value T
	update, ok := a.Loop.Update(key)
	if !ok {
		return value, errs.NewWithRetry(errs.NotReady, clock.Second, "retry if the daemon has just started; otherwise none has been put yet", "no %s has arrived yet", description)
	}
	err := json.Unmarshal(update.Value, &value)
	return value, errors.Wrapf(err, "reading the %s", description)
}
