package main

import (
	"encoding/csv"
	"io"
	"os"

	"github.com/pkg/errors"
)

// appendRecords appends lines to a table (CSV), with the header where the file is new. An
// empty path is standard output.
func appendRecords(path string, columns []string, records [][]string) error {
	if path == "" {
		return writeRecords(os.Stdout, columns, records)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return errors.WithStack(err)
	}
	if info.Size() > 0 {
		columns = nil
	}
	if err := writeRecords(file, columns, records); err != nil {
		return err
	}
	return errors.WithStack(file.Close())
}

// writeRecords writes lines, after the columns' names where there are any.
func writeRecords(w io.Writer, columns []string, records [][]string) error {
	table := csv.NewWriter(w)
	if columns != nil {
		table.Write(columns) // its error is that of Error
	}
	table.WriteAll(records)
	return errors.WithStack(table.Error())
}
