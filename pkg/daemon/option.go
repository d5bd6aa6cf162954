package daemon

import (
	"github.com/peppertrail/peppertrail/pkg/gateway"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Option changes how a daemon is built. Options are for programs that embed this
// package; peppertraild uses none.
type Option func(*Daemon)

// AuthorityDependencies are the components from which a replacement for the budget
// authorities can be built.
type AuthorityDependencies struct {
	Table       storage.Table
	Local       home.Authority
	Incarnation func() string // returns the incarnation of this daemon, which changes after a fencing
}

// AuthoritiesFunc builds the budget authorities of a daemon.
type AuthoritiesFunc func(AuthorityDependencies) gateway.Authorities

// WithAuthorities replaces the router to the homes of budgets. Benchmarks use it to
// compare authorisation policies in an otherwise unchanged daemon.
func WithAuthorities(build AuthoritiesFunc) Option {
	return func(d *Daemon) { d.buildAuthorities = build }
}

// authorities returns the router to the homes of budgets, or its replacement.
func (d *Daemon) authorities() gateway.Authorities {
	if d.buildAuthorities != nil {
		return d.buildAuthorities(AuthorityDependencies{Table: d.platform, Local: d.local, Incarnation: d.Incarnation})
	}
	d.router = home.NewRouter(d.local, remoteAuthorities{d.pool}, d.membership, d.Incarnation, d.config.Region)
	return d.router
}
