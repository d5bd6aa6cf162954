package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// bundleArgs holds the arguments and flags of the bundle commands.
type bundleArgs struct {
	first  string // bundle file, bundle reference or digest of a proposal
	second string // second bundle reference of bundle diff; empty if not given
	next   bool   // print the bundle with the version in force as its base, to edit it into the next version
}

func (a *app) registerBundle() {
	group := a.addGroup("bundle", "check, review and bring into force bundles")

	var check bundleArgs
	sub := a.addCommand(group, "check", "check a bundle file", func(context.Context) error { return a.checkBundle(check.first) })
	sub.AddPositionalValue(&check.first, "file", 1, true, "bundle file")

	var diff bundleArgs
	sub = a.addCommand(group, "diff", "show what changes between two bundles", func(ctx context.Context) error { return a.diffBundles(ctx, diff) })
	sub.AddPositionalValue(&diff.first, "old", 1, true, refForms+"; alone: the new bundle, compared with current")
	sub.AddPositionalValue(&diff.second, "new", 2, false, refForms)

	var submit bundleArgs
	sub = a.addCommand(group, "submit", "sign a bundle file and submit it", func(ctx context.Context) error { return a.submitBundle(ctx, submit.first) })
	sub.AddPositionalValue(&submit.first, "file", 1, true, "bundle file")

	var sign bundleArgs
	sub = a.addCommand(group, "sign", "show what a proposal changes and sign it off", func(ctx context.Context) error { return a.signBundle(ctx, sign.first) })
	sub.AddPositionalValue(&sign.first, "digest", 1, true, "digest of the proposal")

	a.addCommand(group, "status", "show the version in force, open proposals and the version of each host", a.showBundleStatus)

	show := bundleArgs{first: refCurrent}
	sub = a.addCommand(group, "show", "print a bundle as JSON", func(ctx context.Context) error { return a.showBundle(ctx, show) })
	sub.AddPositionalValue(&show.first, "bundle", 1, false, refForms)
	sub.Bool(&show.next, "", "next", "print it as the start of the next version, on the version in force")
}

func (a *app) checkBundle(path string) error {
	b, err := readBundleFile(path)
	if err != nil {
		return err
	}
	if err := bundle.Check(b); err != nil {
		return a.invalidBundle(path, err)
	}
	digest, err := bundle.Digest(b)
	if err != nil {
		return err
	}
	result := checkResult{Digest: digest, Base: b.Base, Version: bundle.Normalized(b).Version}
	return a.printResult(result, func() {
		fmt.Fprintf(a.stdout, "good: becomes version %d on base %d\ndigest: %s\n", result.Version, result.Base, result.Digest)
	})
}

// checkResult is the output of bundle check for a valid bundle.
type checkResult struct {
	Digest  string `json:"digest"`
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
}

// invalidBundle converts the problems of a bundle to a usage error, so that the
// exit code is the one for bad input. With --json the problems are printed.
func (a *app) invalidBundle(path string, err error) error {
	var checkErr *bundle.CheckError
	if !errors.As(err, &checkErr) {
		return err
	}
	if a.settings.jsonOutput {
		return errors.Join(newUsageError("bundle", path, fmt.Sprintf("%d problems", len(checkErr.Problems))), a.printResult(checkErr, nil))
	}
	return newUsageError("bundle", path, fmt.Sprintf("it has %d problems:\n%v", len(checkErr.Problems), checkErr))
}

func (a *app) diffBundles(ctx context.Context, args bundleArgs) error {
	if args.second == "" {
		args = bundleArgs{first: refCurrent, second: args.first}
	}
	oldBundle, err := a.loadOldBundle(ctx, args.first)
	if err != nil {
		return err
	}
	newBundle, err := a.loadBundle(ctx, args.second)
	if err != nil {
		return err
	}
	return a.showChanges(bundle.Diff(oldBundle, newBundle))
}

