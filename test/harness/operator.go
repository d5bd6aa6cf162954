package harness

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// Operator signs bundles and budget changes.
type Operator struct {
	Name string
	key  ed25519.PrivateKey
}

// newOperator creates an operator with a fresh key.
func newOperator(t testing.TB, name string) Operator {
	t.Helper()
	key, err := access.NewOperatorKey()
	if err != nil {
		t.Fatalf("harness: %v", err)
	}
	return Operator{Name: name, key: key}
}

// entry returns the operator's entry in the bundle.
func (o Operator) entry() bundle.Operator {
	return bundle.Operator{Name: o.Name, PublicKey: access.PublicKeyText(o.key)}
}

// bootstrapArgs returns the daemon flags that make the operator trusted before
// the first bundle.
func (o Operator) bootstrapArgs() []string {
	return []string{"--bootstrap-operator", o.Name + "=" + access.PublicKeyText(o.key)}
}

// Client returns a client of a daemon's admin API that signs as the operator.
func (o Operator) Client(d *Daemon) *admin.Client {
	return &admin.Client{URL: d.AdminURL(), Signer: access.Signer{Operator: o.Name, Key: o.key}, HTTP: controlClient}
}

// Submit signs a bundle and submits it as a proposal.
func (o Operator) Submit(ctx context.Context, d *Daemon, b bundle.Bundle) (admin.SubmitReply, error) {
	b = bundle.Normalized(b)
	signature, err := bundle.Sign(b, o.Name, o.key)
	if err != nil {
		return admin.SubmitReply{}, fmt.Errorf("sign bundle: %w", err)
	}
	return o.Client(d).Submit(ctx, bundle.Proposal{Author: o.Name, Bundle: b, Signatures: []bundle.Signature{signature}})
}

// SignOff signs off a bundle that another operator submitted.
func (o Operator) SignOff(ctx context.Context, d *Daemon, b bundle.Bundle, digest string) (admin.SubmitReply, error) {
	signature, err := bundle.Sign(bundle.Normalized(b), o.Name, o.key)
	if err != nil {
		return admin.SubmitReply{}, fmt.Errorf("sign bundle: %w", err)
	}
	return o.Client(d).SignOff(ctx, digest, signature)
}

// TopUp adds tokens to a budget. It repeats the call until a daemon confirms it
// or ctx ends. The id of the top-up makes the call idempotent.
func (o Operator) TopUp(ctx context.Context, daemons []*Daemon, budget string, t admin.TopUp) error {
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		if _, last = o.Client(daemons[i%len(daemons)]).TopUp(ctx, budget, t); last == nil {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("top up %s: %w", budget, errors.Join(ctx.Err(), last))
}
