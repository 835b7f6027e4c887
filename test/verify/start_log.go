package verify

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"tuliprudder/test/modelcontent"
)

// ReadStarts reads the start logs of model servers. Missing files are skipped, and so are
// incomplete lines, which a killed server may leave behind.
func ReadStarts(files []string) ([]modelcontent.Start, error) {
	var out []modelcontent.Start
	for _, name := range files {
		data, err := os.ReadFile(name)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "reading a start log")
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
