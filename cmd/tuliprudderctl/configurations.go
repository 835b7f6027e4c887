package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/openapi"
	"tuliprudder/internal/errs"
)

// configurationVersion is a version of the configuration as daemons return it.
type configurationVersion struct {
	Version       uint64          `json:"version"`
	Configuration json.RawMessage `json:"plan"`
	By            string          `json:"by"`
	AtUS          int64           `json:"at_us"`
}

// putConfiguration puts a configuration file in force. If base is set and is not the version in
// force, the call is rejected with errs.StaleBase.
type putConfiguration struct{ file, base string }

func definePutConfiguration(flags *flag.FlagSet) argumentParser {
	base := flags.String("base", "", "`version` that the file was made from; it is rejected where another is in force")
	return func(args []string) (command, error) {
		file, err := singleArgument(args, "file")
		return putConfiguration{file: file, base: *base}, err
	}
}

// Apply validates the file locally before sending it.
func (p putConfiguration) Apply(ctx context.Context, s *session) error {
	data, err := readFile(p.file)
	if err != nil {
		return err
	}
	if err := config.Validate(data); err != nil {
		return err
	}
	return s.putConfiguration(ctx, data, p.base)
}

// putConfiguration puts a validated configuration in force. An empty base disables the check of
// the version in force.
func (s *session) putConfiguration(ctx context.Context, document []byte, base string) error {
	if base != "" {
		if _, err := strconv.ParseUint(base, 10, 64); err != nil {
			return usageError("-base %q is no version", base)
		}
	}
	return s.changeConfiguration(ctx, http.MethodPut, document, base)
}

// changeConfiguration sends a configuration (PUT) or a patch to it (PATCH). An empty base disables
// the check of the version in force.
func (s *session) changeConfiguration(ctx context.Context, method string, body []byte, base string) error {
	path := pathConfiguration
	if base != "" {
		path += "?base=" + base
	}
	response, err := send[struct {
		Version uint64 `json:"version"`
	}](ctx, s.client, method, path, body)
	if err != nil {
		return err
	}
	s.printf("version %d is confirmed on two disks\n", response.Version)
	return nil
}

// patchConfiguration changes named entries of the configuration in force.
type patchConfiguration struct {
	file string
	put  bool
}

func definePatchConfiguration(flags *flag.FlagSet) argumentParser {
	put := flags.Bool("put", false, "put the patched configuration in force; without it only the changes are printed")
	return func(args []string) (command, error) {
		file, err := singleArgument(args, "file")
		return patchConfiguration{file: file, put: *put}, err
	}
}

// Apply prints what the patch changes and, with -put, sends it. The printed version is sent as the
// base, so the cluster rejects the patch if another version has come into force since.
func (p patchConfiguration) Apply(ctx context.Context, s *session) error {
	data, err := readFile(p.file)
	if err != nil {
		return err
	}
	patch, err := config.NativePatchFormat.Parse(data)
	if err != nil {
		return err
	}
	current, err := s.fetchConfiguration(ctx, "")
	if err != nil {
		return err
	}
	patched, err := patch.Apply(current.Configuration)
	if err != nil {
		return err
	}
	if err := config.Validate(patched); err != nil {
		return err
	}
	if err := s.printDifferences(current.Configuration, patched); err != nil {
		return err
	}
	if !p.put {
		s.printf("%s\n", s.wording.nothingPut)
		return nil
	}
	return s.changeConfiguration(ctx, http.MethodPatch, data, fmt.Sprint(current.Version))
}

// printDifferences prints a line for each entry that differs between two documents, followed by
// one for each of its fields that differ.
func (s *session) printDifferences(from, to []byte) error {
	var before, after document
	if err := json.Unmarshal(from, &before); err != nil {
		return invalidResponse(s.client.address, err)
	}
	if err := json.Unmarshal(to, &after); err != nil {
		return invalidResponse(s.client.address, err)
	}
	for _, line := range diffDocuments(before, after) {
		s.printf("%s\n", line)
	}
	return nil
}

// getConfiguration prints the given version, or the one in force if version is empty.
type getConfiguration struct{ version string }

func defineGetConfiguration(*flag.FlagSet) argumentParser {
	return func(args []string) (command, error) {
		if len(args) == 0 {
			return getConfiguration{}, nil
		}
		return getConfiguration{version: args[0]}, nil
	}
}

// Apply prints only the document, without its metadata, so that it can be edited and put again.
func (g getConfiguration) Apply(ctx context.Context, s *session) error {
	version, err := s.fetchConfiguration(ctx, g.version)
	if err != nil {
		return err
	}
	return s.printJSON(version.Configuration)
}

