package main

import (
	"context"
	"crypto/ed25519"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// keyFlags holds the flags of the keys commands.
type keyFlags struct {
	name string
	out  string
}

func (a *app) registerKeys() {
	group := a.addGroup("keys", "generate keys")

	var operator keyFlags
	sub := a.addCommand(group, "operator", "generate an operator key and print its bundle entry", func(context.Context) error {
		return a.newOperatorKey(operator)
	})
	sub.String(&operator.name, "", "name", "name of the operator")
	sub.String(&operator.out, "", "out", "file to create for the private key")

	var customer keyFlags
	sub = a.addCommand(group, "customer", "generate an API key and print its hash for the bundle", func(context.Context) error {
		return a.newCustomerKey(customer)
	})
	sub.String(&customer.out, "", "out", "file to create for the API key")
}

func (a *app) newOperatorKey(f keyFlags) error {
	if !bundle.ValidID(f.name) {
		return newUsageError("--name", f.name, "1 to 64 characters out of a-z A-Z 0-9 . _ -")
	}
	if err := requireFlag("--out", f.out, "a file name that does not exist yet"); err != nil {
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
	return a.printResult(entry, func() {
		fmt.Fprintf(a.stdout, "operators entry: {\"name\": %q, \"public_key\": %q}\n", entry.Name, entry.PublicKey)
		fmt.Fprintf(a.stdout, "--bootstrap-operator: %s=%s\n", entry.Name, entry.PublicKey)
	})
}

// customerKeyOutput is the output of keys customer. The API key itself is only
// written to the file.
type customerKeyOutput struct {
	KeyHash string `json:"key_hash"`
}

func (a *app) newCustomerKey(f keyFlags) error {
	if err := requireFlag("--out", f.out, "a file name that does not exist yet"); err != nil {
		return err
	}
	key := access.NewAPIKey()
	if err := access.WriteAPIKey(f.out, key); err != nil {
		return err
	}
	output := customerKeyOutput{KeyHash: access.HashAPIKey(key)}
	return a.printResult(output, func() { fmt.Fprintln(a.stdout, "key_hashes entry:", output.KeyHash) })
}
