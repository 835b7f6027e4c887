package main

import (
	"net/url"

	"tuliprudder/internal/membership"
)

// explainRequest prints how a request was scheduled, as recorded by the daemon that scheduled it.
// The ID of a batch item is BATCH/INDEX.
func explainRequest(id string) command {
	return printFromFirst{
		path:  pathRequests + "?order=" + url.QueryEscape(id),
		kinds: []string{membership.Edge, membership.Store},
	}
}

// batchStatus prints a batch's store and the servers that ran its items. Any edge can locate the
// store.
func batchStatus(id string) command {
	return printFromFirst{
		path:  pathBatches + url.PathEscape(id),
		kinds: []string{membership.Edge},
	}
}
