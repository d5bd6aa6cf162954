package bundle

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against Check rejecting a valid bundle.
func TestCheckAcceptsSample(t *testing.T) {
	assert.NilError(t, Check(sample(0)))
}

// Guards against an invalid bundle passing Check, and against a problem that
// names another field. Each case violates one rule.
func TestCheckNamesField(t *testing.T) {
	cases := []struct {
		path   string
		change func(*Bundle)
	}{
		{"operators", func(b *Bundle) { b.Operators = nil }},
		{"required_signoffs", func(b *Bundle) { b.RequiredSignoffs = 0 }},
		{"required_signoffs", func(b *Bundle) { b.RequiredSignoffs = 4 }},
		{"operators[1].name", func(b *Bundle) { b.Operators[1].Name = "alice" }},
		{"operators[1].name", func(b *Bundle) { b.Operators[1].Name = "" }},
		{"operators[2].public_key", func(b *Bundle) { b.Operators[2].PublicKey = b.Operators[0].PublicKey }},
		{"operators[0].public_key", func(b *Bundle) { b.Operators[0].PublicKey = "AAAA" }},
		{"operators[0].public_key", func(b *Bundle) {
			b.Operators[0].PublicKey = b.Operators[0].PublicKey[:8] + "\n" + b.Operators[0].PublicKey[8:]
		}},
		{"version", func(b *Bundle) { b.Version = 7 }},
		{"base", func(b *Bundle) { b.Base = maxBase + 1 }},
		{"customers[1].id", func(b *Bundle) { b.Customers[1].ID = "regie" }},
		{"customers[0].id", func(b *Bundle) { b.Customers[0].ID = "a/b" }},
		{"customers[0].id", func(b *Bundle) { b.Customers[0].ID = strings.Repeat("x", MaxIDLength+1) }},
		{"customers[0].key_hashes[0]", func(b *Bundle) { b.Customers[0].KeyHashes[0] = "abc" }},
		{"customers[0].key_hashes[0]", func(b *Bundle) { b.Customers[0].KeyHashes[0] = strings.Repeat("A", keyHashDigits) }},
		{"customers[1].key_hashes[0]", func(b *Bundle) { b.Customers[1].KeyHashes[0] = keyHash(1) }},
		{"customers[1].key_hashes[1]", func(b *Bundle) { b.Customers[1].KeyHashes[1] = keyHash(2) }},
		{"customers[0].services[1]", func(b *Bundle) { b.Customers[0].Services[1] = "nope" }},
		{"customers[0].services[1]", func(b *Bundle) { b.Customers[0].Services[1] = "chef-llm" }},
		{"customers[0].budget", func(b *Bundle) { b.Customers[0].Budget = "" }},
		{"customers[1].budgets[0]", func(b *Bundle) { b.Customers[1].Budgets[0] = "regie-main" }},
		{"customers[0].max_priority", func(b *Bundle) { b.Customers[0].MaxPriority = 10 }},
		{"customers[0].grant_cover_seconds", func(b *Bundle) { b.Customers[0].CoverSeconds = -1 }},
		{"customers[0].grant_min_tokens", func(b *Bundle) { b.Customers[0].MinTokens = -1 }},
		{"customers[0].grant_max_share", func(b *Bundle) { b.Customers[0].MaxShare = 1.1 }},
		{"services[1].name", func(b *Bundle) { b.Services[1].Name = "chef-llm" }},
		{"services[0].model", func(b *Bundle) { b.Services[0].Model = "" }},
		{"services[1].model", func(b *Bundle) { b.Services[1].Model = "chef" }},
		{"services[0].kind", func(b *Bundle) { b.Services[0].Kind = "magic" }},
		{"services[0].max_output", func(b *Bundle) { b.Services[0].MaxOutput = -1 }},
		{"services[1].max_output", func(b *Bundle) { b.Services[1].MaxOutput = 5 }},
		{"services[0].call_cost", func(b *Bundle) { b.Services[0].CallCost = 5 }},
		{"services[1].call_cost", func(b *Bundle) { b.Services[1].CallCost = -5 }},
		{"services[1].non_idempotent[0]", func(b *Bundle) { b.Services[1].NonIdempotent[0] = "orders" }},
		{"services[0].slow_start_seconds", func(b *Bundle) { b.Services[0].SlowStart = -1 }},
		{"stale_bundle", func(b *Bundle) { b.StaleBundle = "maybe" }},
		{"stale_bundle_seconds", func(b *Bundle) { b.StaleBundle = RefuseStale; b.StaleBundleSeconds = -1 }},
	}
	for _, c := range cases {
		b := sample(0)
		c.change(&b)
		err := Check(b)
		var found *CheckError
		assert.Assert(t, errors.As(err, &found), "%s", c.path)
		named := slices.ContainsFunc(found.Problems, func(p Problem) bool { return p.Path == c.path && p.Allowed != "" })
		assert.Assert(t, named, "no problem names the field %s: %v", c.path, err)
	}
}

// Guards against Check reporting only the first problem, so that each one costs
// the operator another submission.
func TestCheckListsEveryProblem(t *testing.T) {
	b := sample(0)
	b.RequiredSignoffs = 9
	b.Customers[0].MaxPriority = 99
	b.Services[0].Kind = "magic"
	mustContain(t, Check(b), "required_signoffs: 9 is not allowed: 1 to 3", "max_priority: 99", `kind: "magic"`)
}

// Guards against bootstrap operators that share a key, and against an empty list.
func TestCheckOperators(t *testing.T) {
	o := operatorsOf("alice", "bob")
	assert.NilError(t, CheckOperators(o))
	mustContain(t, CheckOperators(nil), "operators")
	o[1].PublicKey = o[0].PublicKey
	mustContain(t, CheckOperators(o), "operators[1].public_key")
}
