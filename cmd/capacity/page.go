package main

import (
	"os"

	"github.com/pkg/errors"

	"tuliprudder/internal/settings"
	"tuliprudder/test/capacitymodel"
)

// runPageCommand works out the tables of the capacity page from the committed runs.
func runPageCommand(args []string) error {
	r := settings.New("capacity page")
	tables := r.Flags.String("tables", "docs/capacity", "folder of the runs' tables (CSV)")
	path := r.Flags.String("page", "docs/CAPACITY.md", "page whose tables are rewritten")
	r.MustParse(args)
	return rewritePage(*tables, *path)
}

// rewritePage rewrites the page's tables and leaves its text as it is.
func rewritePage(folder, path string) error {
	tables, err := capacitymodel.ReadTables(folder)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	text, err := capacitymodel.RenderPage(string(page), tables)
	if err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(path, []byte(text), 0o644))
}
