package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// bundleArgs are the arguments of the bundle commands.
type bundleArgs struct {
	first  string
	second string
	next   bool
}

func (a *app) registerBundle() {
	group := a.group("bundle", "check, review and bring into force bundles")

	var check bundleArgs
	sub := a.command(group, "check", "check a bundle file", func(context.Context) error { return a.checkBundle(check.first) })
	sub.AddPositionalValue(&check.first, "file", 1, true, "bundle file")

	var diff bundleArgs
	sub = a.command(group, "diff", "show what changes between two bundles", func(ctx context.Context) error { return a.diffBundles(ctx, diff) })
	sub.AddPositionalValue(&diff.first, "old", 1, true, refAllowed+"; alone: the new bundle, compared with current")
	sub.AddPositionalValue(&diff.second, "new", 2, false, refAllowed)

	var submit bundleArgs
	sub = a.command(group, "submit", "sign a bundle file and submit it", func(ctx context.Context) error { return a.submitBundle(ctx, submit.first) })
	sub.AddPositionalValue(&submit.first, "file", 1, true, "bundle file")

	var sign bundleArgs
	sub = a.command(group, "sign", "show what a proposal changes and sign it off", func(ctx context.Context) error { return a.signBundle(ctx, sign.first) })
	sub.AddPositionalValue(&sign.first, "digest", 1, true, "digest of the proposal")

	a.command(group, "status", "show the version in force, open proposals and the version of each host", a.bundleStatus)

	show := bundleArgs{first: refCurrent}
	sub = a.command(group, "show", "print a bundle as JSON", func(ctx context.Context) error { return a.showBundle(ctx, show) })
	sub.AddPositionalValue(&show.first, "bundle", 1, false, refAllowed)
	sub.Bool(&show.next, "", "next", "print it as the start of the next version, on the version in force")
}

func (a *app) checkBundle(path string) error {
	b, err := readBundleFile(path)
	if err != nil {
		return err
	}
	if err := bundle.Check(b); err != nil {
		return a.badBundle(path, err)
	}
	digest, err := bundle.Digest(b)
	if err != nil {
		return err
	}
	result := checkResult{Digest: digest, Base: b.Base, Version: bundle.Normalized(b).Version}
	return a.show(result, func() {
		fmt.Fprintf(a.stdout, "good: becomes version %d on base %d\ndigest: %s\n", result.Version, result.Base, result.Digest)
	})
}

// checkResult is the result of a successful check.
type checkResult struct {
	Digest  string `json:"digest"`
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
}

// badBundle turns the problems of a bundle into bad input.
func (a *app) badBundle(path string, err error) error {
	var check *bundle.CheckError
	if !errors.As(err, &check) {
		return err
	}
	if a.settings.json {
		return errors.Join(usage("bundle", path, fmt.Sprintf("%d problems", len(check.Problems))), a.show(check, nil))
	}
	return usage("bundle", path, fmt.Sprintf("it has %d problems:\n%v", len(check.Problems), check))
}

func (a *app) diffBundles(ctx context.Context, args bundleArgs) error {
	if args.second == "" {
		args = bundleArgs{first: refCurrent, second: args.first}
	}
	before, err := a.loadBefore(ctx, args.first)
	if err != nil {
		return err
	}
	after, err := a.loadBundle(ctx, args.second)
	if err != nil {
		return err
	}
	return a.showChanges(bundle.Diff(before, after))
}

// loadBefore reads the old side of a comparison, which is empty while no
// version is in force.
func (a *app) loadBefore(ctx context.Context, ref string) (bundle.Bundle, error) {
	if ref != refCurrent {
		return a.loadBundle(ctx, ref)
	}
	client, err := a.settings.client()
	if err != nil {
		return bundle.Bundle{}, err
	}
	return loadCurrent(ctx, client)
}

func (a *app) showChanges(changes []bundle.Change) error {
	if changes == nil {
		changes = []bundle.Change{}
	}
	return a.show(changes, func() { a.printChanges(changes) })
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
		return a.badBundle(path, err)
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

// signBundle signs the bundle that it shows. The digest is computed from the
// bundle here, so that a daemon cannot pass off another one.
func (a *app) signBundle(ctx context.Context, digest string) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	p, err := findProposal(ctx, client, digest)
	if err != nil {
		return err
	}
	own, err := bundle.Digest(p.Proposal.Bundle)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(own, digest) {
		return fmt.Errorf("the daemon sent a bundle with digest %s, not %s: nothing was signed", own, digest)
	}
	current, err := loadCurrent(ctx, client)
	if err != nil {
		return err
	}
	if !a.settings.json {
		a.printChanges(bundle.Diff(current, p.Proposal.Bundle))
	}
	signature, err := bundle.Sign(p.Proposal.Bundle, client.Signer.Operator, client.Signer.Key)
	if err != nil {
		return err
	}
	reply, err := client.SignOff(ctx, own, signature)
	if err != nil {
		return err
	}
	return a.showProgress(reply)
}

func (a *app) showProgress(reply admin.SubmitReply) error {
	return a.show(reply, func() {
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
		if b, err = a.asNext(ctx, b); err != nil {
			return err
		}
	}
	a.settings.json = true
	return a.show(b, nil)
}

// asNext returns the content of a bundle on the base of the version in force.
func (a *app) asNext(ctx context.Context, b bundle.Bundle) (bundle.Bundle, error) {
	client, err := a.settings.client()
	if err != nil {
		return b, err
	}
	current, err := loadCurrent(ctx, client)
	if err != nil {
		return b, err
	}
	b.Base = current.Version
	return bundle.Normalized(b), nil
}
