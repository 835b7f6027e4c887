package execution

// Outputs of failed items. They are stored with the result and read by the tenant, so their wording
// must not change.
const (
	outputRouteRemoved      = "the route is not in the plan any more"
	outputRetentionExceeded = "no server finished it within the time its route keeps items"
	// The following three are completed with the reason of the last attempt's failure.
	outputNotFinished    = "no server finished it: "
	outputAttemptsFailed = "its attempts have failed: "
	outputRejected       = "the server rejected it: "
	// Reason used if the last attempt failed under a previous owner of the shard.
	reasonEarlierOwner = "under an earlier owner"
)
