// Package mechanism names the mechanisms by which edges and stores decide where and when requests run,
// so that each can be disabled in a run that measures its benefit (docs/SETTINGS.md). In production
// none is disabled.
//
// All functions depend only on their arguments and are safe for concurrent use.
package mechanism

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/internal/config"
)

// Name is the name of a mechanism, as used in the setting.
type Name string

// The mechanisms except the scorers, whose names are scorerPrefix followed by the scorer's name.
const (
	// Autoscale requests as many servers from the platform as the load needs.
	Autoscale Name = "autoscale"
	// BatchConnections limits the slots that a store uses on a server to its connections there.
	BatchConnections Name = "batch-connections"
	// BatchMemory limits batch items by the servers' memory, not only by their slots.
	BatchMemory Name = "batch-memory"
	// BatchPrefillLimit limits how many of a store's items a server prefills at a time.
	BatchPrefillLimit Name = "batch-prefill-limit"
	// BatchRunning makes stores take the other stores' running items into account.
	BatchRunning Name = "batch-running"
	// BatchShares gives each store its own part of the slots for batch items.
	BatchShares Name = "batch-shares"
	// ItemPriority orders batch items of opaque requests by the priority of their tenant or route.
	ItemPriority Name = "item-priority"
	// ItemPromotion lets a batch item of a lower level start now and then while higher levels use all slots.
	ItemPromotion Name = "item-promotion"
	// LevelLimits reserves slots on each server for requests of higher levels.
	LevelLimits Name = "level-limits"
	// LivePromotion lets a live request of a lower level start now and then while higher levels use all servers.
	LivePromotion Name = "live-promotion"
	// Observations makes the daemons of a zone exchange their observations of servers.
	Observations Name = "observations"
	// OverdueLast schedules batch items that cannot complete in time after all others.
	OverdueLast Name = "overdue-last"
	// QueueTimeLimit rejects live requests that have waited too long for a server to complete in time.
	QueueTimeLimit Name = "queue-time-limit"
	// RetryAvoidance sends a retry to a server other than those of the failed attempts.
	RetryAvoidance Name = "retry-avoidance"
	// RetryBudget limits how much load retries add.
	RetryBudget Name = "retry-budget"
	// ServerBackoff sends no requests for a while to a server that rejected a request or failed.
	ServerBackoff Name = "server-backoff"
	// Starvation prevents starvation: a batch item that has waited long may fill a server completely.
	Starvation Name = "starvation"
)

const scorerPrefix = "scorer-"

// Scorer returns the mechanism name of a scorer that has a weight in the configuration.
func Scorer(name string) Name { return Name(scorerPrefix + name) }

// All returns all names, sorted.
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

// Has reports whether a mechanism is in the set.
func (s Set) Has(name Name) bool { return slices.Contains(s.names, name) }

// Parse parses a comma-separated set of names; "" is the empty set. The error for an unknown name
// lists the known ones.
func Parse(text string) (Set, error) {
	if text == "" {
		return Set{}, nil
	}
	known := All()
	out := Set{}
	for _, part := range strings.Split(text, ",") {
		name := Name(strings.TrimSpace(part))
		if !slices.Contains(known, name) {
			return Set{}, fmt.Errorf("unknown mechanism %q; known mechanisms are %v", name, known)
		}
		out.names = append(out.names, name)
	}
	return out, nil
}
