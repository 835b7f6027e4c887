package admin

import (
	"net/http"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/httpserver"
)

// actsResponse lists the subjects of acts on external systems (package exclusive).
type actsResponse struct {
	Subjects []exclusive.SubjectStatus `json:"subjects"`
}

// listActs writes the holder and the open acts of each subject.
func (a *Admin) listActs(w http.ResponseWriter, _ *http.Request) error {
	response, err := callPrimary[controlplane.ActsResponse](a, controlplane.ActsRequest{}, statusTimeout)
	if err != nil {
		return err
	}
	body := actsResponse{Subjects: response.Subjects}
	if body.Subjects == nil {
		body.Subjects = []exclusive.SubjectStatus{} // gob decodes an empty list as nil, which JSON would write as null
	}
	for i := range body.Subjects {
		if body.Subjects[i].Open == nil {
			body.Subjects[i].Open = []exclusive.ActStatus{}
		}
	}
	return httpserver.WriteJSON(w, http.StatusOK, body)
}
