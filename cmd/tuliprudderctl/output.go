package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table holds rows of cells; the first row is the header.
type table [][]string

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		row = append(row, fmt.Sprint(cell))
	}
	*t = append(*t, row)
}

// printTable prints a table with aligned columns.
func (s *session) printTable(t table) {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	for _, row := range t {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
}

// printJSON prints an indented JSON document and leaves its keys and their order unchanged.
func (s *session) printJSON(data json.RawMessage) error {
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, data, "", "  "); err != nil {
		return invalidResponse("the daemon", err)
	}
	fmt.Fprintln(s.out, strings.TrimSpace(pretty.String()))
	return nil
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }
