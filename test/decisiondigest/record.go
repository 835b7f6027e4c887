package decisiondigest

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Count is one figure of a run.
type Count struct {
	Name  string
	Value uint64
}

// Record holds the figures and the digest of one run. It is one line of a testdata file.
type Record struct {
	Name        string // name of the run, without spaces
	Counts      []Count
	Digest      string
	Checkpoints []string
}

// NewRecord returns the record of a finished run.
func NewRecord(name string, d *Digest, counts ...Count) Record {
	counts = append(counts, Count{"effects", uint64(d.Effects())})
	return Record{Name: name, Counts: counts, Digest: d.Sum(), Checkpoints: d.Checkpoints()}
}

// Names of the fields of a line that are not counts.
const (
	digestField      = "digest"
	checkpointsField = "checkpoints"
)

// String returns the record as one line.
func (r Record) String() string {
	fields := []string{r.Name}
	for _, count := range r.Counts {
		fields = append(fields, fmt.Sprintf("%s=%d", count.Name, count.Value))
	}
	fields = append(fields, digestField+"="+r.Digest, checkpointsField+"="+strings.Join(r.Checkpoints, ","))
	return strings.Join(fields, " ")
}

func parseRecord(line string) (Record, error) {
	fields := strings.Fields(line)
	record := Record{Name: fields[0]}
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case digestField:
			record.Digest = value
		case checkpointsField:
			if value != "" {
				record.Checkpoints = strings.Split(value, ",")
			}
		default:
			number, err := strconv.ParseUint(value, 10, 64)
			if err != nil {
				return Record{}, fmt.Errorf("parsing %q of record %s: %w", field, record.Name, err)
			}
			record.Counts = append(record.Counts, Count{name, number})
		}
	}
	return record, nil
}

// Differences describes how a run differs from its record: one text for the counts, and one that
// narrows down the first different effect. It is empty if they are equal.
func (r Record) Differences(got Record) []string {
	var out []string
	if !slices.Equal(r.Counts, got.Counts) {
		out = append(out, fmt.Sprintf("counts differ: recorded %v, got %v", r.Counts, got.Counts))
	}
	if r.Digest == got.Digest {
		return out
	}
	equal := 0
	for equal < min(len(r.Checkpoints), len(got.Checkpoints)) && r.Checkpoints[equal] == got.Checkpoints[equal] {
		equal++
	}
	from, to := equal*CheckpointEvery+1, (equal+1)*CheckpointEvery
	return append(out, fmt.Sprintf("digest differs: recorded %s, got %s. The first different effect has a number from %d to %d: "+
		"run this test with -%s=%s:%d:%d here and on the last commit that passes, and compare the hashes",
		r.Digest, got.Digest, from, to, PrintFlag, got.Name, from, to))
}

// fileHead is the comment at the start of a file of records.
const fileHead = `# What the decisions of fixed runs came to (test/decisiondigest), one run a line. Machine-written:
# a commit that changes behaviour on purpose, and does nothing else, writes the file anew with
# -write-digests and says in its message which decision changed. No renaming, move, split or merge of
# code may do that: there a difference is a fault.
`

// ReadRecords reads a file of records and returns them by name.
func ReadRecords(path string) (map[string]Record, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	records := map[string]Record{}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") || strings.TrimSpace(line) == "" {
			continue
		}
		record, err := parseRecord(line)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if _, twice := records[record.Name]; twice {
			return nil, fmt.Errorf("%s: duplicate record of %s", path, record.Name)
		}
		records[record.Name] = record
	}
	return records, nil
}

// WriteRecords replaces a file of records.
func WriteRecords(path string, records []Record) error {
	var text strings.Builder
	text.WriteString(fileHead)
	for _, record := range records {
		text.WriteString(record.String() + "\n")
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
