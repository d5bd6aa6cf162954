package config

import "net/netip"

const (
	advertiseAllowed = "IP:port that other daemons can reach, not a wildcard address"
	listenAllowed    = "a loopback IP, or any IP with --tls-cert, --tls-key and --tls-ca, or with --insecure-listen"
	tlsAllowed       = "--tls-cert, --tls-key and --tls-ca together or none of them"
	renewAllowed     = "at most a third of --holder-ttl, so that two renewals may fail before the holder is fenced"
)

// renewalsPerTTL is the number of renewal intervals that must fit into the
// holder's time to live.
const renewalsPerTTL = 3

// check returns the problems that involve several settings. A setting whose own
// value is invalid is zero in c and is not checked here.
func check(c Config) []Problem {
	var problems []Problem
	problems = append(problems, checkListeners(c)...)
	problems = append(problems, checkAdvertise(c)...)
	problems = append(problems, checkTLS(c.TLS)...)
	if c.RenewInterval > 0 && c.HolderTTL > 0 && c.RenewInterval*renewalsPerTTL > c.HolderTTL {
		problems = append(problems, Problem{Flag: "--renew-interval", Value: c.RenewInterval.String(), Allowed: renewAllowed})
	}
	return problems
}

// checkListeners rejects non-loopback listeners without TLS, over which other
// machines would send API keys in cleartext.
func checkListeners(c Config) []Problem {
	if c.InsecureListen || c.TLS.Enabled() {
		return nil
	}
	listeners := []struct {
		flag string
		addr netip.AddrPort
	}{
		{"--listen", c.Listen},
		{"--admin-listen", c.AdminListen},
		{"--peer-listen", c.PeerListen},
	}
	var problems []Problem
	for _, l := range listeners {
		if l.addr.IsValid() && !l.addr.Addr().Unmap().IsLoopback() {
			problems = append(problems, Problem{Flag: l.flag, Value: l.addr.String(), Allowed: listenAllowed})
		}
	}
	return problems
}

// checkAdvertise rejects a wildcard address, to which other daemons cannot connect.
func checkAdvertise(c Config) []Problem {
	if !c.AdvertisePeer.IsValid() || !c.AdvertisePeer.Addr().Unmap().IsUnspecified() {
		return nil
	}
	return []Problem{{Flag: "--advertise-peer", Value: c.AdvertisePeer.String(), Allowed: advertiseAllowed}}
}

// checkTLS rejects an incomplete set of TLS files.
func checkTLS(t TLS) []Problem {
	if !t.partial() {
		return nil
	}
	files := []struct{ flag, path string }{
		{"--tls-cert", t.CertFile},
		{"--tls-key", t.KeyFile},
		{"--tls-ca", t.CAFile},
	}
	var problems []Problem
	for _, f := range files {
		if f.path == "" {
			problems = append(problems, Problem{Flag: f.flag, Value: "", Allowed: tlsAllowed})
		}
	}
	return problems
}
