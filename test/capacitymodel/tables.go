package capacitymodel

import (
	"encoding/csv"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Groups are the groups of runs: one varies daemons, one servers, and so on. Their names are
// those of committed files (docs/capacity).
var Groups = []string{"daemons", "servers", "changes", "presses", "items", "busy", "full"}

// Tables are the records of all groups: of runs, and of what was sent by kind.
type Tables struct {
	Runs  map[string][]RunRecord
	Kinds map[string][]map[string]string
}

// ReadTables reads the tables of a folder; a group that was not run is empty.
func ReadTables(folder string) (*Tables, error) {
	t := &Tables{Runs: map[string][]RunRecord{}, Kinds: map[string][]map[string]string{}}
	for _, group := range Groups {
		runs, err := readRuns(filepath.Join(folder, group+".csv"))
		if os.IsNotExist(errors.Cause(err)) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, group)
		}
		kinds, err := readKinds(filepath.Join(folder, group+"-kinds.csv"))
		if err != nil {
			return nil, errors.Wrap(err, group)
		}
		t.Runs[group] = runs
		t.Kinds[group] = kinds
	}
	return t, nil
}

func readRuns(path string) ([]RunRecord, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer file.Close()
	return ReadRecords(file)
}

// readKinds reads the records of a second table, fields by column.
func readKinds(path string) ([]map[string]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer file.Close()
	lines, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "reading the table of kinds")
	}
	var out []map[string]string
	for _, fields := range lines[1:] {
		record := map[string]string{}
		for i, name := range lines[0] {
			record[name] = fields[i]
		}
		out = append(out, record)
	}
	return out, nil
}
