package admin

import (
	"net/http"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/httpserver"
)

// actsResponse lists the subjects of acts on outside systems.
type actsResponse struct {
	Subjects []exclusive.SubjectStatus `json:"subjects"`
}

// listActs writes who performs acts on which subject, and which acts are open.
func (a *Admin) listActs(w http.ResponseWriter, _ *http.Request) error {
	response, err := callPrimary[controlplane.ActsResponse](a, controlplane.ActsRequest{}, statusTimeout)
	if err != nil {
		return err
	}
	body := actsResponse{Subjects: response.Subjects}
	if body.Subjects == nil {
		body.Subjects = []exclusive.SubjectStatus{} // gob leaves an empty list out
	}
	for i := range body.Subjects {
		if body.Subjects[i].Open == nil {
			body.Subjects[i].Open = []exclusive.ActStatus{}
		}
	}
	return httpserver.WriteJSON(w, http.StatusOK, body)
}
