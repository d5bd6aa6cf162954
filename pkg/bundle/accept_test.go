package bundle

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func inForce(version uint64) *Bundle {
	b := Normalized(sample(version - 1))
	return &b
}

// Guards against a version coming into force without the sign-offs that the
// bundle in force requires.
func TestCanAcceptCountsDistinctOperators(t *testing.T) {
	next := sample(1)
	next.RequiredSignoffs = 1 // must not lower the number required for its own acceptance
	cases := []struct {
		name       string
		signatures []Signature
		ok         bool
	}{
		{"two operators", signed(t, next, "alice", "bob"), true},
		{"one operator", signed(t, next, "alice"), false},
		{"one operator twice", append(signed(t, next, "alice"), signed(t, next, "alice")...), false},
		{"signer who is not an operator", signed(t, next, "alice", "mallory"), false},
		{"signature under another operator's name", []Signature{signed(t, next, "alice")[0], {Operator: "bob", Value: signed(t, next, "alice")[0].Value}}, false},
		{"signature of another bundle", append(signed(t, next, "alice"), signed(t, sample(1), "bob")...), false},
		{"none", nil, false},
	}
	for _, c := range cases {
		p := Proposal{Author: "alice", Bundle: next, Signatures: c.signatures}
		err := CanAccept(inForce(1), p, operatorsOf("alice", "bob", "mallory"))
		var missing *SignoffError
		assert.Equal(t, err == nil, c.ok, "%s: %v", c.name, err)
		assert.Equal(t, errors.As(err, &missing), !c.ok, c.name)
	}
}

// Guards against a bundle being accepted with signatures of operators that only
// the bundle itself adds.
func TestCanAcceptIgnoresNewOperators(t *testing.T) {
	next := sample(1)
	next.Operators = operatorsOf("alice", "dave", "erin")
	p := Proposal{Author: "dave", Bundle: next, Signatures: signed(t, next, "dave", "erin")}
	var missing *SignoffError
	assert.Assert(t, errors.As(CanAccept(inForce(1), p, nil), &missing))
	assert.DeepEqual(t, missing.Missing, []string{"alice", "bob", "carol"})
}

// Guards against a lost update when two operators edit the same version.
func TestCanAcceptRequiresBaseInForce(t *testing.T) {
	for _, base := range []uint64{0, 1, 3} {
		p := Proposal{Bundle: sample(base), Signatures: signed(t, sample(base), "alice", "bob")}
		var conflict *ConflictError
		err := CanAccept(inForce(2), p, nil)
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.InForce, uint64(2))
		mustContain(t, err, "version 2 is in force")
	}
}

// Guards against a first bundle being accepted without the signature of every
// bootstrap operator, or without any signature because none is configured.
func TestCanAcceptFirstBundle(t *testing.T) {
	first := sample(0)
	bootstrap := operatorsOf("alice", "bob")
	both := Proposal{Bundle: first, Signatures: signed(t, first, "alice", "bob")}
	assert.NilError(t, CanAccept(nil, both, bootstrap))
	one := Proposal{Bundle: first, Signatures: signed(t, first, "alice")}
	mustContain(t, CanAccept(nil, one, bootstrap), "1 of 2", "bob")
	mustContain(t, CanAccept(nil, both, nil), "bootstrap")
}

// Guards against an invalid bundle being accepted because it has enough signatures.
func TestCanAcceptRejectsInvalidBundle(t *testing.T) {
	bad := sample(1)
	bad.Customers[0].Budget = ""
	var found *CheckError
	p := Proposal{Bundle: bad, Signatures: signed(t, bad, "alice", "bob")}
	assert.Assert(t, errors.As(CanAccept(inForce(1), p, nil), &found))
}
