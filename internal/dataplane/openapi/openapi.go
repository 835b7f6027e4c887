// Package openapi imports the operations of an OpenAPI file as routes of a configuration
// (docs/DESIGN.md section 8.5).
//
// A POST operation becomes a route if its x-tuliprudder extension specifies a kind of route.
// An extension of the whole file supplies defaults. The extension's fields are those of a
// route in a configuration document. Import reports everything that it does not import. An
// invalid file changes nothing.
package openapi

import (
	"encoding/json"

	"github.com/getkin/kin-openapi/openapi3"

	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// document is a decoded JSON object: a configuration, or one of its routes. Package config
// validates it. Fields that are unknown to this package are preserved.
type document = map[string]any

// Result is the result of an import.
type Result struct {
	// Configuration is the configuration, including the imported routes.
	Configuration document
	// RouteNames are the names of the imported routes, ordered by path and method.
	RouteNames []string
	// Skipped lists what was not imported, and why.
	Skipped []string
}

// Import adds the routes of an OpenAPI file to a configuration. Routes of the same name are
// replaced, all others stay. Its error is of kind errs.BadInput for an invalid file, or
// errs.InvalidConfiguration for an invalid configuration, with or without the routes.
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

// load parses and validates an OpenAPI file. References to other files are not followed.
func load(file []byte) (*openapi3.T, error) {
	loader := openapi3.NewLoader()
	loader.IsExternalRefsAllowed = false
	spec, err := loader.LoadFromData(file)
	if err == nil {
		err = spec.Validate(loader.Context)
	}
	if err != nil {
		return nil, errs.New(errs.BadInput, "correct the OpenAPI file; the configuration stays as it is", "the OpenAPI file is invalid: %v", err)
	}
	return spec, nil
}

// merge adds routes to a configuration document and validates the result: a route replaces an
// existing one of the same name in place, the others are appended.
func merge(routes []route, configuration []byte) (document, error) {
	var out document
	if err := json.Unmarshal(configuration, &out); err != nil {
		return nil, errs.New(errs.InvalidConfiguration, "pass the current configuration", "the configuration can't be read: %v", err)
	}
	imported := map[string]route{}
	for _, r := range routes {
		if _, taken := imported[r.name]; taken {
			return nil, errs.New(errs.BadInput, "give each operation a unique operationId or name", "two operations are imported as route %q", r.name)
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
