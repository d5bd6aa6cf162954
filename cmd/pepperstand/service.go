package main

import (
	"context"
	"errors"

	"github.com/integrii/flaggy"
)

func serviceCommand() command {
	return command{
		sub: flaggy.NewSubcommand("service"),
		run: func(context.Context) error { return errors.New("not implemented") },
	}
}
