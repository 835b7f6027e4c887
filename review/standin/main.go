// The stand-ins of the review's scripts: a small fleet of the project's own programs on loopback
// addresses, with an operator, clients, model servers and the platform's list. Arguments: the name
// of a case and the file of its record. TROUBLE=0 leaves the disruption out. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	ruleKept  = 0
	broken    = 1
	cannotRun = 2
)

// cases are the scripts, by name.
var cases = map[string]func(r *record, disrupted bool) (code int, err error){
	"boot":      boot,
	"boot-loss": bootLoss,
	"drain":     drain,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "give the name of a case and the file of its record")
		os.Exit(cannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("couldn't run: %v", err)
		code = cannotRun
	}
	r.say("exit %d (0 held, 1 broken, 2 couldn't run)", code)
	os.Exit(code)
}

// program is the build of the deploy file.
func program() string {
	if name := os.Getenv("PROGRAM"); name != "" {
		return name
	}
	return "target/tuliprudder"
}
