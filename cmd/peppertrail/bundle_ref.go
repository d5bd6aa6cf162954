package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

const (
	// refCurrent is the reference to the version in force.
	refCurrent = "current"
	// refProposalPrefix precedes the digest in a reference to a proposal.
	refProposalPrefix = "proposal:"
	// refForms lists the forms of a bundle reference for help texts and errors.
	refForms = "a bundle file, current, v<version> or proposal:<digest>"
	// minDigestDigits is the length of the shortest digest prefix that may
	// identify a proposal, in hexadecimal digits. Another operator cannot
	// construct a proposal whose digest matches a given prefix of 64 bits.
	minDigestDigits = 16
)

// loadBundle reads the bundle that a reference identifies.
func (a *app) loadBundle(ctx context.Context, ref string) (bundle.Bundle, error) {
	version, isVersion := parseVersionRef(ref)
	digest, isProposal := strings.CutPrefix(ref, refProposalPrefix)
	if ref != refCurrent && !isVersion && !isProposal {
		return readBundleFile(ref)
	}
	client, err := a.settings.client()
	if err != nil {
		return bundle.Bundle{}, err
	}
	switch {
	case isVersion:
		accepted, err := client.Version(ctx, version)
		return accepted.Bundle, err
	case isProposal:
		p, err := findProposal(ctx, client, digest)
		return p.Proposal.Bundle, err
	default:
		accepted, err := client.Current(ctx)
		return accepted.Bundle, err
	}
}

// loadCurrentOrEmpty returns the bundle in force, or an empty bundle if no
// version is in force.
func loadCurrentOrEmpty(ctx context.Context, client *admin.Client) (bundle.Bundle, error) {
	accepted, err := client.Current(ctx)
	var apiErr *admin.Error
	if errors.As(err, &apiErr) && apiErr.Code == admin.NotFound {
		return bundle.Bundle{}, nil
	}
	if err != nil {
		return bundle.Bundle{}, err
	}
	return accepted.Bundle, nil
}

func parseVersionRef(ref string) (uint64, bool) {
	text, ok := strings.CutPrefix(ref, "v")
	if !ok {
		return 0, false
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, err == nil
}

func readBundleFile(path string) (bundle.Bundle, error) {
	file, err := os.Open(path)
	if err != nil {
		return bundle.Bundle{}, newUsageError("bundle", path, refForms)
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, bundle.MaxBytes+1))
	if err != nil {
		return bundle.Bundle{}, newUsageError("bundle", path, refForms)
	}
	b, err := bundle.Decode(raw)
	if err != nil {
		return bundle.Bundle{}, newUsageError("bundle", path, err.Error())
	}
	return b, nil
}

// findProposal returns the proposal whose digest starts with the given prefix.
// It fails unless exactly one stored proposal matches.
func findProposal(ctx context.Context, client *admin.Client, digest string) (bundle.ProposalStatus, error) {
	if len(digest) < minDigestDigits {
		return bundle.ProposalStatus{}, newUsageError("digest", digest, fmt.Sprintf("at least the first %d digits of a proposal's digest", minDigestDigits))
	}
	list, err := client.Proposals(ctx)
	if err != nil {
		return bundle.ProposalStatus{}, err
	}
	var found []bundle.ProposalStatus
	for _, p := range list.Proposals {
		if strings.HasPrefix(p.Progress.Digest, digest) {
			found = append(found, p)
		}
	}
	if len(found) != 1 {
		return bundle.ProposalStatus{}, newUsageError("digest", digest, fmt.Sprintf("the digest of one stored proposal, %d match; see peppertrail bundle status", len(found)))
	}
	return found[0], nil
}
