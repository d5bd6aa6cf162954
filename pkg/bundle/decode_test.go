package bundle

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a misspelt or repeated field being ignored silently, and
// against a second document in the input that no reviewer reads.
func TestDecodeIsStrict(t *testing.T) {
	cases := map[string]string{
		`{"base":1,"requird_signoffs":2}`:         "requird_signoffs",
		`{"base":1} {"base":2}`:                   "data after the end",
		`{"base":1,"base":2}`:                     "occurs twice",
		`{"base":1,"Base":2}`:                     "occurs twice",
		`{"operators":[{"name":"a","name":"b"}]}`: "occurs twice",
		`{"base":-1}`:                             "base",
		`{"base":`:                                "",
		``:                                        "empty",
		`{"customers":[{"grant_max_share":"half"}]}`: "grant_max_share",
	}
	for text, part := range cases {
		_, err := Decode([]byte(text))
		mustContain(t, err, "decode bundle", part)
	}
}

// Guards against memory exhaustion by a document of unlimited size.
func TestDecodeRejectsOversizedInput(t *testing.T) {
	_, err := Decode(make([]byte, MaxBytes+1))
	assert.ErrorIs(t, err, ErrTooLarge)
}

// Guards against a signature that no longer matches after a bundle was stored
// and read again.
func TestEncodeDecodeKeepsDigest(t *testing.T) {
	before, err := Digest(sample(3))
	assert.NilError(t, err)
	raw, err := Encode(sample(3))
	assert.NilError(t, err)
	b, err := Decode(raw)
	assert.NilError(t, err)
	after, err := Digest(b)
	assert.NilError(t, err)
	assert.Equal(t, before, after)
}

// Guards against equivalent bundles having different digests, and against
// different bundles having the same digest.
func TestDigestIdentifiesNormalizedBundle(t *testing.T) {
	plain, err := Digest(sample(3))
	assert.NilError(t, err)
	explicit := sample(3)
	explicit.Version = 4
	explicit.StaleBundle = ServeStale
	explicit.Customers[0].MaxShare = DefaultMaxShare
	same, err := Digest(explicit)
	assert.NilError(t, err)
	assert.Equal(t, plain, same)

	changes := []func(*Bundle){
		func(b *Bundle) { b.Base = 4 },
		func(b *Bundle) { b.RequiredSignoffs = 1 },
		func(b *Bundle) { b.Operators = b.Operators[:2] },
		func(b *Bundle) { b.Customers[0].MaxShare = 0.3 },
		func(b *Bundle) { b.Services[1].CallCost++ },
	}
	for i, change := range changes {
		b := sample(3)
		change(&b)
		other, err := Digest(b)
		assert.NilError(t, err)
		assert.Assert(t, other != plain, "change %d does not change the digest", i)
	}
}

// Guards against Normalized writing defaults into the caller's bundle.
func TestNormalizedDoesNotModifyInput(t *testing.T) {
	b := sample(3)
	before, err := json.Marshal(b)
	assert.NilError(t, err)
	_ = Normalized(b)
	after, err := json.Marshal(b)
	assert.NilError(t, err)
	assert.Equal(t, string(before), string(after))
}