// fetchConfiguration fetches the given version, or the one in force if version is empty.
func (s *session) fetchConfiguration(ctx context.Context, version string) (configurationVersion, error) {
	if version == "" {
		return get[configurationVersion](ctx, s.client, pathConfiguration)
	}
	number, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return configurationVersion{}, usageError("%q is no version", version)
	}
	return get[configurationVersion](ctx, s.client, fmt.Sprintf("%s/%d", pathConfigurations, number))
}

// listConfigurations lists the retained versions.
type listConfigurations struct{}

// Apply prints one row per version.
func (listConfigurations) Apply(ctx context.Context, s *session) error {
	response, err := get[struct {
		Versions []configurationVersion `json:"plans"`
	}](ctx, s.client, pathConfigurations)
	if err != nil {
		return err
	}
	t := table{{"VERSION", "BY", "AT"}}
	for _, v := range response.Versions {
		t.add(v.Version, v.By, formatTime(v.AtUS))
	}
	s.printTable(t)
	return nil
}

// formatTime formats a Unix time in microseconds as UTC with millisecond precision.
func formatTime(microseconds int64) string {
	return time.UnixMicro(microseconds).UTC().Format("2006-01-02T15:04:05.000Z")
}

// diffConfigurations compares two configurations, each a version or a file.
type diffConfigurations struct{ from, to string }

func defineDiffConfigurations(*flag.FlagSet) argumentParser {
	return func(args []string) (command, error) {
		if len(args) != 2 {
			return nil, usageError("name two versions, or a version and a file")
		}
		return diffConfigurations{from: args[0], to: args[1]}, nil
	}
}

// Apply prints a line for each entry that differs, followed by one for each of its fields that
// differ.
func (d diffConfigurations) Apply(ctx context.Context, s *session) error {
	from, err := s.readDocument(ctx, d.from)
	if err != nil {
		return err
	}
	to, err := s.readDocument(ctx, d.to)
	if err != nil {
		return err
	}
	lines := diffDocuments(from, to)
	if len(lines) == 0 {
		s.printf("nothing changes\n")
	}
	for _, line := range lines {
		s.printf("%s\n", line)
	}
	return nil
}

// readDocument reads a configuration from the named file; if it can't be read, name is taken as a
// version and fetched from the daemon.
func (s *session) readDocument(ctx context.Context, name string) (document, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		version, err := s.fetchConfiguration(ctx, name)
		if err != nil {
			return nil, err
		}
		data = version.Configuration
	}
	var parsed document
	if err := json.Unmarshal(data, &parsed); err != nil {
		return nil, errs.New(errs.InvalidConfiguration, "give a configuration file", "%s is no configuration: %v", name, err)
	}
	return parsed, nil
}

// importConfiguration adds the routes of an OpenAPI file to the configuration in force.
type importConfiguration struct {
	file string
	put  bool
}

func defineImportConfiguration(flags *flag.FlagSet) argumentParser {
	put := flags.Bool("put", false, "put the new configuration in force; without it only the changes are printed")
	return func(args []string) (command, error) {
		file, err := singleArgument(args, "file")
		return importConfiguration{file: file, put: *put}, err
	}
}

// Apply prints the parts of the file that are not imported and the resulting changes and, with
// -put, puts the configuration in force.
func (i importConfiguration) Apply(ctx context.Context, s *session) error {
	data, err := readFile(i.file)
	if err != nil {
		return err
	}
	current, err := s.fetchConfiguration(ctx, "")
	if err != nil {
		return err
	}
	imported, err := openapi.Import(data, current.Configuration)
	if err != nil {
		return err
	}
	for _, skipped := range imported.Skipped {
		s.printf("not carried over: %s\n", skipped)
	}
	body, err := json.Marshal(imported.Configuration)
	if err != nil {
		return err
	}
	if err := s.printDifferences(current.Configuration, body); err != nil {
		return err
	}
	if !i.put {
		s.printf("%s\n", s.wording.nothingPut)
		return nil
	}
	return s.putConfiguration(ctx, body, fmt.Sprint(current.Version))
}

// checkConfiguration validates a file without calling a daemon.
type checkConfiguration struct{ file string }

// Apply prints that the file is valid, or returns an error that lists all its faults.
func (c checkConfiguration) Apply(_ context.Context, s *session) error {
	data, err := readFile(c.file)
	if err != nil {
		return err
	}
	if err := config.Validate(data); err != nil {
		return err
	}
	s.printf("%s\n", s.wording.configurationValid)
	return nil
}

// readFile reads a file named on the command line; a failure is a usage error.
func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError("%v", err)
	}
	return data, nil
}
