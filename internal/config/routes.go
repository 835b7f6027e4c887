package config

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/internal/clock"
)

var (
	routeKinds          = []string{OneShot, Repeatable, Stream, Resumable, Batch}
	authenticationModes = []string{AuthenticationNone, AuthenticationOptional, AuthenticationRequired}
)

// routeReader reads the routes of a document, which refer to its classes and pools.
type routeReader struct {
	*parser
	classes []PriorityClass
	pools   []Pool
	// forwarded maps each host and path prefix to the name of the route that has it.
	forwarded map[hostAndPrefix]string
}

type hostAndPrefix struct{ host, prefix string }

func (o object) routes(classes []PriorityClass, pools []Pool) []Route {
	var out []Route
	r := &routeReader{parser: o.parser, classes: classes, pools: pools, forwarded: map[hostAndPrefix]string{}}
	names := newUniqueNames("route")
	o.objects("routes", maxRoutes, routeFields, func(f object) {
		route := r.route(f)
		names.add(o.parser, f.pathOf("name"), route.Name)
		r.checkUniqueForward(f, route)
		out = append(out, route)
	})
	return out
}

func (r *routeReader) route(f object) Route {
	route := Route{
		Name:      f.name("name"),
		Kind:      f.requiredText("kind", 32),
		Labels:    f.labels("labels"),
		Classes:   f.selector("classes"),
		Model:     r.model(f),
		Adapter:   f.text("adapter", maxLabelBytes),
		Weights:   f.text("weights", maxLabelBytes),
		Prefix:    f.text("prefix", 64<<10),
		MaxTokens: f.integer("max_tokens", integerRange{min: 1, max: 100_000, defaultValue: 256}),
		Timeout:   f.integer("expiry_us", integerRange{min: 10 * clock.Millisecond, max: hour, defaultValue: 30 * clock.Second}),
		MaxItems:  f.integer("most_items", integerRange{min: 1, max: 10_000, defaultValue: 1000}),
	}
	r.checkKind(f, route.Kind)
	if f.has("forward") {
		route.Forward = r.forward(f)
	}
	isSplit := route.Forward != nil && len(route.Forward.Split) > 0
	switch {
	case !isSplit:
		route.Pools = r.poolSelector(f)
	case f.has("pools"):
		f.addFault("pools", "the split already selects the pools", "remove one of the two")
	}
	r.checkClasses(f, route.Classes)
	return route
}

// model reads the route's model. It is optional for a forwarded route, whose requests name the model.
func (r *routeReader) model(f object) string {
	if f.has("forward") {
		return f.text("model", maxLabelBytes)
	}
	return f.requiredText("model", maxLabelBytes)
}

func (r *routeReader) checkKind(f object, kind string) {
	if kind != "" && !slices.Contains(routeKinds, kind) {
		f.addFault("kind", fmt.Sprintf("%q is not a kind of route", kind), "give one of "+strings.Join(routeKinds, ", "))
	}
	if kind == Repeatable && !f.has("forward") {
		f.addFault("kind", "only a route with a forward may be repeatable", "give it a forward, or another kind")
	}
}

func (r *routeReader) checkClasses(f object, selector Selector) {
	matches := func(class PriorityClass) bool { return selector.Matches(class.Labels) }
	if selector != nil && !slices.ContainsFunc(r.classes, matches) {
		f.addFault("classes", "matches no class of this configuration", "correct the selector or the classes' labels")
	}
}

// poolSelector reads the selector in the field pools, which must match at least one of the
// configuration's pools.
func (r *routeReader) poolSelector(f object) Selector {
	selector := f.selector("pools")
	matches := func(pool Pool) bool { return selector.Matches(pool.Labels) }
	if selector != nil && !slices.ContainsFunc(r.pools, matches) {
		f.addFault("pools", "matches no pool of this configuration", "correct the selector or the pools' labels")
	}
	return selector
}

// forward reads which requests a route forwards unchanged, and how.
func (r *routeReader) forward(route object) *Forward {
	f, ok := r.object(route.pathOf("forward"), route.fields["forward"], forwardFields)
	if !ok {
		return nil
	}
	forward := &Forward{
		Host:             f.requiredText("host", 253),
		PathPrefix:       f.requiredText("path_prefix", 1024),
		MaxAttempts:      f.integer("tries", integerRange{min: 1, max: 100, defaultValue: 1}),
		LatencyTarget:    f.integer("aim_us", integerRange{min: clock.Millisecond, max: day}),
		MaxEventGap:      f.integer("gap_us", integerRange{min: clock.Millisecond, max: day}),
		CompletionWindow: f.integer("due_us", integerRange{min: clock.Millisecond, max: year}),
		ItemRetention:    f.integer("keep_us", integerRange{min: clock.Millisecond, max: year}),
		MaxQueuedTokens:  f.integer("most_tokens", integerRange{min: 0, max: 1 << 53}),
		Authentication:   r.authentication(f),
		Priority:         f.integer("rank", integerRange{min: MinPriority, max: MaxPriority, defaultValue: MinPriority}),
	}
	if strings.ToLower(forward.Host) != forward.Host || strings.ContainsAny(forward.Host, "/ ") {
		f.addFault("host", fmt.Sprintf("%q is not a valid host", forward.Host), "write it in lower case, without spaces and slashes")
	}
	if prefix := forward.PathPrefix; prefix != "" && !(strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")) {
		f.addFault("path_prefix", fmt.Sprintf("%q must begin and end with a slash", prefix), "")
	}
	if f.has("split") {
		forward.Split = r.split(f)
	}
	return forward
}

// authentication reads whether a forwarded route's requests must carry an API key.
func (r *routeReader) authentication(f object) string {
	if !f.has("authentication") {
		return AuthenticationNone
	}
	mode := f.text("authentication", 32)
	if !slices.Contains(authenticationModes, mode) {
		f.addFault("authentication", fmt.Sprintf("%q is unknown", mode), "give one of "+strings.Join(authenticationModes, ", "))
	}
	return mode
}

func (r *routeReader) split(forward object) []WeightedPools {
	var out []WeightedPools
	sum := int64(0)
	forward.objects("split", maxSplitParts, splitFields, func(f object) {
		part := WeightedPools{
			Pools:  r.poolSelector(f),
			Weight: f.integer("share", integerRange{min: 0, max: 1_000_000}),
		}
		f.require("share", "give a whole number from 0 to 1000000")
		sum += part.Weight
		out = append(out, part)
	})
	if sum == 0 {
		forward.addFault("split", "the shares add up to 0", "give at least one part a share above 0, or remove the split")
	}
	return out
}

// checkUniqueForward adds a fault if another route has this one's host and path prefix.
func (r *routeReader) checkUniqueForward(f object, route Route) {
	forward := route.Forward
	if forward == nil || forward.Host == "" || forward.PathPrefix == "" {
		return
	}
	key := hostAndPrefix{host: forward.Host, prefix: forward.PathPrefix}
	if other, taken := r.forwarded[key]; taken {
		f.addFault("forward", fmt.Sprintf("route %q has this host and path prefix too", other), "give each route a unique pair")
	}
	r.forwarded[key] = route.Name
}
