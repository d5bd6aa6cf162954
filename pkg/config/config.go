// Package config reads the settings of the daemon from flags and environment
// variables and validates all of them before the daemon starts.
package config

import (
	"net/netip"
	"net/url"
	"time"
)

// Config holds every setting of the daemon.
type Config struct {
	Host               string         // name of this host, unique in the fleet
	Region             string         // region of this host
	FailureDomain      string         // group of hosts that fail together
	Listen             netip.AddrPort // listen address for callers; port 0 selects a free port
	AdminListen        netip.AddrPort // listen address for operators; port 0 selects a free port
	PeerListen         netip.AddrPort // listen address for other daemons; port 0 selects a free port
	AdvertisePeer      netip.AddrPort // address that other daemons connect to; port 0 stands for the port of the PeerListen listener
	Platform           *url.URL       // base URL of the platform
	PlatformTimeout    time.Duration  // time limit of one platform call
	BootstrapOperators []Operator     // operators that sign the first bundle; may be empty
	TLS                TLS            // zero: listeners without TLS
	InsecureListen     bool           // permits listeners on non-loopback addresses without TLS
	CommitRate         float64        // limit of the table transactions per second, as a long-term average
	CommitBurst        int            // table transactions that may start at once
	Homes              int            // number of daemons per region that act as homes of budgets
	SettleWait         time.Duration  // longest wait for a bill line to become durable before the final token is released
	HolderTTL          time.Duration  // time without a renewal after which a holder row is fenced
	RenewInterval      time.Duration  // time between renewals of the holder row
	BundlePollInterval time.Duration  // time between reads of the bundle head
	ReportInterval     time.Duration  // time between reads of the load report of one target
	DrainTimeout       time.Duration  // longest wait for open requests during a graceful stop
	MaxBodyBytes       int64          // largest request body of a caller, in bytes
	RequestTimeout     time.Duration  // longest duration of one request
	IdleTimeout        time.Duration  // time without received bytes after which a target is considered dead
	LogLevel           string         // trace, debug, info, warn or error
	LogFormat          string         // json or console
	ShowVersion        bool           // print the version and exit; no other setting is checked
}
