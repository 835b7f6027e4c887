// Package roles puts together the daemon of each role (DESIGN §2): edge, store and core. A
// function New… takes what every daemon has (package host), makes the role's state machine
// from what the data folder holds, and connects the two; it also registers the role's
// metrics and its readiness. The programs and the platform's adapter only choose settings
// and listeners.
package roles
