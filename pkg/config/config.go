// Package config reads the settings of the daemon from flags and environment
// and checks them all before the daemon starts.
package config

import (
	"net/netip"
	"net/url"
	"time"
)

// Config holds every setting of the daemon. Parse returns it only if all
// settings are valid.
type Config struct {
	Host              string         // name of this host, unique in the fleet
	Region            string         // region that this host is in
	FailureDomain     string         // group of hosts that fail together
	Listen            netip.AddrPort // address for callers; port 0 lets the system choose
	AdminListen       netip.AddrPort // address for operators; port 0 lets the system choose
	PeerListen        netip.AddrPort // address for other daemons; port 0 lets the system choose
	AdvertisePeer     netip.AddrPort // address that other daemons connect to; port 0 stands for the port chosen for PeerListen
	Platform          *url.URL       // base URL of the platform
	PlatformTimeout   time.Duration  // longest wait for one platform call
	BootstrapOperator []Operator     // operators that sign the first bundle; may be empty
	TLS               TLS            // zero: listeners without TLS
	InsecureListen    bool           // permits listeners off loopback without TLS
	CommitRate        float64        // table transactions per second, long-term average
	CommitBurst       int            // table transactions that may start at once
	Homes             int            // daemons of each region that act as homes of budgets
	SettleWait        time.Duration  // longest wait for a durable bill line before the final token is released
	HolderTTL         time.Duration  // a holder row that was not renewed for this long is fenced
	RenewInterval     time.Duration  // time between renewals of the holder row
	BundlePoll        time.Duration  // time between reads of the bundle head
	ReportInterval    time.Duration  // time between load reports read from one target
	DrainTimeout      time.Duration  // longest wait for open requests in a graceful stop
	MaxBodyBytes      int64          // bytes, largest request body of a caller
	RequestTimeout    time.Duration  // longest duration of one request
	IdleTimeout       time.Duration  // a target that sends no bytes for this long is taken as dead
	LogLevel          string         // trace, debug, info, warn or error
	LogFormat         string         // json or console
	ShowVersion       bool           // print the version and exit; no other setting is checked
}
