package main

import (
	"context"

	"github.com/integrii/flaggy"
)

// command is a leaf command and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

// addGroup adds a top-level command that only contains subcommands.
func (a *app) addGroup(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	a.parser.AttachSubcommand(sub, 1)
	return sub
}

// addCommand adds a leaf command to a group, or at the top level if the group is nil.
func (a *app) addCommand(group *flaggy.Subcommand, name, description string, run func(ctx context.Context) error) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if group == nil {
		a.parser.AttachSubcommand(sub, 1)
	} else {
		group.AttachSubcommand(sub, 1)
	}
	a.commands = append(a.commands, command{sub: sub, run: run})
	return sub
}
