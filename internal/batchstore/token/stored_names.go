package token

// KeyPrefix begins the key of a writer's announcement among the gossiped updates. This
// spelling is gossiped; it never changes.
const KeyPrefix = "writer/"

// tokenVersion is the first byte of a position token. Callers hold tokens; the byte never
// changes for this form.
const tokenVersion = 1
