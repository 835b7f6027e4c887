package main

import (
	"context"
	"flag"
	"io"
	"net/netip"
)

// command is a command with its parsed arguments.
type command interface {
	// Apply makes the command's calls and prints their results.
	Apply(ctx context.Context, s *session) error
}

// session holds the client, output and environment of one run.
type session struct {
	client  *client
	out     io.Writer
	wording wording
	env     environment
}

// argumentParser builds a command from the arguments that follow its name and flags.
type argumentParser func(args []string) (command, error)

// subcommand is an entry in the command table.
type subcommand struct {
	name      string // a single word, or a group's name and a word
	former    string // spelling in the previous release, still accepted; "" if unchanged or new
	arguments string
	summary   string
	example   string // command line without the program name and -at ADDRESS
	offline   bool   // calls no daemon
	define    func(flags *flag.FlagSet) argumentParser
}

// groups maps the first word of each two-word command to a description of its group.
var groups = map[string]string{
	"config":    "the cluster's configuration: routes, pools, tenants and priority classes",
	"endpoints": "the model servers that requests are sent to",
	"store":     "the state and the retirement of one store",
	"request":   "callers' requests",
	"batch":     "callers' batches",
}

// subcommands lists all commands in the order in which the help shows them.
var subcommands = []subcommand{
	{name: "config put", former: "plan put", arguments: "[-base VERSION] FILE", summary: "check a configuration and put it in force",
		example: "config put -base 7 configuration.json", define: definePutConfiguration},
	{name: "config patch", arguments: "[-put] FILE", summary: "add, replace and remove named entries of the configuration in force",
		example: "config patch -put patch.json", define: definePatchConfiguration},
	{name: "config get", former: "plan get", arguments: "[VERSION]", summary: "print the configuration in force, or a version of it",
		example: "config get 7", define: defineGetConfiguration},
	{name: "config list", former: "plan list", summary: "list the versions that are kept, with who put them and when",
		example: "config list", define: withoutArguments(listConfigurations{})},
	{name: "config diff", former: "plan diff", arguments: "VERSION|FILE VERSION|FILE", summary: "print what changes from one configuration to another",
		example: "config diff 7 configuration.json", define: defineDiffConfigurations},
	{name: "config import", former: "plan import", arguments: "[-put] FILE", summary: "add the routes of an OpenAPI file to the configuration in force",
		example: "config import -put openapi.json", define: defineImportConfiguration},
	{name: "config check", former: "plan check", arguments: "FILE", summary: "check a configuration file; no daemon is needed",
		example: "config check configuration.json", offline: true, define: withArgument("file", func(file string) command { return checkConfiguration{file: file} })},

	{name: "members", former: "daemons", summary: "list the daemons of the cluster and their status",
		example: "members", define: withoutArguments(listMembers{})},
	{name: "core", summary: "print which core is primary",
		example: "core", define: withoutArguments(printDocument{path: pathCore})},
	{name: "counters", summary: "print the counters of the daemon that -at names",
		example: "counters", define: withoutArguments(printDocument{path: pathCounters})},
	{name: "risks", summary: "list what puts guarantees at risk now, over all daemons",
		example: "risks", define: withoutArguments(listRisks{})},
	{name: "acts", summary: "list who performs acts on outside systems, and the acts that are open",
		example: "acts", define: withoutArguments(listActs{})},
	{name: "quota", former: "purse", summary: "print the quota shares of the daemon that -at names",
		example: "quota", define: withoutArguments(printDocument{path: pathQuota})},

	{name: "endpoints list", former: "servers", summary: "list the model servers as the daemon that -at names sees them",
		example: "endpoints list", define: withoutArguments(listEndpoints{})},
	{name: "endpoints put", arguments: "FILE", summary: "replace the list of model servers; one that is not in the file is removed",
		example: "endpoints put servers.json", define: withArgument("file", func(file string) command { return putEndpoints{file: file} })},
	{name: "endpoints drain", former: "leaving", arguments: "SERVER", summary: "start nothing more on a model server; what runs there ends",
		example: "endpoints drain gpu-1", define: withArgument("server", func(name string) command { return setDraining{server: name, draining: true} })},
	{name: "endpoints undrain", former: "staying", arguments: "SERVER", summary: "end the draining of a model server",
		example: "endpoints undrain gpu-1", define: withArgument("server", func(name string) command { return setDraining{server: name} })},

	{name: "shards", former: "slots", summary: "list the shards of batches with primary, replicas and epoch",
		example: "shards", define: withoutArguments(listShards{})},
	{name: "stores", summary: "list the stores with their writer IDs and how many shards they own and replicate",
		example: "stores", define: withoutArguments(listStores{})},
	{name: "store show", former: "store", arguments: "STORE", summary: "print a store's own description of its state",
		example: "store show aa11", define: withArgument("store", showStore)},
	{name: "store retire", former: "retire", arguments: "STORE", summary: "move a store's shards to others; waits until nothing depends on it",
		example: "store retire aa11", define: withArgument("store", func(id string) command { return retireStore{id: id} })},
	{name: "store cancel", former: "unretire", arguments: "STORE", summary: "cancel the retirement of a store",
		example: "store cancel aa11", define: withArgument("store", func(id string) command { return cancelRetirement{id: id} })},

	{name: "request explain", former: "order", arguments: "REQUEST", summary: "print how a request was scheduled: the server, and each candidate's scores",
		example: "request explain b-1/7", define: withArgument("request", explainRequest)},
	{name: "request slowest", former: "slowest", summary: "print the slowest requests that the daemon that -at names remembers",
		example: "request slowest", define: withoutArguments(printDocument{path: pathRequests + "?slowest=20"})},
	{name: "batch status", former: "bundle", arguments: "BATCH", summary: "print a batch's store and replica, and which server ran which item",
		example: "batch status b-1", define: withArgument("batch", batchStatus)},
}

// withoutArguments defines a command that ignores its arguments.
func withoutArguments(c command) func(*flag.FlagSet) argumentParser {
	return func(*flag.FlagSet) argumentParser {
		return func([]string) (command, error) { return c, nil }
	}
}

// withArgument defines a command that takes exactly one argument; what names it in the error.
func withArgument(what string, newCommand func(argument string) command) func(*flag.FlagSet) argumentParser {
	return func(*flag.FlagSet) argumentParser {
		return func(args []string) (command, error) {
			argument, err := singleArgument(args, what)
			if err != nil {
				return nil, err
			}
			return newCommand(argument), nil
		}
	}
}

func singleArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usageError("name one %s", what)
	}
	return args[0], nil
}

// checkAddress reports a usage error if the -at address is not IP:port.
func (c *client) checkAddress() error {
	if _, err := netip.ParseAddrPort(c.address); err != nil {
		return usageError("-at %q is not an IP number with a port; name any daemon's http address", c.address)
	}
	return nil
}
