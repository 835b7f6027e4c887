package openapi

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"

	"tuliprudder/internal/errs"
)

// extensionName is the extension of a file or operation that marks operations to be imported as routes.
const extensionName = "x-tuliprudder"

// routeFields are the fields that an extension may contain.
var routeFields = []string{
	"name", "kind", "labels", "classes", "pools", "model", "adapter", "weights", "prefix", "max_tokens", "expiry_us", "most_items",
}

var invalidNameChars = regexp.MustCompile(`[^A-Za-z0-9._-]+`)

// route is the route of an imported operation, as it appears in a configuration.
type route struct {
	name   string
	fields document
}

// routeReader collects the routes of a file.
type routeReader struct {
	defaults document // the file's extension; nil if there is none
	list     []route
	skipped  []string // what is not imported, and why
	faults   []string
}

// readRoutes returns the routes of a file's operations, ordered by path and method.
func readRoutes(spec *openapi3.T) (*routeReader, error) {
	r := &routeReader{}
	r.defaults = r.readExtension(spec.Extensions, "the file's "+extensionName)
	paths := spec.Paths.Map()
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		operations := paths[path].Operations()
		for _, method := range slices.Sorted(maps.Keys(operations)) {
			r.addOperation(method, path, operations[method])
		}
	}
	if len(r.faults) > 0 {
		return nil, &errs.Error{
			Kind:    errs.BadInput,
			Message: "the OpenAPI file has invalid extensions; the configuration stays as it is",
			Remedy:  "correct each of the listed faults",
			Faults:  r.faults,
		}
	}
	if len(r.list) == 0 {
		return nil, &errs.Error{
			Kind:    errs.BadInput,
			Message: "the OpenAPI file has no operation that becomes a route",
			Remedy:  "give POST operations an " + extensionName + " with a kind",
			Faults:  r.skipped,
		}
	}
	return r, nil
}

// addOperation adds the route of an operation, or records why there is none.
func (r *routeReader) addOperation(method, path string, operation *openapi3.Operation) {
	at := method + " " + path
	if method != http.MethodPost {
		r.skip(at, "only POST operations become routes")
		return
	}
	fields := r.readExtension(operation.Extensions, at)
	if fields == nil && r.defaults["kind"] == nil {
		r.skip(at, "has no "+extensionName+" with a kind")
		return
	}
	if operation.Security != nil && len(*operation.Security) > 0 {
		r.skip(at, "its security is not imported; callers use their tenant's API key")
	}
	if len(operation.Parameters) > 0 {
		r.skip(at, "its parameters are not imported; a request has only an input")
	}
	r.list = append(r.list, r.newRoute(fields, operation.OperationID, path))
}

// newRoute returns the route of an operation, whose fields override the file's. Unless a field
// specifies the name, it is derived from the operation's ID, or else from its path.
func (r *routeReader) newRoute(fields document, operationID, path string) route {
	merged := document{}
	maps.Copy(merged, r.defaults)
	maps.Copy(merged, fields)
	if merged["name"] == nil {
		merged["name"] = routeName(operationID, path)
	}
	return route{name: nameOf(merged), fields: merged}
}

func (r *routeReader) skip(at, reason string) { r.skipped = append(r.skipped, at+": "+reason) }

func (r *routeReader) addFault(at, fault string) { r.faults = append(r.faults, at+": "+fault) }

// readExtension returns the extension of a file or operation; nil if there is none, or if it
// is not an object.
func (r *routeReader) readExtension(extensions map[string]any, at string) document {
	value, present := extensions[extensionName]
	if !present {
		return nil
	}
	fields, ok := value.(document)
	if !ok {
		r.addFault(at, extensionName+" must be an object")
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(routeFields, name) {
			r.addFault(at, extensionName+"."+name+" is not a field of a route")
		}
	}
	return fields
}

// routeName derives a name from an operation's ID, or else from its path.
func routeName(operationID, path string) string {
	name := operationID
	if name == "" {
		name = path
	}
	return strings.Trim(invalidNameChars.ReplaceAllString(name, "-"), "-")
}

// nameOf returns the name of a route document.
func nameOf(value any) string {
	fields, _ := value.(document)
	return fmt.Sprint(fields["name"])
}
