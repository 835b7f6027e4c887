package config

import (
	"fmt"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
)

const (
	hour = 3600 * clock.Second
	day  = 24 * hour
	year = 365 * day
)

// Maximum numbers of entries of a document's lists.
const (
	maxClasses    = 64
	maxTenants    = 10_000
	maxPools      = 256
	maxRoutes     = 20_000
	maxSplitParts = 64
)

// maxZoneServers is the highest value for the bounds on a pool's servers in a zone.
const maxZoneServers = 100_000

// maxScorerWeight is the highest weight of a scorer.
const maxScorerWeight = 1000

// configuration reads a document section by section. Classes and pools are read before the
// sections that refer to them.
func (p *parser) configuration(tree any) *Configuration {
	out := &Configuration{ScorerWeights: DefaultScorerWeights()}
	document, ok := p.object("$", tree, documentFields)
	if !ok {
		return out
	}
	out.Classes = document.classes()
	out.Tenants = document.tenants(out.Classes)
	out.Pools = document.pools()
	out.Routes = document.routes(out.Classes, out.Pools)
	if len(out.Classes) == 0 {
		document.addFault("classes", "is empty", "define at least one class")
	}
	document.scorerWeights(out.ScorerWeights)
	out.Limits = document.limits()
	return out
}

func (o object) classes() []PriorityClass {
	var out []PriorityClass
	names := newUniqueNames("class")
	o.objects("classes", maxClasses, classFields, func(f object) {
		class := PriorityClass{
			Name:     f.name("name"),
			Labels:   f.labels("labels"),
			Priority: f.integer("rank", integerRange{min: MinPriority, max: MaxPriority}),
			Quota:    f.integer("allowance", integerRange{min: 1, max: 1_000_000}),
		}
		f.require("rank", "give a whole number from 1 to 1000; higher goes first")
		f.require("allowance", "give how many requests and batch items of one customer may be queued")
		names.add(o.parser, f.pathOf("name"), class.Name)
		out = append(out, class)
	})
	return out
}

func (o object) tenants(classes []PriorityClass) []Tenant {
	classNames := map[string]bool{}
	for _, class := range classes {
		classNames[class.Name] = true
	}
	var out []Tenant
	names, owners := newUniqueNames("customer"), keyOwners{}
	o.objects("customers", maxTenants, tenantFields, func(f object) {
		tenant := Tenant{
			Name:  f.name("name"),
			Class: f.requiredText("class", maxNameBytes),
		}
		names.add(o.parser, f.pathOf("name"), tenant.Name)
		for _, key := range f.apiKeys() {
			owners.add(o.parser, key, tenant.Name)
			tenant.Keys = append(tenant.Keys, key.digest)
		}
		if tenant.Class != "" && !classNames[tenant.Class] {
			f.addFault("class", fmt.Sprintf("no class %q in this configuration", tenant.Class), "add it, or name an existing class")
		}
		out = append(out, tenant)
	})
	return out
}

func (o object) pools() []Pool {
	var out []Pool
	names := newUniqueNames("pool")
	o.objects("pools", maxPools, poolFields, func(f object) {
		pool := Pool{
			Name:    f.name("name"),
			Labels:  f.labels("labels"),
			Servers: f.selector("servers"),
		}
		if f.has("autoscale") {
			pool.Autoscale = f.autoscale()
		}
		names.add(o.parser, f.pathOf("name"), pool.Name)
		out = append(out, pool)
	})
	return out
}

// autoscale reads the bounds on the number of a pool's servers.
func (o object) autoscale() Autoscale {
	f, ok := o.parser.object(o.pathOf("autoscale"), o.fields["autoscale"], autoscaleFields)
	if !ok {
		return Autoscale{}
	}
	f.require("min", "give the minimum number of servers per zone")
	f.require("max", "give the maximum number of servers per zone")
	servers := integerRange{min: 1, max: maxZoneServers}
	out := Autoscale{
		Min:      f.integer("min", servers),
		Max:      f.integer("max", servers),
		BootTime: f.integer("boot_us", integerRange{max: hour}),
	}
	if out.Max < out.Min {
		f.addFault("max", "is less than min", "give at least min")
	}
	return out
}

// scorerWeights overwrites the default weights with those that the document sets.
func (o object) scorerWeights(weights map[string]float64) {
	if !o.has("judges") {
		return
	}
	scorers, ok := o.parser.object(o.pathOf("judges"), o.fields["judges"], ScorerNames)
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(scorers.fields)) {
		weight, isNumber := scorers.fields[name].(float64)
		if !isNumber || weight < 0 || weight > maxScorerWeight {
			scorers.addFault(name, fmt.Sprintf("must be a number from 0 to %d", maxScorerWeight), "")
			continue
		}
		weights[name] = weight
	}
}

func (o object) limits() Limits {
	if !o.has("bounds") {
		return Limits{}
	}
	f, ok := o.parser.object(o.pathOf("bounds"), o.fields["bounds"], limitsFields)
	if !ok {
		return Limits{}
	}
	timeouts := integerRange{min: 10 * clock.Millisecond, max: hour}
	return Limits{
		MaxHeaderBytes: f.integer("header_bytes", integerRange{min: 1 << 10, max: 1 << 20}),
		MaxBodyBytes:   f.integer("body_bytes", integerRange{min: 1 << 10, max: 256 << 20}),
		HeaderTimeout:  f.integer("header_wait_us", timeouts),
		IdleTimeout:    f.integer("idle_wait_us", timeouts),
	}
}
