package main

import (
	"fmt"
	"io"
)

// wording is the words of the output that differ between a command's name and its former
// spelling, whose output is what it was: scripts may read it. The formats take what
// their commands print.
type wording struct {
	isFormer bool

	memberAlive string

	healthy, unhealthy, draining, removed string
	drainingSet                           string // server's name, whether it drains

	shardHeader     string
	dependentShards string // store's ID, how many

	answeredBy         string // daemon's ID
	configurationValid string
	nothingPut         string
}

var currentWording = wording{
	memberAlive:        "alive",
	healthy:            "healthy",
	unhealthy:          "unhealthy",
	draining:           "draining",
	removed:            "removed",
	drainingSet:        "%s: draining %v; every daemon knows within about 3 s\n",
	shardHeader:        "SHARD",
	dependentShards:    "%s: %d shards depend on it\n",
	answeredBy:         "answered by %s\n",
	configurationValid: "the configuration is valid",
	nothingPut:         "nothing was put; give -put to put it",
}

// formerWording goes with the former spellings, in the next release.
var formerWording = wording{
	isFormer:           true,
	memberAlive:        "sound",
	healthy:            "sound",
	unhealthy:          "not sound",
	draining:           "leaving",
	removed:            "gone",
	drainingSet:        "%s: leaving %v; every daemon knows within about 3 s\n",
	shardHeader:        "SLOT",
	dependentShards:    "%s: %d slots depend on it\n",
	answeredBy:         "told by %s\n",
	configurationValid: "the plan is sound",
	nothingPut:         "nothing was put; say -put to put it",
}

// addressVariable is the environment variable that names a daemon's address where -at is
// left out; its former spelling is read for this release, with a warning.
const (
	addressVariable       = "TULIPRUDDERCTL_AT"
	formerAddressVariable = "WAYMARK_AT"
)

func defaultAddress(warnings io.Writer, getenv func(string) string) string {
	if address := getenv(addressVariable); address != "" {
		return address
	}
	address := getenv(formerAddressVariable)
	if address != "" {
		fmt.Fprintf(warnings, "%s: %s is now %s; the old name is read for one release\n", programName, formerAddressVariable, addressVariable)
	}
	return address
}
