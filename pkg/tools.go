//go:build tools

// Package pkg keeps the libraries of the project in go.mod until each has a user.
package pkg

import (
	_ "github.com/alexedwards/flow"
	_ "github.com/integrii/flaggy"
	_ "github.com/phuslu/log"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/qmuntal/stateless"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
