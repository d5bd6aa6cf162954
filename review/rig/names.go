//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are names of PROTOCOL.md that Go files outside the folder platform must not spell.
var names = func() (n struct {
	Headers struct {
		ID, Deadline, Key, Model, Usage, Prefix, Expect, Tenant, Signature, NotRun, Load, Replica, Leaving string
	}
	Fields struct{ Routes, Kind, Cold string }
}) {
	check(json.Unmarshal(namesFile, &n))
	return n
}()

var headers, fields = names.Headers, names.Fields
