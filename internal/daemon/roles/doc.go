// Package roles assembles the daemon of each role (DESIGN §2): edge, store and core. Each
// New… function takes the parts that all daemons share (package host), makes the role's
// state machine from the contents of the data folder, and connects the two. It also
// registers the role's metrics and its readiness check. The programs and the platform
// adapter only choose settings and listeners.
package roles
