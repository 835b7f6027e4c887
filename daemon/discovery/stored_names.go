package discovery

// StampKey is the update key of the latest reading. This spelling is gossiped; it never
// changes.
const StampKey = "lookout"
