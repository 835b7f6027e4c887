package shard

// HashItems returns the hash by which a store distinguishes a repeated batch from a different one with the
// same ID. The hash is stored, so its inputs must not change.
func HashItems(routeName string, items []Item) string {
	parts := []string{routeName}
	for _, item := range items {
		content := item.Input
		if item.Request != nil {
			content = string(item.Request.Body)
		}
		parts = append(parts, item.ID, content)
	}
	return Hash(parts...)
}

// IsRepeatedBy reports whether a submission with the batch's ID is the batch once more. The route of opaque
// requests may have another name by now, so their items are also compared under the stored name.
func (b *Batch) IsRepeatedBy(submission *Batch) bool {
	if !b.IsForwarded() {
		return b.Hash == submission.Hash
	}
	if !b.mayShareRoute(submission) {
		return false
	}
	return b.Hash == submission.Hash || b.Hash == HashItems(b.Route, submission.Items)
}

// mayShareRoute reports whether the routes of two batches of opaque requests may select the same request: the
// routes with longer and shorter path prefixes around a batch's path come and go. Without the IDs of both
// routes it compares the hosts of their requests, and is true if they are not known, as after archiving.
func (b *Batch) mayShareRoute(other *Batch) bool {
	if b.RouteID != "" && other.RouteID != "" {
		return b.RouteID.Overlaps(other.RouteID)
	}
	host, otherHost := b.RouteReference().Host, other.RouteReference().Host
	return host == "" || otherHost == "" || host == otherHost
}
