package simulator

import (
	"encoding/json"
	"fmt"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

const (
	defaultTenant = "caller"
	callerKey     = "key-caller"
)

// tenantByKey are the tenants by the API key that their callers send.
var tenantByKey = map[string]string{"key-gold": "gold", "key-silver": "silver", callerKey: defaultTenant}

// routeKinds are the live routes by the kind of the route.
var routeKinds = map[string]string{"once": config.OneShot, "flow": config.Stream, "long": config.Resumable, "extra": config.OneShot}

// document is a JSON object of a configuration, with the keys that operators write.
type document map[string]any

// configurationDocument is a configuration as an operator writes it. Its number says how it
// differs from others: the route extra comes and goes, its pool moves, quotas change.
func (w *World) configurationDocument(number int) []byte {
	routes := []document{
		liveRouteDocument("once", "all"),
		liveRouteDocument("flow", "all"),
		liveRouteDocument("long", "all"),
		batchRouteDocument("r"),
	}
	if hasExtraRoute(number) {
		routes = append(routes, liveRouteDocument("extra", "half"))
	}
	routes = append(routes, w.forwardedRouteDocuments(number)...)
	tenants := []document{
		{"name": "gold", "key": "key-gold", "class": "gold"},
		{"name": "silver", "key": "key-silver", "class": "silver"},
		{"name": defaultTenant, "key": callerKey, "class": "notes"},
	}
	if w.Tenants {
		tenants = append(tenants, tenantDocuments(number)...)
	}
	pools := []document{
		{"name": "main", "labels": document{"use": "all"}, "servers": document{"fleet": "main"}},
		{"name": "half", "labels": document{"use": "half"}, "servers": document{"half": extraRouteHalf(number)}},
	}
	if w.Forwarding {
		pools = append(pools, document{"name": "resuming", "labels": document{"use": "resuming"}, "servers": document{"half": resumingHalf}})
	}
	data, _ := json.Marshal(document{
		"classes": []document{
			classDocument("gold", 300+number%2, liveQuota),
			classDocument("silver", 200, liveQuota),
			classDocument("notes", 100, batchQuota(number)),
		},
		"customers": tenants,
		"pools":     pools,
		"routes":    routes,
		"judges":    document{"speed": 1 + float64(number)/1000},
	})
	return data
}

// forwardedRouteDocuments are the routes whose requests are forwarded unchanged. Their names move among them from
// document to document; their hosts, by which requests select them, stay.
func (w *World) forwardedRouteDocuments(number int) (routes []document) {
	if w.Forwarding {
		for _, name := range forwardedRoutes {
			routes = append(routes, forwardedRouteDocument(name, forwardedKinds[name]))
		}
		routes = append(routes, w.batchRouteDocument(forwardedRouteDocument(batchRoute, config.Batch)))
	}
	if w.TokenQuota {
		routes = append(routes, w.batchRouteDocument(limitedRouteDocument(config.Batch)))
	}
	for i := range routes {
		routes[i]["name"] = fmt.Sprint("forwarded-", (i+number)%(len(routes)+1))
	}
	return routes
}

// batchRouteDocument has a route of forwarded batches require keys where there are tenants.
func (w *World) batchRouteDocument(route document) document {
	if w.Tenants {
		return withAuthentication(route)
	}
	return route
}

// hasExtraRoute says whether a document, by its number, has the route extra.
func hasExtraRoute(number int) bool { return number%3 > 0 }

// extraRouteHalf is the label of the servers that the route extra may use.
func extraRouteHalf(number int) string { return fmt.Sprint(number / 3 % 2) }

// resumingHalf is the label of the servers that the forwarded route of resumable streams may use.
const resumingHalf = "0"

// liveQuota is the quota of a tenant of live requests, in requests that wait.
const liveQuota = 40

// batchQuota is the quota of the default tenant, in items that wait, under a document.
func batchQuota(number int) int { return 300 + 20*(number%4) }

func classDocument(name string, priority, quota int) document {
	return document{"name": name, "rank": priority, "allowance": quota, "labels": document{"live": "yes"}}
}

func liveRouteDocument(name, pool string) document {
	route := routeDocument(name, routeKinds[name], pool)
	route["expiry_us"] = 4 * clock.Second
	return route
}

func batchRouteDocument(name string) document {
	route := routeDocument(name, config.Batch, "all")
	route["most_items"] = 1000
	return route
}

func routeDocument(name, kind, pool string) document {
	return document{
		"name":       name,
		"kind":       kind,
		"classes":    document{"live": "yes"},
		"pools":      document{"use": pool},
		"model":      "m",
		"prefix":     "say " + name + strings.Repeat(" again", 100),
		"max_tokens": 64,
	}
}

// forwardedModel is the model of a forwarded route. Servers have no models; an item's attempt tells by it which route
// it goes by.
func forwardedModel(route string) string { return "model of " + route }

// forwardedRouteDocument is a route whose requests are forwarded unchanged.
func forwardedRouteDocument(name, kind string) document {
	route := document{
		"name":    name,
		"kind":    kind,
		"classes": document{},
		"pools":   document{"use": "all"},
		"model":   forwardedModel(name),
		"forward": document{"host": hostOf(name), "path_prefix": forwardedPrefix, "tries": forwardAttempts},
	}
	if kind != config.Batch {
		route["expiry_us"] = forwardTimeout
	}
	if kind == config.Resumable {
		route["pools"] = document{"use": "resuming"}
	}
	return route
}
