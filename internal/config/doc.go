// Package config reads, checks and looks up the operators' configurations: the priority
// classes, tenants, server pools and routes of a deployment (docs/DESIGN.md section 8.1).
//
// Parse takes a JSON document and returns a Configuration, or one error of kind
// errs.InvalidConfiguration that lists every fault (Fault) with its path and remedy.
// Documents are checked by hand-written code, one function a section, because a decoder
// stops at the first fault and lets unknown fields pass.
//
// A Configuration that was parsed or indexed is not changed any more; any number of
// goroutines may read it.
package config
