// Package openapi turns an OpenAPI file into routes for a configuration (DESIGN §8.5).
// An operation becomes a route by its x-tuliprudder extension; what can't be
// carried over is reported, and a broken file changes nothing.
package openapi

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"

	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// Result is what an import makes.
type Result struct {
	Routes        []map[string]any // as a configuration has them
	Skipped       []string         // what was not carried over, and why
	RouteNames    []string
	Configuration map[string]any // the configuration with the routes in it
	Changed       []string
}

const extensionName = "x-tuliprudder"

var knownFields = map[string]bool{"kind": true, "labels": true, "classes": true, "pools": true, "model": true, "adapter": true,
	"weights": true, "prefix": true, "max_tokens": true, "expiry_us": true, "most_items": true, "name": true}

var invalidNameChars = regexp.MustCompile(`[^A-Za-z0-9._-]+`)

// Import reads the file and puts its routes into a configuration: a route of the same name
// is replaced, all others stay. The whole is checked as any configuration is.
func Import(file []byte, configuration []byte) (Result, error) {
	loader := openapi3.NewLoader()
	loader.IsExternalRefsAllowed = false
	doc, err := loader.LoadFromData(file)
	if err == nil {
		err = doc.Validate(loader.Context)
	}
	if err != nil {
		return Result{}, errs.New(errs.BadInput, "correct the OpenAPI file; the plan stays as it is", "the OpenAPI file can't be read: %v", err)
	}
	var out Result
	defaults, faults := readExtension(doc.Extensions, "the file's "+extensionName)
	paths := doc.Paths.Map()
	for _, path := range sortedNames(paths) {
		operations := paths[path].Operations()
		for _, method := range sortedNames(operations) {
			faults = append(faults, out.addOperation(method, path, operations[method], defaults)...)
		}
	}
	if len(faults) > 0 {
		return Result{}, &errs.Error{Kind: errs.BadInput, Message: "the OpenAPI file has faults; the plan stays as it is", Remedy: "correct each named place", Faults: faults}
	}
	if len(out.Routes) == 0 {
		return Result{}, &errs.Error{Kind: errs.BadInput, Message: "no operation of the file becomes a route", Remedy: "give POST operations an " + extensionName + " with a kind", Faults: out.Skipped}
	}
	if err := out.mergeInto(configuration); err != nil {
		return Result{}, err
	}
	return out, nil
}

// addOperation makes an operation a route, or notes why it is none; it returns the faults of
// the operation's extension.
func (r *Result) addOperation(method, path string, operation *openapi3.Operation, defaults map[string]any) []string {
	at := method + " " + path
	if method != "POST" {
		r.Skipped = append(r.Skipped, at+": only POST operations become routes")
		return nil
	}
	overrides, faults := readExtension(operation.Extensions, at)
	if overrides == nil && defaults["kind"] == nil {
		r.Skipped = append(r.Skipped, at+": has no "+extensionName+" with a kind")
		return faults
	}
	route := maps.Clone(defaults)
	if route == nil {
		route = map[string]any{}
	}
	maps.Copy(route, overrides)
	if route["name"] == nil {
		route["name"] = routeName(operation.OperationID, path)
	}
	if operation.Security != nil && len(*operation.Security) > 0 {
		r.Skipped = append(r.Skipped, at+": its security is not carried over; callers use their customer key")
	}
	if len(operation.Parameters) > 0 {
		r.Skipped = append(r.Skipped, at+": its parameters are not carried over; an order has an input")
	}
	r.Routes, r.RouteNames = append(r.Routes, route), append(r.RouteNames, fmt.Sprint(route["name"]))
	return faults
}

func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// readExtension reads an extension; nil when there is none.
func readExtension(extensions map[string]any, at string) (map[string]any, []string) {
	value, present := extensions[extensionName]
	if !present {
		return nil, nil
	}
	fields, ok := value.(map[string]any)
	if !ok {
		return nil, []string{at + ": " + extensionName + " must be an object"}
	}
	var faults []string
	for name := range fields {
		if !knownFields[name] {
			faults = append(faults, at+": "+extensionName+"."+name+" is no field of a route")
		}
	}
	sort.Strings(faults)
	return fields, faults
}

func routeName(id, path string) string {
	if id == "" {
		id = path
	}
	return strings.Trim(invalidNameChars.ReplaceAllString(id, "-"), "-")
}

// mergeInto puts the routes into the configuration and checks the whole.
func (r *Result) mergeInto(configuration []byte) error {
	if err := json.Unmarshal(configuration, &r.Configuration); err != nil {
		return errs.New(errs.InvalidConfiguration, "give the plan in force", "the plan can't be read: %v", err)
	}
	imported := map[string]map[string]any{}
	for i, route := range r.Routes {
		if imported[r.RouteNames[i]] != nil {
			return errs.New(errs.BadInput, "give each operation an operationId or a name of its own", "two operations become route %q", r.RouteNames[i])
		}
		imported[r.RouteNames[i]] = route
	}
	var routes []any
	old, _ := r.Configuration["routes"].([]any)
	for _, one := range old {
		fields, _ := one.(map[string]any)
		name := fmt.Sprint(fields["name"])
		if replacement, ok := imported[name]; ok {
			routes = append(routes, replacement)
			delete(imported, name)
			continue
		}
		routes = append(routes, one)
	}
	for i, route := range r.Routes {
		if _, left := imported[r.RouteNames[i]]; left {
			routes = append(routes, route)
		}
	}
	r.Configuration["routes"] = routes
	data, err := json.Marshal(r.Configuration)
	if err != nil {
		return err
	}
	return config.Validate(data)
}
