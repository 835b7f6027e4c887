package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"sort"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/openapi"
	"tuliprudder/internal/errs"
)

func (t *cli) configurationCommand() *ffcli.Command {
	putFlags := flag.NewFlagSet("tuliprudderctl plan put", flag.ContinueOnError)
	base := putFlags.String("base", "", "the version the plan was made from; another in force turns it away")
	put := t.newCommand("put", "plan put [-base VERSION] FILE", "check a plan and put it in force", func(args []string) error { return t.putConfigurationFile(args, *base) })
	put.FlagSet = putFlags
	return &ffcli.Command{Name: "plan", ShortUsage: "tuliprudderctl -at ADDRESS plan COMMAND", ShortHelp: "put, get, list, check and compare plans", Subcommands: []*ffcli.Command{
		put,
		t.newCommand("get", "plan get [VERSION]", "print the plan in force, or a version", t.printConfiguration),
		t.newCommand("list", "plan list", "list the versions", t.printConfigurations),
		t.importCommand(),
		t.newCommand("diff", "plan diff VERSION VERSION|FILE", "what changes from one to the other", t.printDiff),
		{Name: "check", ShortUsage: "tuliprudderctl plan check FILE", ShortHelp: "check a plan file without a fleet", Exec: func(_ context.Context, args []string) error {
			data, err := readFileArgument(args)
			if err != nil {
				return err
			}
			if err := config.Validate(data); err != nil {
				return err
			}
			fmt.Fprintln(t.out, "the plan is sound")
			return nil
		}},
	}, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
}

// importCommand turns an OpenAPI file into routes, shows what changes, and puts
// the configuration only when told to.
func (t *cli) importCommand() *ffcli.Command {
	flags := flag.NewFlagSet("tuliprudderctl plan import", flag.ContinueOnError)
	put := flags.Bool("put", false, "put the plan; without it nothing changes")
	command := t.newCommand("import", "plan import [-put] FILE", "routes from an OpenAPI file into the plan in force", func(args []string) error {
		data, err := readFileArgument(args)
		if err != nil {
			return err
		}
		current, err := t.fetchConfiguration("")
		if err != nil {
			return err
		}
		got, err := openapi.Import(data, current.Configuration)
		if err != nil {
			return err
		}
		for _, dropped := range got.Skipped {
			fmt.Fprintln(t.out, "not carried over:", dropped)
		}
		var before map[string]any
		if err := json.Unmarshal(current.Configuration, &before); err != nil {
			return err
		}
		for _, line := range diffConfigurations(before, got.Configuration) {
			fmt.Fprintln(t.out, line)
		}
		if !*put {
			fmt.Fprintln(t.out, "nothing was put; say -put to put it")
			return nil
		}
		body, err := json.Marshal(got.Configuration)
		if err != nil {
			return err
		}
		return t.putConfiguration(body, fmt.Sprint(current.Version))
	})
	command.FlagSet = flags
	return command
}

func (t *cli) putConfigurationFile(args []string, base string) error {
	data, err := readFileArgument(args)
	if err != nil {
		return err
	}
	if err := config.Validate(data); err != nil {
		return err
	}
	return t.putConfiguration(data, base)
}

func (t *cli) putConfiguration(data []byte, base string) error {
	path := "/v1/operator/plan"
	if base != "" {
		if _, err := strconv.ParseUint(base, 10, 64); err != nil {
			return usageError("-base %q is no version", base)
		}
		path += "?base=" + base
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := t.call(t.address, http.MethodPut, path, data, &got); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "version %d is confirmed on two disks\n", got.Version)
	return nil
}

// readFileArgument reads the one file a command names.
func readFileArgument(args []string) ([]byte, error) {
	name, err := singleArgument(args, "file")
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError("%v", err)
	}
	return data, nil
}

type configurationVersion struct {
	Version       uint64          `json:"version"`
	Configuration json.RawMessage `json:"plan"`
	By            string          `json:"by"`
	AtUS          int64           `json:"at_us"`
}

