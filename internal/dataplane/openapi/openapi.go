// Package openapi turns the operations of an OpenAPI file into routes of a configuration
// (docs/DESIGN.md section 8.5).
//
// A POST operation becomes a route if its extension x-tuliprudder, or the file's as the
// default, names a kind of route; the extension's fields are those of a route in a
// configuration document. Import reports what it doesn't carry over. A file with faults
// changes nothing.
package openapi

import (
	"encoding/json"

	"github.com/getkin/kin-openapi/openapi3"

	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// document is JSON of unknown shape: a configuration, or a route of one. What is in it
// is checked by package config, and what isn't known here is carried over as it is.
type document = map[string]any

// Result is what an import makes.
type Result struct {
	// Configuration is the configuration with the routes in it.
	Configuration document
	// RouteNames are the routes that were made, in the order of paths and methods.
	RouteNames []string
	// Skipped says what was not carried over, and why.
	Skipped []string
}

// Import puts the routes of an OpenAPI file into a configuration: a route of the same name
// is replaced, all others stay. Its error is of kind errs.BadInput for the file, or
// errs.InvalidConfiguration for the configuration with the routes in it.
func Import(file, configuration []byte) (Result, error) {
	spec, err := load(file)
	if err != nil {
		return Result{}, err
	}
	routes, err := readRoutes(spec)
	if err != nil {
		return Result{}, err
	}
	merged, err := merge(routes.list, configuration)
	if err != nil {
		return Result{}, err
	}
	out := Result{Configuration: merged, Skipped: routes.skipped}
	for _, route := range routes.list {
		out.RouteNames = append(out.RouteNames, route.name)
	}
	return out, nil
}

// load reads and checks an OpenAPI file. References out of the file are not followed.
func load(file []byte) (*openapi3.T, error) {
	loader := openapi3.NewLoader()
	loader.IsExternalRefsAllowed = false
	spec, err := loader.LoadFromData(file)
	if err == nil {
		err = spec.Validate(loader.Context)
	}
	if err != nil {
		return nil, errs.New(errs.BadInput, "correct the OpenAPI file; the configuration stays as it is", "the OpenAPI file can't be read: %v", err)
	}
	return spec, nil
}

// merge puts routes into a configuration document and checks the outcome: a route takes
// the place of one with its name, the others come at the end.
func merge(routes []route, configuration []byte) (document, error) {
	var out document
	if err := json.Unmarshal(configuration, &out); err != nil {
		return nil, errs.New(errs.InvalidConfiguration, "give the configuration in force", "the configuration can't be read: %v", err)
	}
	imported := map[string]route{}
	for _, r := range routes {
		if _, taken := imported[r.name]; taken {
			return nil, errs.New(errs.BadInput, "give each operation an operationId or a name of its own", "two operations become route %q", r.name)
		}
		imported[r.name] = r
	}
	existing, _ := out["routes"].([]any)
	out["routes"] = mergeRoutes(existing, routes, imported)
	data, err := json.Marshal(out)
	if err != nil {
		return nil, err
	}
	if err := config.Validate(data); err != nil {
		return nil, err
	}
	return out, nil
}

func mergeRoutes(existing []any, routes []route, imported map[string]route) []any {
	var out []any
	replaced := map[string]bool{}
	for _, entry := range existing {
		name := nameOf(entry)
		replacement, ok := imported[name]
		if !ok || replaced[name] {
			out = append(out, entry)
			continue
		}
		replaced[name] = true
		out = append(out, replacement.fields)
	}
	for _, r := range routes {
		if !replaced[r.name] {
			out = append(out, r.fields)
		}
	}
	return out
}
