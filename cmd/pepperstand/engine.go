package main

import (
	"context"
	"errors"

	"github.com/integrii/flaggy"
)

func engineCommand() command {
	return command{
		sub: flaggy.NewSubcommand("engine"),
		run: func(context.Context) error { return errors.New("not implemented") },
	}
}
