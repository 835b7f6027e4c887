// Package mechanism names the mechanisms by which edges and stores decide where and when requests run,
// so that each can be switched off for a run that measures what it is worth (docs/SETTINGS.md).
// In service none is switched off.
//
// Everything here is a function of its arguments, and safe for concurrent use.
package mechanism

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/internal/config"
)

// Name is the name of a mechanism, as the setting has it.
type Name string

// The mechanisms, but for the scorers, which are scorerPrefix and the scorer's name.
const (
	// Autoscale requests as many servers from the platform as the load needs.
	Autoscale Name = "autoscale"
	// BatchConnections has stores take no more places on a server than they have connections there.
	BatchConnections Name = "batch-connections"
	// BatchMemory bounds batch items by servers' memory, not only by their slots.
	BatchMemory Name = "batch-memory"
	// BatchPrefillLimit bounds how many of a store's items a server prefills at a time.
	BatchPrefillLimit Name = "batch-prefill-limit"
	// BatchRunning has stores count the other stores' items on servers.
	BatchRunning Name = "batch-running"
	// BatchShares gives each store its own part of the places for batch items.
	BatchShares Name = "batch-shares"
	// ItemPriority orders batch items of opaque requests by the priority of their tenant or route.
	ItemPriority Name = "item-priority"
	// ItemPromotion lets a batch item of a lower level start now and then where higher ones take all places.
	ItemPromotion Name = "item-promotion"
	// LevelLimits leaves places on each server for requests of higher levels.
	LevelLimits Name = "level-limits"
	// LivePromotion lets a live request of a lower level start now and then where higher ones take all servers.
	LivePromotion Name = "live-promotion"
	// Observations has daemons of a zone tell each other what they see of servers.
	Observations Name = "observations"
	// OverdueLast has batch items that can't be ready in time go last.
	OverdueLast Name = "overdue-last"
	// QueueTimeLimit rejects live requests that have waited for a server too long to be in time.
	QueueTimeLimit Name = "queue-time-limit"
	// RetryAvoidance sends a retry to another server than the failed attempts.
	RetryAvoidance Name = "retry-avoidance"
	// RetryBudget bounds how much retries add to the load.
	RetryBudget Name = "retry-budget"
	// ServerBackoff leaves a server that rejected a request, or failed, alone for a while.
	ServerBackoff Name = "server-backoff"
	// Starvation lets a batch item that has waited long fill a server completely.
	Starvation Name = "starvation"
)

const scorerPrefix = "scorer-"

// Scorer is the name of a scorer that the configuration weighs.
func Scorer(name string) Name { return Name(scorerPrefix + name) }

// All are all names, sorted.
func All() []Name {
	out := []Name{
		Autoscale, BatchConnections, BatchMemory, BatchPrefillLimit, BatchRunning, BatchShares, ItemPriority, ItemPromotion, LevelLimits, LivePromotion,
		Observations, OverdueLast, QueueTimeLimit, RetryAvoidance, RetryBudget, ServerBackoff, Starvation,
	}
	for _, scorer := range config.ScorerNames {
		out = append(out, Scorer(scorer))
	}
	slices.Sort(out)
	return out
}

// Set is a set of mechanisms. The zero value is the empty set.
type Set struct{ names []Name }

// Has tells whether a mechanism is in the set.
func (s Set) Has(name Name) bool { return slices.Contains(s.names, name) }

// Parse reads a set of names that commas separate; "" is the empty set. The error names what is
// unknown, and the names that there are.
func Parse(text string) (Set, error) {
	if text == "" {
		return Set{}, nil
	}
	known := All()
	out := Set{}
	for _, part := range strings.Split(text, ",") {
		name := Name(strings.TrimSpace(part))
		if !slices.Contains(known, name) {
			return Set{}, fmt.Errorf("no mechanism %q; there are %v", name, known)
		}
		out.names = append(out.names, name)
	}
	return out, nil
}