// loadOldBundle reads the old bundle of a comparison. The reference to the
// current version yields an empty bundle while no version is in force.
func (a *app) loadOldBundle(ctx context.Context, ref string) (bundle.Bundle, error) {
	if ref != refCurrent {
		return a.loadBundle(ctx, ref)
	}
	client, err := a.settings.client()
	if err != nil {
		return bundle.Bundle{}, err
	}
	return loadCurrentOrEmpty(ctx, client)
}

func (a *app) showChanges(changes []bundle.Change) error {
	if changes == nil {
		changes = []bundle.Change{}
	}
	return a.printResult(changes, func() { a.printChanges(changes) })
}

func (a *app) printChanges(changes []bundle.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(a.stdout, "no change")
	}
	for _, c := range changes {
		fmt.Fprintln(a.stdout, c)
	}
}

func (a *app) submitBundle(ctx context.Context, path string) error {
	b, err := readBundleFile(path)
	if err != nil {
		return err
	}
	if err := bundle.Check(b); err != nil {
		return a.invalidBundle(path, err)
	}
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	signature, err := bundle.Sign(b, client.Signer.Operator, client.Signer.Key)
	if err != nil {
		return err
	}
	reply, err := client.Submit(ctx, bundle.Proposal{
		Author:     client.Signer.Operator,
		Bundle:     bundle.Normalized(b),
		Signatures: []bundle.Signature{signature},
	})
	if err != nil {
		return err
	}
	return a.showProgress(reply)
}

// signBundle shows the changes of a proposal and signs it. It computes the digest
// from the received bundle, so that a daemon cannot substitute another bundle for
// the one that the operator named.
func (a *app) signBundle(ctx context.Context, digest string) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	proposal, err := findProposal(ctx, client, digest)
	if err != nil {
		return err
	}
	computedDigest, err := bundle.Digest(proposal.Proposal.Bundle)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(computedDigest, digest) {
		return fmt.Errorf("the daemon sent a bundle with digest %s, not %s: nothing was signed", computedDigest, digest)
	}
	current, err := loadCurrentOrEmpty(ctx, client)
	if err != nil {
		return err
	}
	if !a.settings.jsonOutput {
		a.printChanges(bundle.Diff(current, proposal.Proposal.Bundle))
	}
	signature, err := bundle.Sign(proposal.Proposal.Bundle, client.Signer.Operator, client.Signer.Key)
	if err != nil {
		return err
	}
	reply, err := client.SignOff(ctx, computedDigest, signature)
	if err != nil {
		return err
	}
	return a.showProgress(reply)
}

func (a *app) showProgress(reply admin.SubmitReply) error {
	return a.printResult(reply, func() {
		p := reply.Progress
		for _, warning := range reply.Warnings {
			fmt.Fprintln(a.stderr, "peppertrail: warning:", warning)
		}
		fmt.Fprintf(a.stdout, "digest: %s\n", p.Digest)
		if p.InForce {
			fmt.Fprintf(a.stdout, "version %d is in force\n", p.Version)
			return
		}
		fmt.Fprintf(a.stdout, "version %d waits: %d of %d sign-offs, signed by %s, may be signed by %s\n",
			p.Version, len(p.SignedBy), p.Required, strings.Join(p.SignedBy, ", "), strings.Join(p.Missing, ", "))
	})
}

func (a *app) showBundle(ctx context.Context, args bundleArgs) error {
	b, err := a.loadBundle(ctx, args.first)
	if err != nil {
		return err
	}
	b = bundle.Normalized(b)
	if args.next {
		if b, err = a.asNextVersion(ctx, b); err != nil {
			return err
		}
	}
	a.settings.jsonOutput = true
	return a.printResult(b, nil)
}

// asNextVersion returns the bundle with the version in force as its base.
func (a *app) asNextVersion(ctx context.Context, b bundle.Bundle) (bundle.Bundle, error) {
	client, err := a.settings.client()
	if err != nil {
		return b, err
	}
	current, err := loadCurrentOrEmpty(ctx, client)
	if err != nil {
		return b, err
	}
	b.Base = current.Version
	return bundle.Normalized(b), nil
}
