package config

import (
	"fmt"

	"tuliprudder/internal/errs"
)

// maxFaults is how many faults of one document are listed; further ones are omitted.
const maxFaults = 200

// Fault is one error in a document.
type Fault struct {
	Path    string // of the field, such as $.classes[0].rank
	Problem string
	Remedy  string // "" if the problem implies it
}

// String formats the fault as operators see it.
func (f Fault) String() string {
	if f.Remedy == "" {
		return f.Path + ": " + f.Problem
	}
	return f.Path + ": " + f.Problem + "; " + f.Remedy
}

// parser collects the faults of one document while its sections are read.
type parser struct{ faults []Fault }

func (p *parser) addFault(path, problem, remedy string) {
	if len(p.faults) < maxFaults {
		p.faults = append(p.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
	}
}

// err returns an error that lists all faults; nil if there are none.
func (p *parser) err() error {
	if len(p.faults) == 0 {
		return nil
	}
	out := &errs.Error{
		Kind:    errs.InvalidConfiguration,
		Message: fmt.Sprintf("the configuration has %s; the one in force stays", errs.Count(len(p.faults), "fault")),
		Remedy:  "correct each listed field and submit the configuration again",
	}
	for _, fault := range p.faults {
		out.Faults = append(out.Faults, fault.String())
	}
	return out
}

// uniqueNames detects duplicate names among the entries of one kind.
type uniqueNames struct {
	kind string // of entry, for the fault's text
	seen map[string]bool
}

func newUniqueNames(kind string) uniqueNames { return uniqueNames{kind: kind, seen: map[string]bool{}} }

// add records the name at a path, and adds a fault if it is taken. Empty names are reported elsewhere.
func (u uniqueNames) add(p *parser, path, name string) {
	if name == "" {
		return
	}
	if u.seen[name] {
		p.addFault(path, fmt.Sprintf("%s %q is defined twice", u.kind, name), "give each a unique name")
	}
	u.seen[name] = true
}
