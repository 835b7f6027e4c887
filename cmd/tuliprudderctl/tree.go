package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// newRootCommand builds the ffcli command tree from the command table, under current names and
// former spellings.
func newRootCommand(s *session) *ffcli.Command {
	flags := newFlagSet(s, programName)
	flags.StringVar(&s.client.address, "at", defaultAddress(s.env.stderr, s.env.getenv), "HTTP `address` of a daemon, IP:port; without the flag that of "+addressVariable)
	flags.StringVar(&s.client.operator, "by", s.env.getenv("USER"), "`name` of who puts a configuration, kept with its version")
	root := &ffcli.Command{Name: programName, FlagSet: flags, Exec: showHelp}
	root.UsageFunc = func(*ffcli.Command) string { return rootHelp(flags) }
	for _, entry := range subcommands {
		addSubcommand(root, s, entry, entry.name, currentWording)
	}
	for _, entry := range subcommands {
		if entry.former != "" {
			addSubcommand(root, s, entry, entry.former, formerWording)
		}
	}
	return root
}

func newFlagSet(s *session, name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.env.stderr)
	return flags
}

func showHelp(context.Context, []string) error { return flag.ErrHelp }

// addSubcommand adds an entry to the tree under one of its spellings. If a former spelling is now
// the name of a group (store), the entry runs when the group is given arguments that match none of
// its commands.
func addSubcommand(root *ffcli.Command, s *session, entry subcommand, spelling string, words wording) {
	parent := root
	group, name, isGrouped := strings.Cut(spelling, " ")
	if isGrouped {
		parent = findOrAddGroup(root, s, group)
	} else {
		name = group
	}
	flags := newFlagSet(s, programName+" "+spelling)
	parseArguments := entry.define(flags)
	exec := func(ctx context.Context, args []string) error {
		s.wording = words
		if words.isFormer {
			fmt.Fprintf(s.env.stderr, "%s: %s is now %s; the old name is read for one release\n", programName, spelling, entry.name)
		}
		if !entry.offline {
			if err := s.client.checkAddress(); err != nil {
				return err
			}
		}
		command, err := parseArguments(args)
		if err != nil {
			return err
		}
		return command.Apply(ctx, s)
	}
	if existing := find(parent, name); existing != nil {
		existing.Exec = helpWithoutArguments(exec)
		return
	}
	parent.Subcommands = append(parent.Subcommands, &ffcli.Command{
		Name:      name,
		FlagSet:   flags,
		UsageFunc: func(*ffcli.Command) string { return subcommandHelp(entry, flags) },
		Exec:      exec,
	})
}

func helpWithoutArguments(exec func(context.Context, []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) == 0 {
			return flag.ErrHelp
		}
		return exec(ctx, args)
	}
}

func find(parent *ffcli.Command, name string) *ffcli.Command {
	for _, child := range parent.Subcommands {
		if child.Name == name {
			return child
		}
	}
	return nil
}

func findOrAddGroup(root *ffcli.Command, s *session, name string) *ffcli.Command {
	if group := find(root, name); group != nil {
		return group
	}
	group := &ffcli.Command{Name: name, FlagSet: newFlagSet(s, programName+" "+name), Exec: showHelp}
	group.UsageFunc = func(*ffcli.Command) string { return groupHelp(name) }
	root.Subcommands = append(root.Subcommands, group)
	return group
}
