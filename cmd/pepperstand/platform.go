package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/standin/platform"
)

func platformCommand() command {
	listen := "127.0.0.1:0"
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "stand-in of the platform: table, object store, membership list"
	sub.String(&listen, "", "listen", "TCP address to listen on; port 0 picks a free port")
	return command{
		sub: sub,
		run: func(ctx context.Context) error {
			return platform.Run(ctx, listen, func(addr string) { fmt.Println("listening", addr) })
		},
	}
}
