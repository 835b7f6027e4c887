// Package autoscale decides, at the primary core, the number of servers of each zone of a pool
// (docs/notes/autoscale.md). Planner receives the server list and the load that edges and stores report,
// and proposes an act (package exclusive) for each zone whose target changes.
//
// Decided targets are kept in the replicated table of acts. All other state is lost when the primary
// changes: its successor starts from the table and the reports that it receives.
//
// Nothing here reads a clock or opens a socket, and nothing is safe for concurrent use.
package autoscale

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"tuliprudder/internal/exclusive"
)

// subjectPrefix is the prefix of the subjects of acts that set a number of servers. Subjects are stored;
// their spelling never changes.
const subjectPrefix = "scale/"

// Target is the number of servers that a zone of a service should have. Its JSON is the content of an act,
// which is stored; the keys never change.
type Target struct {
	Service string `json:"service"` // the pool's name
	Zone    string `json:"zone"`
	Desired int64  `json:"desired"`
}

// Subject returns the subject of the acts on a zone of a service.
func Subject(service, zone string) exclusive.Subject {
	return exclusive.Subject(subjectPrefix + service + "/" + zone)
}

// IsSubject reports whether acts on a subject set numbers of servers.
func IsSubject(subject exclusive.Subject) bool {
	return strings.HasPrefix(string(subject), subjectPrefix)
}

// zoneOfSubject returns the zone of a subject of the service; false for all other subjects.
func zoneOfSubject(subject exclusive.Subject, service string) (string, bool) {
	return strings.CutPrefix(string(subject), subjectPrefix+service+"/")
}

// Encode returns the JSON form of the target; equal targets have equal bytes.
func (t Target) Encode() []byte {
	data, _ := json.Marshal(t)
	return data
}

// DecodeTarget decodes the content of an act.
func DecodeTarget(data []byte) (Target, error) {
	var target Target
	err := json.Unmarshal(data, &target)
	return target, errors.Wrap(err, "decoding a target number of servers")
}
