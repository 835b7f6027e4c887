package naming

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

// acceptedFile lists the names that are right as they are, one a line, sorted, each with
// its reason: "DIR.name # reason".
const acceptedFile = "accepted.txt"

// Bounds of the accepted names: in all, and in the control and state packages.
const (
	maxAccepted        = 150
	maxAcceptedControl = 25
)

// controlPackages are the control and state packages; packages below them count as well.
var controlPackages = []string{
	"internal/controlplane",
	"internal/batchstore",
	"internal/replication",
	"internal/gossip",
	"internal/membership",
	"internal/machine",
	"internal/storage",
	"internal/daemon/eventloop",
}

// isControlName tells whether an entry of the file belongs to a control or state package.
func isControlName(entry string) bool {
	return slices.ContainsFunc(controlPackages, func(folder string) bool {
		rest, ok := strings.CutPrefix(entry, folder)
		return ok && (rest == "" || rest[0] == '.' || rest[0] == '/')
	})
}

// parseAccepted reads a file of accepted names: the reason of each, by name. Every fault of
// the file is reported in one error.
func parseAccepted(text string) (map[string]string, error) {
	reasons := map[string]string{}
	var faults []string
	previous := ""
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		name, reason, _ := strings.Cut(line, "#")
		name, reason = strings.TrimSpace(name), strings.TrimSpace(reason)
		if name == "" { // a comment
			continue
		}
		if reason == "" {
			faults = append(faults, fmt.Sprintf("line %d: %s has no reason", i+1, name))
		}
		if name <= previous {
			faults = append(faults, fmt.Sprintf("line %d: %s is not in order, or stands twice", i+1, name))
		}
		reasons[name], previous = reason, name
	}
	if len(faults) > 0 {
		return reasons, fmt.Errorf("%s: %s", acceptedFile, strings.Join(faults, "; "))
	}
	return reasons, nil
}

const acceptedHeader = `# Names that carry a word of the tables in words_test.go and are right as they are.
# "DIR.name # reason", sorted. How to bring it up to date: see the package comment.
`

// writeAccepted writes the file anew for the names found: reasons that stand are kept, and
// a new name gets none, which fails the test until somebody gives one or renames it.
func writeAccepted(found, reasons map[string]string) error {
	var out strings.Builder
	out.WriteString(acceptedHeader)
	for _, name := range slices.Sorted(maps.Keys(found)) {
		out.WriteString(strings.TrimSpace(name+" # "+reasons[name]) + "\n")
	}
	return os.WriteFile(acceptedFile, []byte(out.String()), 0o644)
}
