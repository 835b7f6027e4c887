package naming

import (
	"regexp"
	"slices"
	"strings"
)

// terms maps each word that hides a concept to the terms that usually replace it. A word
// is matched as one camel-case word of a name, in any case.
//
// A word of the users' lists that is itself part of a standard term is not in the table: "vote"
// (granting a vote), "queue", "share" (of a quota), "list" (of endpoints; Go's own List
// functions), "holder" (of a lease), "fence" (fencing token), "drain" (graceful shutdown),
// "shed" (load shedding), "part" (multipart; what a snapshot chunk consists of).
var terms = map[string]string{
	// What happened to a request, a message or a fact.
	"told": "notified, acknowledged", "tell": "notify", "whole": "complete",
	"held": "pending, in flight, reserved", "handed": "submitted", "given": "assigned",
	"came": "received at", "gone": "removed, lost", "listed": "endpoint, result",
	"turned": "rejected", "promise": "vote, granted", "promised": "granted",
	"settle": "commit", "settled": "committed, stable", "why": "reason",
	"ask": "request, call", "asks": "requests", "asked": "requested", "asking": "requesting",
	"receipt": "acknowledgement", "order": "request", "orders": "requests",
	"try": "attempt", "tries": "attempts", "errand": "request",
	"letter": "message", "letters": "messages", "note": "message", "notes": "messages",
	"news": "updates", "rumour": "update", "rumours": "updates", "word": "update, message",
	"retell": "republish", "relist": "restore", "lingering": "former",

	// Health, faults and time.
	"ill": "unhealthy", "sick": "unhealthy", "unwell": "unhealthy",
	"sound": "healthy", "soundness": "health", "trouble": "fault", "mishap": "fault",
	"beat": "heartbeat", "beats": "heartbeats", "probe": "health check",
	"mend": "repair", "mended": "repaired", "silence": "timeout",
	"silent": "timed out, unreachable", "patience": "timeout",
	"expiry": "deadline", "expired": "deadline exceeded",
	"leaving": "draining", "standing": "status", "estranged": "partitioned",
	"shunned": "excluded", "cut": "partition", "cuts": "partitions",
	"cold": "warming up", "ramp": "slow start", "aim": "latency target", "aims": "latency targets",
	"worth": "value, priority weight",

	// Members and their roles.
	"life": "incarnation", "lives": "incarnations",
	"mate": "peer", "mates": "peers", "fellow": "peer", "fellows": "peers", "kin": "peers",
	"keeper": "lease holder, owner", "keepers": "lease holders, owners", "hold": "lease",
	"duty": "singleton role", "duties": "singleton roles", "helper": "sub-agent",
	"roll": "membership, voters", "enrol": "submit, register", "enrolled": "submitted",
	"ballot": "term", "round": "term", "yes": "granted", "stand": "campaign if needed",
	"found": "bootstrap", "scene": "cluster view, placement input",
	"copy": "replica", "copies": "replicas", "backs": "replicas", "camp": "fleet",
	"handout": "assignment",

	// State and data.
	"book": "log, state table", "ledger": "log, state table", "view": "snapshot",
	"fold": "compact, snapshot", "refold": "compact again",
	"shelf": "archive", "shelve": "archive", "shelved": "archived", "unshelve": "delete archive",
	"mark": "watermark, status", "place": "offset, position, failure domain",
	"piece": "chunk", "pieces": "chunks",
	"bundle": "batch", "bundles": "batches", "lot": "batch", "lots": "batches",
	"row": "result", "rows": "results", "feed": "stream, change feed",
	"slot":  "shard (of state), concurrency slot (of a server)",
	"saves": "checkpoints", "pinned": "affinity", "repeatable": "idempotent",

	// Configuration, tenants and limits.
	"plan": "configuration", "plans": "configurations",
	"customer": "tenant", "customers": "tenants", "allowance": "quota",
	"ceiling": "limit", "room": "capacity", "line": "queue, backlog", "backlog": "queue",
	"most": "max, limit", "least": "min", "road": "route, path",
	"judge": "scorer", "judges": "scorers",
}

// phrases are terms of two words in a row.
var phrases = map[[2]string]string{
	{"sent", "on"}:       "forwarded",
	{"send", "on"}:       "forward",
	{"kept", "apart"}:    "ejected",
	{"thrown", "out"}:    "ejected",
	{"put", "back"}:      "preempted, requeued",
	{"pushed", "out"}:    "preempted",
	{"hand", "in"}:       "submit",
	{"hand", "out"}:      "assign",
	{"second", "copy"}:   "hedged request",
	{"further", "try"}:   "retry",
	{"turn", "away"}:     "reject",
	{"kept", "prefix"}:   "prefix cache",
	{"reads", "prompt"}:  "prefill",
	{"makes", "tokens"}:  "decode",
	{"clock", "event"}:   "timer, tick",
	{"clock", "events"}:  "timers, ticks",
	{"given", "up"}:      "abandoned, rejected",
	{"handed", "over"}:   "transferred",
	{"second", "chance"}: "retry",
}

// houseWords are themed names of the project's earlier house style, which is withdrawn.
var houseWords = strings.Fields(`
	acquaintance almhut avalanche barometer basecamp belay belvedere cairn cairns
	causeway chart circle climate daybook dispatch folk footbridge ford gait
	gang grip guestbook guidebook havoc hollow hut ladder
	lodge logbook lookout muletrack oath office outfit people person
	planbook porch porter purse rambler refuge rope ropeway roster rucksack
	rung scout scouts scree serverline story stride
	strongroom summit sundial sworn tend tether tour trailhead trek unshelved
	waymark waypost weather wellspring`)

// termsOfPackages are words of the table that are the field's own term in one package.
// The reason stands beside each.
var termsOfPackages = map[string][]string{
	// SWIM, section 3.1, and memberlist: a member is probed, directly and indirectly.
	"internal/gossip": {"probe"},
}

var camelWord = regexp.MustCompile(`[A-Z]+(?:[^A-Za-z]|$)|[A-Z]?[a-z0-9]+|[A-Z]+`)

// hiddenTerm gives the usual terms for the first word of a name that hides one; "" where
// no word does. The folder is the package's, from the module's root.
func hiddenTerm(folder, name string) string {
	words := camelWord.FindAllString(name, -1)
	for i, word := range words {
		word = strings.ToLower(word)
		words[i] = word
		if i > 0 {
			if term := phrases[[2]string{words[i-1], word}]; term != "" {
				return term
			}
		}
		if slices.Contains(houseWords, word) {
			return "the glossary's term (docs/GLOSSARY.md)"
		}
		if term := terms[word]; term != "" && !slices.Contains(termsOfPackages[folder], word) {
			return term
		}
	}
	return ""
}
