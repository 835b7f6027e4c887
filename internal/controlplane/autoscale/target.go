// Package autoscale decides how many servers each zone of a pool is to have, at the primary core
// (docs/notes/autoscale.md). Planner is given the servers that there are and the load that edges and
// stores report, and proposes an act for each zone whose number is to change (package exclusive).
//
// What has been decided is in the table of acts, which is replicated; the rest is forgotten with the
// primary: the next one goes by the table and by the reports that it gets.
//
// Nothing here reads a clock or opens a socket, and nothing is safe for concurrent use.
package autoscale

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"tuliprudder/internal/exclusive"
)

// subjectPrefix begins the subjects of acts that set a number of servers. Subjects are stored; their
// spelling never changes.
const subjectPrefix = "scale/"

// Target is how many servers a zone of a service is to have. Its JSON is the content of an act, which is
// stored; the keys never change.
type Target struct {
	Service string `json:"service"` // the pool's name
	Zone    string `json:"zone"`
	Desired int64  `json:"desired"`
}

// Subject is the subject of the acts on a zone of a service.
func Subject(service, zone string) exclusive.Subject {
	return exclusive.Subject(subjectPrefix + service + "/" + zone)
}

// IsSubject tells whether acts on a subject set numbers of servers.
func IsSubject(subject exclusive.Subject) bool {
	return strings.HasPrefix(string(subject), subjectPrefix)
}

// zoneOfSubject is the zone that a subject of a service is about; false for other subjects.
func zoneOfSubject(subject exclusive.Subject, service string) (string, bool) {
	return strings.CutPrefix(string(subject), subjectPrefix+service+"/")
}

// Encode is the target as bytes: of the same target the same bytes.
func (t Target) Encode() []byte {
	data, _ := json.Marshal(t)
	return data
}

// DecodeTarget reads the content of an act.
func DecodeTarget(data []byte) (Target, error) {
	var target Target
	err := json.Unmarshal(data, &target)
	return target, errors.Wrap(err, "decoding a target of servers")
}
