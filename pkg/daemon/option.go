package daemon

import (
	"github.com/peppertrail/peppertrail/pkg/gateway"
	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Option changes how a daemon is built. No setting of peppertraild sets one.
type Option func(*Daemon)

// Parts are what other authorities over budgets can be built from.
type Parts struct {
	Table       storage.Table
	Local       home.Authority
	Incarnation func() string // of this daemon; it changes after a fencing
}

// AuthoritiesFunc builds the authorities of a daemon.
type AuthoritiesFunc func(Parts) gateway.Authorities

// WithAuthorities replaces the router to the homes of budgets. Measurements use
// it to compare policies in an otherwise unchanged daemon.
func WithAuthorities(build AuthoritiesFunc) Option {
	return func(d *Daemon) { d.replaced = build }
}

// authorities returns the router to the homes of budgets, or its replacement.
func (d *Daemon) authorities() gateway.Authorities {
	if d.replaced != nil {
		return d.replaced(Parts{Table: d.platform, Local: d.local, Incarnation: d.Incarnation})
	}
	d.router = home.NewRouter(d.local, remotes{d.pool}, d.ring, d.Incarnation, d.config.Region)
	return d.router
}
