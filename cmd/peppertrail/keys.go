package main

import (
	"context"
	"crypto/ed25519"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// newKeyFlags are the flags of the key commands.
type newKeyFlags struct {
	name string
	out  string
}

func (a *app) registerKeys() {
	group := a.group("keys", "generate keys")

	var operator newKeyFlags
	sub := a.command(group, "operator", "generate an operator key and print its bundle entry", func(context.Context) error {
		return a.newOperatorKey(operator)
	})
	sub.String(&operator.name, "", "name", "name of the operator")
	sub.String(&operator.out, "", "out", "file to create for the private key")

	var customer newKeyFlags
	sub = a.command(group, "customer", "generate an API key and print its hash for the bundle", func(context.Context) error {
		return a.newCustomerKey(customer)
	})
	sub.String(&customer.out, "", "out", "file to create for the API key")
}

func (a *app) newOperatorKey(f newKeyFlags) error {
	if !bundle.ValidID(f.name) {
		return usage("--name", f.name, "1 to 64 characters out of a-z A-Z 0-9 . _ -")
	}
	if err := required("--out", f.out, "a file name that does not exist yet"); err != nil {
		return err
	}
	key, err := access.NewOperatorKey()
	if err != nil {
		return err
	}
	if err := access.WriteOperatorKey(f.out, key); err != nil {
		return err
	}
	entry := bundle.NewOperator(f.name, key.Public().(ed25519.PublicKey))
	return a.show(entry, func() {
		fmt.Fprintf(a.stdout, "operators entry: {\"name\": %q, \"public_key\": %q}\n", entry.Name, entry.PublicKey)
		fmt.Fprintf(a.stdout, "--bootstrap-operator: %s=%s\n", entry.Name, entry.PublicKey)
	})
}

// customerKey is the printed half of a new API key.
type customerKey struct {
	KeyHash string `json:"key_hash"`
}

func (a *app) newCustomerKey(f newKeyFlags) error {
	if err := required("--out", f.out, "a file name that does not exist yet"); err != nil {
		return err
	}
	key := access.NewAPIKey()
	if err := access.WriteAPIKey(f.out, key); err != nil {
		return err
	}
	hash := customerKey{KeyHash: access.HashAPIKey(key)}
	return a.show(hash, func() { fmt.Fprintln(a.stdout, "key_hashes entry:", hash.KeyHash) })
}
