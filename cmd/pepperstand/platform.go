package main

import (
	"context"
	"errors"

	"github.com/integrii/flaggy"
)

func platformCommand() command {
	return command{
		sub: flaggy.NewSubcommand("platform"),
		run: func(context.Context) error { return errors.New("not implemented") },
	}
}
