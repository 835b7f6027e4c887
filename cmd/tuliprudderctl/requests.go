package main

import (
	"net/url"

	"tuliprudder/internal/membership"
)

// explainRequest reads how a request was scheduled from the daemon that scheduled it; an
// item of a batch is BATCH/INDEX.
func explainRequest(id string) command {
	return printFromFirst{
		path:  pathRequests + "?order=" + url.QueryEscape(id),
		kinds: []string{membership.Edge, membership.Store},
	}
}

// batchStatus reads a batch's store and the servers of its items; any edge knows the store.
func batchStatus(id string) command {
	return printFromFirst{
		path:  pathBatches + url.PathEscape(id),
		kinds: []string{membership.Edge},
	}
}
