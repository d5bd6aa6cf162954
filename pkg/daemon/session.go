package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/cluster"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

const (
	// registerRetryInterval is the pause between attempts to register the host.
	registerRetryInterval = 500 * time.Millisecond
	// sessionPollInterval is the pause between checks for a new session during a
	// graceful stop.
	sessionPollInterval = 20 * time.Millisecond
	// randomIDBytes is the length of the random part of an id from newRandomID. The
	// incarnations of one host differ only in this part.
	randomIDBytes = 6
)

// session is one registration of this daemon in the table. A fenced daemon starts
// a new session.
type session struct {
	record             lease.HolderRecord
	version            uint64 // row version of the holder row at registration; also the fencing number
	committer          *commit.Committer
	view               *cluster.View
	formerIncarnations []string // incarnations of the earlier sessions
	cancel             context.CancelFunc
}

// startSession registers the host and makes the new session the current one.
// It retries until ctx ends.
func (d *Daemon) startSession(ctx context.Context) error {
	record := lease.HolderRecord{
		Incarnation:   newRandomID(d.config.Host),
		Host:          d.config.Host,
		PeerAddr:      d.peerAddr,
		Region:        d.config.Region,
		FailureDomain: d.config.FailureDomain,
	}
	version, err := d.register(ctx, record)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &session{record: record, version: version, formerIncarnations: d.incarnations(), cancel: cancel}
	s.view = cluster.NewView(cluster.Options{Table: d.platform, Self: record, TTL: d.config.HolderTTL, Homes: d.config.Homes, OnBadRow: d.logBadRow})
	_ = s.view.Poll(ctx) // on an error the view contains only this daemon until its next successful scan
	s.committer = commit.New(commit.Options{
		Table:         d.platform,
		Holder:        record,
		HolderVersion: version,
		BundleVersion: d.watcher.Version,
		OnFenced:      func() { go d.onFenced(background, s) },
		Rate:          d.config.CommitRate,
		Burst:         d.config.CommitBurst,
		RenewInterval: d.config.RenewInterval,
	})
	d.session.Store(s)
	go d.runCommitter(background, s)
	go s.view.Run(background)
	d.local.Reset(record.Incarnation, s.committer)
	d.log.Info().Str("incarnation", record.Incarnation).Msg("Host registered.")
	return nil
}

// register writes the holder row. It retries until it succeeds or ctx ends.
func (d *Daemon) register(ctx context.Context, record lease.HolderRecord) (uint64, error) {
	for {
		version, err := lease.Register(ctx, d.platform, record)
		if err == nil {
			return version, nil
		}
		d.log.Warn().Err(err).Msg("Host registration failed; retrying.")
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
			return 0, fmt.Errorf("register host: %w", errors.Join(ctx.Err(), err))
		}
	}
}

func (d *Daemon) runCommitter(ctx context.Context, s *session) {
	err := s.committer.Run(ctx)
	if err != nil && !errors.Is(err, commit.ErrStopped) {
		d.log.Warn().Err(err).Str("incarnation", s.record.Incarnation).Msg("Committer stopped with an error; its waiting operations have failed.")
	}
}

// onFenced registers the host again after another daemon considered this one dead
// and fenced it. A daemon that is stopping also needs the new registration, because
// it writes pending settlements and the last commit through it.
func (d *Daemon) onFenced(ctx context.Context, s *session) {
	if d.session.Load() != s {
		return
	}
	d.log.Warn().Str("incarnation", s.record.Incarnation).Msg("Host was fenced; registering again.")
	d.metrics.Committed(telemetry.CommitFenced)
	s.cancel()
	if err := d.startSession(context.WithoutCancel(ctx)); err != nil {
		d.log.Error().Err(err).Msg("Registration after fencing failed; the host stays unregistered.")
	}
}

// finishCommits waits until the table has stored the last commit. If the session is
// fenced meanwhile, it waits for the commits of the session that replaces it.
func (d *Daemon) finishCommits(ctx context.Context) error {
	for {
		s := d.session.Load()
		err := s.committer.Finish(ctx)
		if !errors.Is(err, commit.ErrFenced) {
			return err
		}
		if !d.awaitNextSession(ctx, s) {
			return err
		}
	}
}

// awaitNextSession reports whether s was replaced before ctx ended.
func (d *Daemon) awaitNextSession(ctx context.Context, s *session) bool {
	ticker := time.NewTicker(sessionPollInterval)
	defer ticker.Stop()
	for d.session.Load() == s {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Incarnation implements gateway.Identity.
func (d *Daemon) Incarnation() string {
	if s := d.session.Load(); s != nil {
		return s.record.Incarnation
	}
	return ""
}

// incarnations returns the incarnations of the current and all earlier sessions.
func (d *Daemon) incarnations() []string {
	s := d.session.Load()
	if s == nil {
		return nil
	}
	return append(slices.Clone(s.formerIncarnations), s.record.Incarnation)
}

// formerIncarnations returns the incarnations of the sessions before the current one.
func (d *Daemon) formerIncarnations() []string {
	if s := d.session.Load(); s != nil {
		return s.formerIncarnations
	}
	return nil
}

// Fencing implements gateway.Identity. The version of the holder row is the table
// revision that wrote it. Revisions only increase, so the versions order the
// registrations of all daemons in the fleet.
func (d *Daemon) Fencing() uint64 {
	if s := d.session.Load(); s != nil {
		return s.version
	}
	return 0
}

func (d *Daemon) membership() home.Membership {
	return d.session.Load().view
}

// newRandomID returns an id of the form prefix~random, where random is hexadecimal.
func newRandomID(prefix string) string {
	random := make([]byte, randomIDBytes)
	if _, err := rand.Read(random); err != nil {
		panic("daemon: read random bytes: " + err.Error())
	}
	return prefix + "~" + hex.EncodeToString(random)
}

// noCommitter rejects operations before the first registration.
type noCommitter struct{}

// Submit implements home.Committer.
func (noCommitter) Submit(op commit.Op) {
	go op.Done(commit.Result{Err: commit.ErrStopped})
}
