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

	"tuliprudder/core/config"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/openapi"
)

func (t *tool) planCommand() *ffcli.Command {
	putFlags := flag.NewFlagSet("tuliprudderctl plan put", flag.ContinueOnError)
	base := putFlags.String("base", "", "the version the plan was made from; another in force turns it away")
	put := t.command("put", "plan put [-base VERSION] FILE", "check a plan and put it in force", func(args []string) error { return t.putPlan(args, *base) })
	put.FlagSet = putFlags
	return &ffcli.Command{Name: "plan", ShortUsage: "tuliprudderctl -at ADDRESS plan COMMAND", ShortHelp: "put, get, list, check and compare plans", Subcommands: []*ffcli.Command{
		put,
		t.command("get", "plan get [VERSION]", "print the plan in force, or a version", t.getPlan),
		t.command("list", "plan list", "list the versions", t.listPlans),
		t.importCommand(),
		t.command("diff", "plan diff VERSION VERSION|FILE", "what changes from one to the other", t.diffPlans),
		{Name: "check", ShortUsage: "tuliprudderctl plan check FILE", ShortHelp: "check a plan file without a fleet", Exec: func(_ context.Context, args []string) error {
			data, err := file(args)
			if err != nil {
				return err
			}
			if err := config.Check(data); err != nil {
				return err
			}
			fmt.Fprintln(t.out, "the plan is sound")
			return nil
		}},
	}, Exec: func(context.Context, []string) error { return flag.ErrHelp }}
}

// importCommand turns an OpenAPI file into routes, shows what changes, and puts
// the plan only when told to.
func (t *tool) importCommand() *ffcli.Command {
	flags := flag.NewFlagSet("tuliprudderctl plan import", flag.ContinueOnError)
	put := flags.Bool("put", false, "put the plan; without it nothing changes")
	command := t.command("import", "plan import [-put] FILE", "routes from an OpenAPI file into the plan in force", func(args []string) error {
		data, err := file(args)
		if err != nil {
			return err
		}
		now, err := t.readPlan("")
		if err != nil {
			return err
		}
		got, err := openapi.Import(data, now.Plan)
		if err != nil {
			return err
		}
		for _, left := range got.Left {
			fmt.Fprintln(t.out, "not carried over:", left)
		}
		var before map[string]any
		if err := json.Unmarshal(now.Plan, &before); err != nil {
			return err
		}
		for _, line := range Diff(before, got.Plan) {
			fmt.Fprintln(t.out, line)
		}
		if !*put {
			fmt.Fprintln(t.out, "nothing was put; say -put to put it")
			return nil
		}
		body, err := json.Marshal(got.Plan)
		if err != nil {
			return err
		}
		return t.put(body, fmt.Sprint(now.Version))
	})
	command.FlagSet = flags
	return command
}

func (t *tool) putPlan(args []string, base string) error {
	data, err := file(args)
	if err != nil {
		return err
	}
	if err := config.Check(data); err != nil {
		return err
	}
	return t.put(data, base)
}

func (t *tool) put(data []byte, base string) error {
	path := "/v1/operator/plan"
	if base != "" {
		if _, err := strconv.ParseUint(base, 10, 64); err != nil {
			return wrong("-base %q is no version", base)
		}
		path += "?base=" + base
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := t.ask(t.at, http.MethodPut, path, data, &got); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "version %d is confirmed on two disks\n", got.Version)
	return nil
}

// file reads the one file a command names.
func file(args []string) ([]byte, error) {
	name, err := one(args, "file")
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, wrong("%v", err)
	}
	return data, nil
}

type version struct {
	Version uint64          `json:"version"`
	Plan    json.RawMessage `json:"plan"`
	By      string          `json:"by"`
	At      int64           `json:"at_us"`
}

func (t *tool) readPlan(name string) (version, error) {
	var v version
	path := "/v1/operator/plan"
	if name != "" {
		number, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return v, wrong("%q is no version", name)
		}
		path = fmt.Sprintf("/v1/operator/plans/%d", number)
	}
	return v, t.ask(t.at, http.MethodGet, path, nil, &v)
}

func (t *tool) getPlan(args []string) error {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	v, err := t.readPlan(name)
	if err != nil {
		return err
	}
	return t.print(v.Plan)
}

func (t *tool) listPlans([]string) error {
	var got struct {
		Plans []version `json:"plans"`
	}
	if err := t.ask(t.at, http.MethodGet, "/v1/operator/plans", nil, &got); err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "BY", "AT US"}}
	for _, v := range got.Plans {
		rows = append(rows, []string{fmt.Sprint(v.Version), v.By, fmt.Sprint(v.At)})
	}
	t.table(rows)
	return nil
}

func (t *tool) diffPlans(args []string) error {
	if len(args) != 2 {
		return wrong("name two versions, or a version and a file")
	}
	var trees [2]map[string]any
	for i, name := range args {
		var body []byte
		if data, err := os.ReadFile(name); err == nil {
			body = data
		} else {
			v, err := t.readPlan(name)
			if err != nil {
				return err
			}
			body = v.Plan
		}
		if err := json.Unmarshal(body, &trees[i]); err != nil {
			return errs.New(errs.BadPlan, "give a plan file", "%s is no plan: %v", name, err)
		}
	}
	lines := Diff(trees[0], trees[1])
	if len(lines) == 0 {
		fmt.Fprintln(t.out, "nothing changes")
	}
	for _, line := range lines {
		fmt.Fprintln(t.out, line)
	}
	return nil
}

// Diff lists what changes from one plan to another, entry by entry, by name.
func Diff(from, to map[string]any) []string {
	var out []string
	for _, part := range []string{"classes", "customers", "pools", "routes"} {
		before, after := named(from[part]), named(to[part])
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
			old, had := before[name]
			fresh, has := after[name]
			switch {
			case !had:
				out = append(out, fmt.Sprintf("+ %s %s", part, name))
			case !has:
				out = append(out, fmt.Sprintf("- %s %s", part, name))
			case !reflect.DeepEqual(old, fresh):
				out = append(out, fmt.Sprintf("~ %s %s", part, name))
				out = append(out, fields(old, fresh)...)
			}
		}
	}
	if !reflect.DeepEqual(from["judges"], to["judges"]) {
		out = append(out, "~ judges")
	}
	return out
}

func fields(old, fresh map[string]any) []string {
	var out []string
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range fresh {
		names[name] = true
	}
	for name := range names {
		if !reflect.DeepEqual(old[name], fresh[name]) {
			before, _ := json.Marshal(old[name])
			after, _ := json.Marshal(fresh[name])
			out = append(out, fmt.Sprintf("    %s: %s -> %s", name, before, after))
		}
	}
	sort.Strings(out)
	return out
}

func named(list any) map[string]map[string]any {
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
