// Package config parses and validates the operators' configurations and looks up their entries: the
// priority classes, tenants, server pools and routes of a deployment (docs/DESIGN.md section 8.1).
//
// Parse takes a JSON document and returns a Configuration, or one error of kind
// errs.InvalidConfiguration that lists every fault (Fault) with its path and remedy.
// Documents are checked by hand-written code, one function per section, because a decoder
// stops at the first fault and accepts unknown fields.
//
// A Configuration must not be changed once it has been parsed or indexed; any number of
// goroutines may then read it.
package config
