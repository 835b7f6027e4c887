package config

import (
	"fmt"
	"sort"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
)

// This file reads documents and reports every fault with its path (DESIGN §8.1).

type reader struct{ faults []string }

func (r *reader) fault(path, format string, args ...any) {
	if len(r.faults) < 200 {
		r.faults = append(r.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &errs.Error{Kind: errs.BadPlan, Message: fmt.Sprintf("the plan has %d faults; the plan in force stays", len(r.faults)),
		Remedy: "correct each named place and put the plan again", Faults: r.faults}
}

// object checks that a value is an object and that it has only known fields.
func (r *reader) object(path string, value any, known ...string) map[string]any {
	fields, ok := value.(map[string]any)
	if !ok {
		r.fault(path, "must be an object")
		return nil
	}
	for _, name := range sortedFields(fields) {
		found := false
		for _, one := range known {
			found = found || one == name
		}
		if !found {
			r.fault(path+"."+name, "unknown field; leave it out (known here: %v)", known)
		}
	}
	return fields
}

func sortedFields[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (r *reader) list(path string, value any, most int) []any {
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		r.fault(path, "must be a list")
	}
	if len(list) > most {
		r.fault(path, "has %d entries; keep to at most %d", len(list), most)
	}
	return list
}

func (r *reader) text(path string, value any, needed bool, most int) string {
	if value == nil {
		if needed {
			r.fault(path, "is missing; give a text")
		}
		return ""
	}
	text, ok := value.(string)
	switch {
	case !ok:
		r.fault(path, "must be a text")
	case needed && text == "":
		r.fault(path, "is empty; give a text")
	case len(text) > most:
		r.fault(path, "is longer than %d bytes; shorten it", most)
	}
	return text
}

func (r *reader) name(path string, value any) string {
	text := r.text(path, value, true, 64)
	for _, c := range text {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			r.fault(path, "%q has a letter that names may not have; use letters, digits, - _ .", text)
			break
		}
	}
	return text
}

func (r *reader) number(path string, value any, least, most, missing int64) int64 {
	if value == nil {
		return missing
	}
	number, ok := value.(float64)
	if !ok || number != float64(int64(number)) {
		r.fault(path, "must be a whole number from %d to %d", least, most)
		return missing
	}
	if int64(number) < least || int64(number) > most {
		r.fault(path, "is %d; give a whole number from %d to %d", int64(number), least, most)
	}
	return int64(number)
}

func (r *reader) labels(path string, value any) Labels {
	if value == nil {
		return Labels{}
	}
	fields, ok := value.(map[string]any)
	if !ok {
		r.fault(path, "must be an object of texts")
		return nil
	}
	out := Labels{}
	for _, name := range sortedFields(fields) {
		out[name] = r.text(path+"."+name, fields[name], true, 128)
	}
	return out
}

func (r *reader) selector(path string, value any) Selector {
	if value == nil {
		r.fault(path, "is missing; give labels to match, or {} for all")
		return nil
	}
	fields, ok := value.(map[string]any)
	if !ok {
		r.fault(path, "must be an object: label names with a text or a list of texts")
		return nil
	}
	out := Selector{}
	for _, name := range sortedFields(fields) {
		switch values := fields[name].(type) {
		case string:
			out[name] = []string{values}
		case []any:
			if len(values) == 0 {
				r.fault(path+"."+name, "is empty and matches nothing; give at least one value")
			}
			for i, one := range values {
				out[name] = append(out[name], r.text(fmt.Sprintf("%s.%s[%d]", path, name, i), one, true, 128))
			}
		default:
			r.fault(path+"."+name, "must be a text or a list of texts")
		}
	}
	return out
}

func (r *reader) unique(path, what, name string, seen map[string]bool) {
	if name == "" {
		return
	}
	if seen[name] {
		r.fault(path, "%s %q is there twice; give each its own", what, name)
	}
	seen[name] = true
}

//revive:disable-next-line:cyclomatic,function-length still to be split (issue 18)
func (r *reader) plan(tree any) *Plan {
	plan := &Plan{Judges: DefaultJudges()}
	fields := r.object("$", tree, "classes", "customers", "pools", "routes", "judges", "bounds")
	if fields == nil {
		return plan
	}
	classes, names := map[string]bool{}, map[string]bool{}
	for i, value := range r.list("$.classes", fields["classes"], 64) {
		path := fmt.Sprintf("$.classes[%d]", i)
		if f := r.object(path, value, "name", "rank", "allowance", "labels"); f != nil {
			class := Class{Name: r.name(path+".name", f["name"]), Labels: r.labels(path+".labels", f["labels"]),
				Rank: r.number(path+".rank", f["rank"], 1, 1000, 0), Allowance: r.number(path+".allowance", f["allowance"], 1, 1_000_000, 0)}
			if f["rank"] == nil {
				r.fault(path+".rank", "is missing; give a whole number from 1 to 1000, higher goes first")
			}
			if f["allowance"] == nil {
				r.fault(path+".allowance", "is missing; give how much work of one customer may wait")
			}
			r.unique(path+".name", "class", class.Name, classes)
			plan.Classes = append(plan.Classes, class)
		}
	}
	keys := map[string]bool{}
	for i, value := range r.list("$.customers", fields["customers"], 10_000) {
		path := fmt.Sprintf("$.customers[%d]", i)
		if f := r.object(path, value, "name", "key", "class"); f != nil {
			customer := Customer{Name: r.name(path+".name", f["name"]), Key: r.text(path+".key", f["key"], true, 256), Class: r.text(path+".class", f["class"], true, 64)}
			r.unique(path+".name", "customer", customer.Name, names)
			r.unique(path+".key", "the key of", customer.Key, keys)
			if customer.Class != "" && !classes[customer.Class] {
				r.fault(path+".class", "no class %q in this plan; add it, or name one of them", customer.Class)
			}
			plan.Customers = append(plan.Customers, customer)
		}
	}
	pools := map[string]bool{}
	for i, value := range r.list("$.pools", fields["pools"], 256) {
		path := fmt.Sprintf("$.pools[%d]", i)
		if f := r.object(path, value, "name", "labels", "servers"); f != nil {
			pool := Pool{Name: r.name(path+".name", f["name"]), Labels: r.labels(path+".labels", f["labels"]), Servers: r.selector(path+".servers", f["servers"])}
			r.unique(path+".name", "pool", pool.Name, pools)
			plan.Pools = append(plan.Pools, pool)
		}
	}
	routes, places := map[string]bool{}, map[[2]string]string{}
	for i, value := range r.list("$.routes", fields["routes"], 20_000) {
		path := fmt.Sprintf("$.routes[%d]", i)
		if f := r.object(path, value, "name", "kind", "labels", "classes", "pools", "model", "adapter", "weights", "prefix", "max_tokens", "expiry_us", "most_items", "forward"); f != nil {
			route := r.route(path, f, plan)
			r.unique(path+".name", "route", route.Name, routes)
			if forward := route.Forward; forward != nil && forward.Host != "" && forward.PathPrefix != "" {
				place := [2]string{forward.Host, forward.PathPrefix}
				if other, taken := places[place]; taken {
					r.fault(path+".forward", "route %q has this host and path prefix too; give each route its own", other)
				}
				places[place] = route.Name
			}
			plan.Routes = append(plan.Routes, route)
		}
	}
	if len(plan.Classes) == 0 {
		r.fault("$.classes", "is empty; give at least one class")
	}
	if fields["judges"] != nil {
		known := r.object("$.judges", fields["judges"], JudgeNames...)
		for _, name := range sortedFields(known) {
			weight, ok := known[name].(float64)
			if !ok || weight < 0 || weight > 1000 {
				r.fault("$.judges."+name, "must be a number from 0 to 1000")
				continue
			}
			plan.Judges[name] = weight
		}
	}
	if fields["bounds"] != nil {
		if f := r.object("$.bounds", fields["bounds"], "header_bytes", "body_bytes", "header_wait_us", "idle_wait_us"); f != nil {
			plan.Bounds = Bounds{HeaderBytes: r.number("$.bounds.header_bytes", f["header_bytes"], 1024, 1<<20, 0),
				BodyBytes:  r.number("$.bounds.body_bytes", f["body_bytes"], 1024, 256<<20, 0),
				HeaderWait: r.number("$.bounds.header_wait_us", f["header_wait_us"], 10_000, hour, 0),
				IdleWait:   r.number("$.bounds.idle_wait_us", f["idle_wait_us"], 10_000, hour, 0)}
		}
	}
	return plan
}

const hour = 3600 * clock.Second

var routeKinds = map[string]bool{OneShot: true, Repeatable: true, Stream: true, Resumable: true, Bundle: true}

func (r *reader) route(path string, f map[string]any, plan *Plan) Route {
	route := Route{Name: r.name(path+".name", f["name"]), Kind: r.text(path+".kind", f["kind"], true, 32),
		Labels: r.labels(path+".labels", f["labels"]), Classes: r.selector(path+".classes", f["classes"]),
		Model: r.text(path+".model", f["model"], f["forward"] == nil, 128), Adapter: r.text(path+".adapter", f["adapter"], false, 128),
		Weights: r.text(path+".weights", f["weights"], false, 128), Prefix: r.text(path+".prefix", f["prefix"], false, 64<<10),
		MaxTokens: r.number(path+".max_tokens", f["max_tokens"], 1, 100_000, 256),
		Expiry:    r.number(path+".expiry_us", f["expiry_us"], 10_000, 3_600_000_000, 30_000_000),
		MostItems: r.number(path+".most_items", f["most_items"], 1, 10_000, 1000)}
	if route.Kind != "" && !routeKinds[route.Kind] {
		r.fault(path+".kind", "%q is no kind; give one-shot, repeatable, stream, resumable or bundle", route.Kind)
	}
	if route.Kind == Repeatable && f["forward"] == nil {
		r.fault(path+".kind", "only a route that is passed on unchanged may be repeatable; give it a forward, or another kind")
	}
	if f["forward"] != nil {
		route.Forward = r.forward(path+".forward", f["forward"], plan)
	}
	if split := route.Forward != nil && len(route.Forward.Split) > 0; !split {
		route.Pools = r.pools(path+".pools", f["pools"], plan)
	} else if f["pools"] != nil {
		r.fault(path+".pools", "the split says where requests go; leave one of the two out")
	}
	matched := false
	for _, class := range plan.Classes {
		matched = matched || route.Classes.Matches(class.Labels)
	}
	if !matched && route.Classes != nil {
		r.fault(path+".classes", "matches no class of this plan; correct the selector or the classes' labels")
	}
	return route
}

// pools reads a selector that has to match one of the plan's pools.
func (r *reader) pools(path string, value any, plan *Plan) Selector {
	selector, matched := r.selector(path, value), false
	for _, pool := range plan.Pools {
		matched = matched || selector.Matches(pool.Labels)
	}
	if !matched && selector != nil {
		r.fault(path, "matches no pool of this plan; correct the selector or the pools' labels")
	}
	return selector
}

// forward reads which requests a route passes on unchanged, and how.
func (r *reader) forward(path string, value any, plan *Plan) *Forward {
	f := r.object(path, value, "host", "path_prefix", "tries", "aim_us", "gap_us", "due_us", "keep_us", "most_tokens", "split")
	if f == nil {
		return nil
	}
	forward := &Forward{Host: r.text(path+".host", f["host"], true, 253), PathPrefix: r.text(path+".path_prefix", f["path_prefix"], true, 1024),
		Tries: r.number(path+".tries", f["tries"], 1, 100, 1), Aim: r.number(path+".aim_us", f["aim_us"], 1000, 24*hour, 0),
		Gap: r.number(path+".gap_us", f["gap_us"], 1000, 24*hour, 0), Due: r.number(path+".due_us", f["due_us"], 1000, 365*24*hour, 0),
		Keep: r.number(path+".keep_us", f["keep_us"], 1000, 365*24*hour, 0), MostTokens: r.number(path+".most_tokens", f["most_tokens"], 0, 1<<53, 0)}
	if strings.ToLower(forward.Host) != forward.Host || strings.ContainsAny(forward.Host, "/ ") {
		r.fault(path+".host", "%q is no host; write it in lower case, without spaces and slashes", forward.Host)
	}
	if prefix := forward.PathPrefix; prefix != "" && (prefix[0] != '/' || prefix[len(prefix)-1] != '/') {
		r.fault(path+".path_prefix", "%q must begin and end with a slash", prefix)
	}
	if f["split"] == nil {
		return forward
	}
	sum := int64(0)
	for i, value := range r.list(path+".split", f["split"], 64) {
		at := fmt.Sprintf("%s.split[%d]", path, i)
		if one := r.object(at, value, "pools", "share"); one != nil {
			part := Share{Pools: r.pools(at+".pools", one["pools"], plan), Share: r.number(at+".share", one["share"], 0, 1_000_000, 0)}
			if one["share"] == nil {
				r.fault(at+".share", "is missing; give a whole number from 0 to 1000000")
			}
			sum += part.Share
			forward.Split = append(forward.Split, part)
		}
	}
	if sum == 0 {
		r.fault(path+".split", "the shares add up to 0; give at least one part a share, or leave the split out")
	}
	return forward
}
