package config

import (
	"net/netip"
	"time"
)

// Default and limits of --max-body-bytes, in bytes. The lower limit is enough for
// a short request.
const (
	minBodyBytes     = 1 << 10
	defaultBodyBytes = 4 << 20
	maxBodyBytes     = 256 << 20
)

// settings returns every setting in the order of the help text.
func settings() []setting {
	var all []setting
	all = append(all, identitySettings()...)
	all = append(all, listenerSettings()...)
	all = append(all, platformSettings()...)
	all = append(all, requestSettings()...)
	all = append(all, logSettings()...)
	return all
}

// Default and upper limit of --homes, the number of homes per region. Each home
// may commit 15 transactions per second by default, so that the 20 default homes
// of two regions commit at most 300 of the several hundred transactions per
// second that the table supports.
const (
	defaultHomes = 10
	maxHomes     = 100_000
)

func identitySettings() []setting {
	return []setting{
		nameSetting("host", "name of this host, unique in the fleet", func(c *Config) *string { return &c.Host }),
		nameSetting("region", "region of this host", func(c *Config) *string { return &c.Region }),
		nameSetting("failure-domain", "group of hosts that fail together", func(c *Config) *string { return &c.FailureDomain }),
	}
}

func listenerSettings() []setting {
	advertise := addrSetting("advertise-peer", "address that other daemons connect to (default: the one of --peer-listen)", "",
		func(c *Config) *netip.AddrPort { return &c.AdvertisePeer })
	advertise.allowed = advertiseAllowed
	return []setting{
		addrSetting("listen", "address for callers", "127.0.0.1:8080", func(c *Config) *netip.AddrPort { return &c.Listen }),
		addrSetting("admin-listen", "address for operators", "127.0.0.1:8081", func(c *Config) *netip.AddrPort { return &c.AdminListen }),
		addrSetting("peer-listen", "address for other daemons", "127.0.0.1:8082", func(c *Config) *netip.AddrPort { return &c.PeerListen }),
		advertise,
		fileSetting("tls-cert", "certificate chain of this host", func(c *Config) *string { return &c.TLS.CertFile }),
		fileSetting("tls-key", "private key of the certificate", func(c *Config) *string { return &c.TLS.KeyFile }),
		fileSetting("tls-ca", "authorities of the other daemons' certificates", func(c *Config) *string { return &c.TLS.CAFile }),
		boolSetting("insecure-listen", "permit listeners off loopback without TLS", func(c *Config) *bool { return &c.InsecureListen }),
	}
}

func platformSettings() []setting {
	return []setting{
		platformSetting(),
		durationSetting("platform-timeout", "longest wait for one platform call",
			2*time.Second, 10*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.PlatformTimeout }),
		operatorSetting(),
		rateSetting(),
		intSetting("commit-burst", "table transactions that may start at once", "transactions", 10, 1, 1000,
			func(c *Config, n int64) { c.CommitBurst = int(n) }),
		intSetting("homes", "daemons of each region that act as homes of budgets", "daemons", defaultHomes, 1, maxHomes,
			func(c *Config, n int64) { c.Homes = int(n) }),
		durationSetting("settle-wait", "longest wait for a durable bill line before the final token is released",
			250*time.Millisecond, time.Millisecond, 30*time.Second, func(c *Config) *time.Duration { return &c.SettleWait }),
		durationSetting("holder-ttl", "a holder row that was not renewed for this long is fenced",
			15*time.Second, 100*time.Millisecond, time.Hour, func(c *Config) *time.Duration { return &c.HolderTTL }),
		durationSetting("renew-interval", "time between renewals of the holder row",
			3*time.Second, 10*time.Millisecond, 20*time.Minute, func(c *Config) *time.Duration { return &c.RenewInterval }),
		durationSetting("bundle-poll", "time between reads of the bundle head",
			2*time.Second, 10*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.BundlePollInterval }),
		durationSetting("report-interval", "time between load reports read from one target",
			500*time.Millisecond, 10*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.ReportInterval }),
	}
}

func requestSettings() []setting {
	return []setting{
		durationSetting("drain-timeout", "longest wait for open requests in a graceful stop",
			11*time.Minute, time.Second, 24*time.Hour, func(c *Config) *time.Duration { return &c.DrainTimeout }),
		intSetting("max-body-bytes", "largest request body", "bytes", defaultBodyBytes, minBodyBytes, maxBodyBytes,
			func(c *Config, n int64) { c.MaxBodyBytes = n }),
		durationSetting("request-timeout", "longest duration of one request",
			10*time.Minute, 100*time.Millisecond, 24*time.Hour, func(c *Config) *time.Duration { return &c.RequestTimeout }),
		durationSetting("idle-timeout", "a target that sends no bytes for this long is taken as dead",
			30*time.Second, 100*time.Millisecond, time.Hour, func(c *Config) *time.Duration { return &c.IdleTimeout }),
	}
}

func logSettings() []setting {
	return []setting{
		choiceSetting("log-level", "least severe level that is logged", "info",
			[]string{"trace", "debug", "info", "warn", "error"}, func(c *Config) *string { return &c.LogLevel }),
		choiceSetting("log-format", "form of the log lines", "json",
			[]string{"json", "console"}, func(c *Config) *string { return &c.LogFormat }),
		boolSetting("version", "print the version and exit", func(c *Config) *bool { return &c.ShowVersion }),
	}
}