func (t *cli) fetchConfiguration(name string) (configurationVersion, error) {
	var v configurationVersion
	path := "/v1/operator/plan"
	if name != "" {
		number, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return v, usageError("%q is no version", name)
		}
		path = fmt.Sprintf("/v1/operator/plans/%d", number)
	}
	return v, t.call(t.address, http.MethodGet, path, nil, &v)
}

func (t *cli) printConfiguration(args []string) error {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	v, err := t.fetchConfiguration(name)
	if err != nil {
		return err
	}
	return t.printJSON(v.Configuration)
}

func (t *cli) printConfigurations([]string) error {
	var got struct {
		Configurations []configurationVersion `json:"plans"`
	}
	if err := t.call(t.address, http.MethodGet, "/v1/operator/plans", nil, &got); err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "BY", "AT US"}}
	for _, v := range got.Configurations {
		rows = append(rows, []string{fmt.Sprint(v.Version), v.By, fmt.Sprint(v.AtUS)})
	}
	t.printTable(rows)
	return nil
}

func (t *cli) printDiff(args []string) error {
	if len(args) != 2 {
		return usageError("name two versions, or a version and a file")
	}
	var documents [2]map[string]any
	for i, name := range args {
		var body []byte
		if data, err := os.ReadFile(name); err == nil {
			body = data
		} else {
			v, err := t.fetchConfiguration(name)
			if err != nil {
				return err
			}
			body = v.Configuration
		}
		if err := json.Unmarshal(body, &documents[i]); err != nil {
			return errs.New(errs.InvalidConfiguration, "give a plan file", "%s is no plan: %v", name, err)
		}
	}
	lines := diffConfigurations(documents[0], documents[1])
	if len(lines) == 0 {
		fmt.Fprintln(t.out, "nothing changes")
	}
	for _, line := range lines {
		fmt.Fprintln(t.out, line)
	}
	return nil
}

// diffConfigurations lists what changes from one configuration to another, entry by entry, by name.
func diffConfigurations(from, to map[string]any) []string {
	var out []string
	for _, section := range []string{"classes", "customers", "pools", "routes"} {
		before, after := entriesByName(from[section]), entriesByName(to[section])
		names := map[string]bool{}
		for name := range before {
			names[name] = true
		}
		for name := range after {
			names[name] = true
		}
		sorted := make([]string, 0, len(names))
		for name := range names {
			sorted = append(sorted, name)
		}
		sort.Strings(sorted)
		for _, name := range sorted {
			old, existed := before[name]
			updated, exists := after[name]
			switch {
			case !existed:
				out = append(out, fmt.Sprintf("+ %s %s", section, name))
			case !exists:
				out = append(out, fmt.Sprintf("- %s %s", section, name))
			case !reflect.DeepEqual(old, updated):
				out = append(out, fmt.Sprintf("~ %s %s", section, name))
				out = append(out, diffFields(old, updated)...)
			}
		}
	}
	if !reflect.DeepEqual(from["judges"], to["judges"]) {
		out = append(out, "~ judges")
	}
	return out
}

func diffFields(old, updated map[string]any) []string {
	var out []string
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range updated {
		names[name] = true
	}
	for name := range names {
		if !reflect.DeepEqual(old[name], updated[name]) {
			before, _ := json.Marshal(old[name])
			after, _ := json.Marshal(updated[name])
			out = append(out, fmt.Sprintf("    %s: %s -> %s", name, before, after))
		}
	}
	sort.Strings(out)
	return out
}

func entriesByName(list any) map[string]map[string]any {
	out := map[string]map[string]any{}
	entries, _ := list.([]any)
	for _, entry := range entries {
		if fields, ok := entry.(map[string]any); ok {
			name, _ := fields["name"].(string)
			out[name] = fields
		}
	}
	return out
}
