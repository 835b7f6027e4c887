package verify

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"tuliprudder/test/modelcontent"
)

// ReadStarts reads the servers' logs of starts. A file that is not there is skipped, and so is
// a line that a killed server did not finish.
func ReadStarts(files []string) ([]modelcontent.Start, error) {
	var out []modelcontent.Start
	for _, name := range files {
		data, err := os.ReadFile(name)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "reading a log of starts")
		}
		for _, line := range bytes.Split(data, []byte("\n")) {
			var start modelcontent.Start
			if len(line) > 0 && json.Unmarshal(line, &start) == nil {
				out = append(out, start)
			}
		}
	}
	return out, nil
}
