package main

import (
	"context"

	"github.com/integrii/flaggy"
)

// command is one leaf command and what it runs.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

// group creates a command that only holds others.
func (a *app) group(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	a.parser.AttachSubcommand(sub, 1)
	return sub
}

// command creates a leaf command below a group, or at the top if it is nil.
func (a *app) command(group *flaggy.Subcommand, name, description string, run func(ctx context.Context) error) *flaggy.Subcommand {
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
