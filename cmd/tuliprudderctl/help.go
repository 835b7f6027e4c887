package main

import (
	"flag"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
)

// rootHelp returns the help text of the program.
func rootHelp(flags *flag.FlagSet) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s calls the administration API of a tuliprudder cluster's daemons.\n\n", programName)
	fmt.Fprintf(&b, "USAGE\n  %s -at ADDRESS COMMAND [FLAGS] [ARGUMENTS]\n\nCOMMANDS\n", programName)
	writeCommands(&b, subcommands)
	fmt.Fprintf(&b, "\nFLAGS, before the command\n")
	writeFlags(&b, flags)
	fmt.Fprintf(&b, "\nEXAMPLES\n  %s -at 10.0.0.1:7200 members\n  %s -at 10.0.0.1:7200 config put -base 7 configuration.json\n", programName, programName)
	b.WriteString("\nEXIT CODES\n  0  done\n  1  a daemon rejected the call, could not be reached, or the outcome is unknown\n  2  the command line is wrong, or help was asked for\n")
	fmt.Fprintf(&b, "\nFormer spellings, read for one release: %s\n", strings.Join(formerSpellings(), ", "))
	return b.String()
}

// groupHelp returns the help text of the commands whose current or former name begins with the
// group's word.
func groupHelp(group string) string {
	var members []subcommand
	for _, entry := range subcommands {
		if strings.HasPrefix(entry.name, group+" ") || strings.HasPrefix(entry.former, group+" ") {
			members = append(members, entry)
		}
	}
	var b strings.Builder
	if about := groups[group]; about != "" {
		fmt.Fprintf(&b, "%s %s: %s\n\n", programName, group, about)
	}
	b.WriteString("COMMANDS\n")
	writeCommands(&b, members)
	fmt.Fprintf(&b, "\n%s %s COMMAND -help has an example.\n", programName, group)
	return b.String()
}

// subcommandHelp returns the help text of one command.
func subcommandHelp(entry subcommand, flags *flag.FlagSet) string {
	at := " -at ADDRESS"
	if entry.offline {
		at = ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s\n\n", programName, entry.name, entry.summary)
	fmt.Fprintf(&b, "USAGE\n  %s\n", strings.TrimSpace(programName+at+" "+entry.name+" "+entry.arguments))
	if hasFlags(flags) {
		b.WriteString("\nFLAGS\n")
		writeFlags(&b, flags)
	}
	fmt.Fprintf(&b, "\nEXAMPLE\n  %s%s %s\n", programName, strings.Replace(at, "ADDRESS", "10.0.0.1:7200", 1), entry.example)
	return b.String()
}

func writeCommands(b *strings.Builder, entries []subcommand) {
	w := tabwriter.NewWriter(b, 0, 4, 2, ' ', 0)
	for _, entry := range entries {
		fmt.Fprintf(w, "  %s\t%s\n", strings.TrimSpace(entry.name+" "+entry.arguments), entry.summary)
	}
	w.Flush()
}

func writeFlags(b *strings.Builder, flags *flag.FlagSet) {
	w := tabwriter.NewWriter(b, 0, 4, 2, ' ', 0)
	flags.VisitAll(func(f *flag.Flag) {
		value, usage := flag.UnquoteUsage(f)
		fmt.Fprintf(w, "  %s\t%s\n", strings.TrimSpace("-"+f.Name+" "+strings.ToUpper(value)), usage)
	})
	w.Flush()
}

func hasFlags(flags *flag.FlagSet) (some bool) {
	flags.VisitAll(func(*flag.Flag) { some = true })
	return some
}

func formerSpellings() []string {
	var out []string
	for _, entry := range subcommands {
		if entry.former != "" {
			out = append(out, fmt.Sprintf("%s (%s)", entry.former, entry.name))
		}
	}
	sort.Strings(out)
	return out
}
