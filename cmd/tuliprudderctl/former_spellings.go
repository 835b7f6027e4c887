package main

import (
	"fmt"
	"io"
)

// wording holds the output texts that depend on whether a command was called by its current name or
// by its former spelling. The former spelling keeps its former output because scripts may parse it.
// The comments name the arguments of the format strings.
type wording struct {
	isFormer bool

	memberAlive string

	healthy, unhealthy, draining, removed string
	drainingSet                           string // server name, whether it is draining

	shardHeader     string
	dependentShards string // store ID, number of shards

	answeredBy         string // daemon ID
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

// formerWording will be removed together with the former spellings in the next release.
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

// addressVariable is the environment variable with the daemon address to use if -at is not given.
// Its former name is still read in this release, with a deprecation warning.
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
