package config

import (
	"fmt"
	"sort"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// This file reads documents and reports every fault with its path (DESIGN §8.1).

type parser struct{ faults []string }

func (p *parser) addFault(path, format string, args ...any) {
	if len(p.faults) < 200 {
		p.faults = append(p.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

func (p *parser) err() error {
	if len(p.faults) == 0 {
		return nil
	}
	return &errs.Error{Kind: errs.InvalidConfiguration, Message: fmt.Sprintf("the plan has %d faults; the plan in force stays", len(p.faults)),
		Remedy: "correct each named place and put the plan again", Faults: p.faults}
}

// object checks that a value is an object and that it has only known fields.
func (p *parser) object(path string, value any, known ...string) map[string]any {
	fields, ok := value.(map[string]any)
	if !ok {
		p.addFault(path, "must be an object")
		return nil
	}
	for _, name := range sortedNames(fields) {
		found := false
		for _, one := range known {
			found = found || one == name
		}
		if !found {
			p.addFault(path+"."+name, "unknown field; leave it out (known here: %v)", known)
		}
	}
	return fields
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (p *parser) list(path string, value any, maximum int) []any {
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		p.addFault(path, "must be a list")
	}
	if len(list) > maximum {
		p.addFault(path, "has %d entries; keep to at most %d", len(list), maximum)
	}
	return list
}

func (p *parser) text(path string, value any, required bool, maximum int) string {
	if value == nil {
		if required {
			p.addFault(path, "is missing; give a text")
		}
		return ""
	}
	text, ok := value.(string)
	switch {
	case !ok:
		p.addFault(path, "must be a text")
	case required && text == "":
		p.addFault(path, "is empty; give a text")
	case len(text) > maximum:
		p.addFault(path, "is longer than %d bytes; shorten it", maximum)
	}
	return text
}

func (p *parser) name(path string, value any) string {
	text := p.text(path, value, true, 64)
	for _, c := range text {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			p.addFault(path, "%q has a letter that names may not have; use letters, digits, - _ .", text)
			break
		}
	}
	return text
}

func (p *parser) number(path string, value any, minimum, maximum, defaultValue int64) int64 {
	if value == nil {
		return defaultValue
	}
	number, ok := value.(float64)
	if !ok || number != float64(int64(number)) {
		p.addFault(path, "must be a whole number from %d to %d", minimum, maximum)
		return defaultValue
	}
	if int64(number) < minimum || int64(number) > maximum {
		p.addFault(path, "is %d; give a whole number from %d to %d", int64(number), minimum, maximum)
	}
	return int64(number)
}

func (p *parser) labels(path string, value any) Labels {
	if value == nil {
		return Labels{}
	}
	fields, ok := value.(map[string]any)
	if !ok {
		p.addFault(path, "must be an object of texts")
		return nil
	}
	out := Labels{}
	for _, name := range sortedNames(fields) {
		out[name] = p.text(path+"."+name, fields[name], true, 128)
	}
	return out
}

func (p *parser) selector(path string, value any) Selector {
	if value == nil {
		p.addFault(path, "is missing; give labels to match, or {} for all")
		return nil
	}
	fields, ok := value.(map[string]any)
	if !ok {
		p.addFault(path, "must be an object: label names with a text or a list of texts")
		return nil
	}
	out := Selector{}
	for _, name := range sortedNames(fields) {
		switch values := fields[name].(type) {
		case string:
			out[name] = []string{values}
		case []any:
			if len(values) == 0 {
				p.addFault(path+"."+name, "is empty and matches nothing; give at least one value")
			}
			for i, one := range values {
				out[name] = append(out[name], p.text(fmt.Sprintf("%s.%s[%d]", path, name, i), one, true, 128))
			}
		default:
			p.addFault(path+"."+name, "must be a text or a list of texts")
		}
	}
	return out
}

func (p *parser) checkUnique(path, kind, name string, seen map[string]bool) {
	if name == "" {
		return
	}
	if seen[name] {
		p.addFault(path, "%s %q is there twice; give each its own", kind, name)
	}
	seen[name] = true
}

//revive:disable-next-line:cyclomatic,function-length still to be split (issue 18)
func (p *parser) configuration(tree any) *Configuration {
	configuration := &Configuration{ScorerWeights: DefaultScorerWeights()}
	fields := p.object("$", tree, "classes", "customers", "pools", "routes", "judges", "bounds")
	if fields == nil {
		return configuration
	}
	classes, names := map[string]bool{}, map[string]bool{}
	for i, value := range p.list("$.classes", fields["classes"], 64) {
		path := fmt.Sprintf("$.classes[%d]", i)
		if f := p.object(path, value, "name", "rank", "allowance", "labels"); f != nil {
			class := PriorityClass{Name: p.name(path+".name", f["name"]), Labels: p.labels(path+".labels", f["labels"]),
				Priority: p.number(path+".rank", f["rank"], 1, 1000, 0), Quota: p.number(path+".allowance", f["allowance"], 1, 1_000_000, 0)}
			if f["rank"] == nil {
				p.addFault(path+".rank", "is missing; give a whole number from 1 to 1000, higher goes first")
			}
			if f["allowance"] == nil {
				p.addFault(path+".allowance", "is missing; give how much work of one customer may wait")
			}
			p.checkUnique(path+".name", "class", class.Name, classes)
			configuration.Classes = append(configuration.Classes, class)
		}
	}
	keys := map[string]bool{}
	for i, value := range p.list("$.customers", fields["customers"], 10_000) {
		path := fmt.Sprintf("$.customers[%d]", i)
		if f := p.object(path, value, "name", "key", "class"); f != nil {
			tenant := Tenant{Name: p.name(path+".name", f["name"]), Key: p.text(path+".key", f["key"], true, 256), Class: p.text(path+".class", f["class"], true, 64)}
			p.checkUnique(path+".name", "customer", tenant.Name, names)
			p.checkUnique(path+".key", "the key of", tenant.Key, keys)
			if tenant.Class != "" && !classes[tenant.Class] {
				p.addFault(path+".class", "no class %q in this plan; add it, or name one of them", tenant.Class)
			}
			configuration.Tenants = append(configuration.Tenants, tenant)
		}
	}
	pools := map[string]bool{}
	for i, value := range p.list("$.pools", fields["pools"], 256) {
		path := fmt.Sprintf("$.pools[%d]", i)
		if f := p.object(path, value, "name", "labels", "servers"); f != nil {
			pool := Pool{Name: p.name(path+".name", f["name"]), Labels: p.labels(path+".labels", f["labels"]), Servers: p.selector(path+".servers", f["servers"])}
			p.checkUnique(path+".name", "pool", pool.Name, pools)
			configuration.Pools = append(configuration.Pools, pool)
		}
	}
	routes, routeByPrefix := map[string]bool{}, map[[2]string]string{}
	for i, value := range p.list("$.routes", fields["routes"], 20_000) {
		path := fmt.Sprintf("$.routes[%d]", i)
		if f := p.object(path, value, "name", "kind", "labels", "classes", "pools", "model", "adapter", "weights", "prefix", "max_tokens", "expiry_us", "most_items", "forward"); f != nil {
			route := p.route(path, f, configuration)
			p.checkUnique(path+".name", "route", route.Name, routes)
			if forward := route.Forward; forward != nil && forward.Host != "" && forward.PathPrefix != "" {
				hostAndPrefix := [2]string{forward.Host, forward.PathPrefix}
				if other, taken := routeByPrefix[hostAndPrefix]; taken {
					p.addFault(path+".forward", "route %q has this host and path prefix too; give each route its own", other)
				}
				routeByPrefix[hostAndPrefix] = route.Name
			}
			configuration.Routes = append(configuration.Routes, route)
		}
	}
	if len(configuration.Classes) == 0 {
		p.addFault("$.classes", "is empty; give at least one class")
	}
	if fields["judges"] != nil {
		known := p.object("$.judges", fields["judges"], ScorerNames...)
		for _, name := range sortedNames(known) {
			weight, ok := known[name].(float64)
			if !ok || weight < 0 || weight > 1000 {
				p.addFault("$.judges."+name, "must be a number from 0 to 1000")
				continue
			}
			configuration.ScorerWeights[name] = weight
		}
	}
	if fields["bounds"] != nil {
		if f := p.object("$.bounds", fields["bounds"], "header_bytes", "body_bytes", "header_wait_us", "idle_wait_us"); f != nil {
			configuration.Limits = Limits{MaxHeaderBytes: p.number("$.bounds.header_bytes", f["header_bytes"], 1024, 1<<20, 0),
				MaxBodyBytes:  p.number("$.bounds.body_bytes", f["body_bytes"], 1024, 256<<20, 0),
				HeaderTimeout: p.number("$.bounds.header_wait_us", f["header_wait_us"], 10_000, hour, 0),
				IdleTimeout:   p.number("$.bounds.idle_wait_us", f["idle_wait_us"], 10_000, hour, 0)}
		}
	}
	return configuration
}

const hour = 3600 * clock.Second

var routeKinds = map[string]bool{OneShot: true, Repeatable: true, Stream: true, Resumable: true, Batch: true}

func (p *parser) route(path string, f map[string]any, configuration *Configuration) Route {
	route := Route{Name: p.name(path+".name", f["name"]), Kind: p.text(path+".kind", f["kind"], true, 32),
		Labels: p.labels(path+".labels", f["labels"]), Classes: p.selector(path+".classes", f["classes"]),
		Model: p.text(path+".model", f["model"], f["forward"] == nil, 128), Adapter: p.text(path+".adapter", f["adapter"], false, 128),
		Weights: p.text(path+".weights", f["weights"], false, 128), Prefix: p.text(path+".prefix", f["prefix"], false, 64<<10),
		MaxTokens: p.number(path+".max_tokens", f["max_tokens"], 1, 100_000, 256),
		Timeout:   p.number(path+".expiry_us", f["expiry_us"], 10_000, 3_600_000_000, 30_000_000),
		MaxItems:  p.number(path+".most_items", f["most_items"], 1, 10_000, 1000)}
	if route.Kind != "" && !routeKinds[route.Kind] {
		p.addFault(path+".kind", "%q is no kind; give one-shot, repeatable, stream, resumable or bundle", route.Kind)
	}
	if route.Kind == Repeatable && f["forward"] == nil {
		p.addFault(path+".kind", "only a route that is passed on unchanged may be repeatable; give it a forward, or another kind")
	}
	if f["forward"] != nil {
		route.Forward = p.forward(path+".forward", f["forward"], configuration)
	}
	if split := route.Forward != nil && len(route.Forward.Split) > 0; !split {
		route.Pools = p.pools(path+".pools", f["pools"], configuration)
	} else if f["pools"] != nil {
		p.addFault(path+".pools", "the split says where requests go; leave one of the two out")
	}
	matched := false
	for _, class := range configuration.Classes {
		matched = matched || route.Classes.Matches(class.Labels)
	}
	if !matched && route.Classes != nil {
		p.addFault(path+".classes", "matches no class of this plan; correct the selector or the classes' labels")
	}
	return route
}

// pools reads a selector that has to match one of the configuration's pools.
func (p *parser) pools(path string, value any, configuration *Configuration) Selector {
	selector, matched := p.selector(path, value), false
	for _, pool := range configuration.Pools {
		matched = matched || selector.Matches(pool.Labels)
	}
	if !matched && selector != nil {
		p.addFault(path, "matches no pool of this plan; correct the selector or the pools' labels")
	}
	return selector
}

// forward reads which requests a route passes on unchanged, and how.
func (p *parser) forward(path string, value any, configuration *Configuration) *Forward {
	f := p.object(path, value, "host", "path_prefix", "tries", "aim_us", "gap_us", "due_us", "keep_us", "most_tokens", "split")
	if f == nil {
		return nil
	}
	forward := &Forward{Host: p.text(path+".host", f["host"], true, 253), PathPrefix: p.text(path+".path_prefix", f["path_prefix"], true, 1024),
		MaxAttempts: p.number(path+".tries", f["tries"], 1, 100, 1), LatencyTarget: p.number(path+".aim_us", f["aim_us"], 1000, 24*hour, 0),
		MaxEventGap: p.number(path+".gap_us", f["gap_us"], 1000, 24*hour, 0), CompletionWindow: p.number(path+".due_us", f["due_us"], 1000, 365*24*hour, 0),
		ItemRetention: p.number(path+".keep_us", f["keep_us"], 1000, 365*24*hour, 0), MaxQueuedTokens: p.number(path+".most_tokens", f["most_tokens"], 0, 1<<53, 0)}
	if strings.ToLower(forward.Host) != forward.Host || strings.ContainsAny(forward.Host, "/ ") {
		p.addFault(path+".host", "%q is no host; write it in lower case, without spaces and slashes", forward.Host)
	}
	if prefix := forward.PathPrefix; prefix != "" && (prefix[0] != '/' || prefix[len(prefix)-1] != '/') {
		p.addFault(path+".path_prefix", "%q must begin and end with a slash", prefix)
	}
	if f["split"] == nil {
		return forward
	}
	sum := int64(0)
	for i, value := range p.list(path+".split", f["split"], 64) {
		at := fmt.Sprintf("%s.split[%d]", path, i)
		if one := p.object(at, value, "pools", "share"); one != nil {
			weighted := WeightedPools{Pools: p.pools(at+".pools", one["pools"], configuration), Weight: p.number(at+".share", one["share"], 0, 1_000_000, 0)}
			if one["share"] == nil {
				p.addFault(at+".share", "is missing; give a whole number from 0 to 1000000")
			}
			sum += weighted.Weight
			forward.Split = append(forward.Split, weighted)
		}
	}
	if sum == 0 {
		p.addFault(path+".split", "the shares add up to 0; give at least one part a share, or leave the split out")
	}
	return forward
}
