package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// bundleStatusOutput is the output of bundle status.
type bundleStatusOutput struct {
	Status    admin.StatusReply       `json:"status"`
	Proposals []bundle.ProposalStatus `json:"proposals"`
}

func (a *app) showBundleStatus(ctx context.Context) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	list, err := client.Proposals(ctx)
	if err != nil {
		return err
	}
	a.warnUnreadable(status.Unreadable)
	a.warnUnreadable(list.Unreadable)
	return a.printResult(bundleStatusOutput{Status: status, Proposals: list.Proposals}, func() {
		a.printBundleStatus(status)
		a.printProposals(list.Proposals)
	})
}

func (a *app) printBundleStatus(s admin.StatusReply) {
	if s.InForce.Version == 0 {
		fmt.Fprintln(a.stdout, "no version is in force")
	} else {
		fmt.Fprintf(a.stdout, "version %d is in force, digest %s\n", s.InForce.Version, s.InForce.Digest)
	}
	if s.HeldVersion == 0 {
		fmt.Fprintln(a.stdout, "this daemon holds no version")
	} else {
		fmt.Fprintf(a.stdout, "this daemon holds version %d, confirmed %.0f s ago\n", s.HeldVersion, s.UnconfirmedSeconds)
	}
	fmt.Fprintf(a.stdout, "%d active holders report a lower version\n\n", s.Behind)
	a.printHolders(s.Holders)
}

func (a *app) printProposals(proposals []bundle.ProposalStatus) {
	var rows [][]string
	for _, p := range proposals {
		if !p.Progress.InForce {
			rows = append(rows, proposalRow(p))
		}
	}
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(a.stdout)
	a.printTable([]string{"PROPOSAL", "AUTHOR", "VERSION", "SIGNED BY", "MAY SIGN", "STATE"}, rows)
}

func proposalRow(p bundle.ProposalStatus) []string {
	state := "waits"
	if p.Superseded {
		state = "superseded"
	}
	return []string{
		p.Progress.Digest,
		p.Proposal.Author,
		strconv.FormatUint(p.Progress.Version, 10),
		strings.Join(p.Progress.SignedBy, ","),
		strings.Join(p.Progress.Missing, ","),
		state,
	}
}
