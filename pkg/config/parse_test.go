package config

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// required holds valid values for the flags that have no default and must be set.
var required = []string{"--host=h1", "--region=perth", "--failure-domain=kewdale-a", "--platform=http://127.0.0.1:9000"}

var testKey = base64.StdEncoding.EncodeToString(make([]byte, 32))

func noEnviron(string) string { return "" }

func environ(vars map[string]string) func(string) string {
	return func(name string) string { return vars[name] }
}

// Guards against unintended changes of the documented defaults.
func TestParseDefaults(t *testing.T) {
	c, err := Parse(required, noEnviron)
	assert.NilError(t, err)
	assert.Equal(t, c.Host, "h1")
	assert.Equal(t, c.CommitRate, 15.0)
	assert.Equal(t, c.CommitBurst, 10)
	assert.Equal(t, c.Homes, 10)
	assert.Equal(t, c.SettleWait, 250*time.Millisecond)
	assert.Equal(t, c.HolderTTL, 15*time.Second)
	assert.Equal(t, c.BundlePollInterval, 2*time.Second)
	assert.Equal(t, c.AdvertisePeer, c.PeerListen)
	assert.Equal(t, c.TLS.Enabled(), false)
	assert.Equal(t, c.Platform.String(), "http://127.0.0.1:9000")
}

// Guards against a flag or environment variable that is ignored or stored in the
// wrong field.
func TestParseEverySetting(t *testing.T) {
	values := map[string]string{
		"host": "h2", "region": "morbihan", "failure-domain": "lanester-depot",
		"listen": "127.0.0.1:1001", "admin-listen": "127.0.0.1:1002", "peer-listen": "[::1]:1003",
		"advertise-peer": "10.0.0.1:1004", "platform": "https://10.0.0.2:1/base", "platform-timeout": "3s",
		"bootstrap-operator": "ana=" + testKey, "tls-cert": "c.pem", "tls-key": "k.pem", "tls-ca": "a.pem",
		"insecure-listen": "true", "commit-rate": "20.5", "commit-burst": "7", "homes": "6", "settle-wait": "100ms",
		"holder-ttl": "20s", "renew-interval": "4s", "bundle-poll": "1s", "report-interval": "700ms",
		"drain-timeout": "1m", "max-body-bytes": "2048", "request-timeout": "5s", "idle-timeout": "6s",
		"log-level": "debug", "log-format": "console",
	}
	assert.Equal(t, len(values), len(settings())-1, "every setting but version")
	var args []string
	vars := make(map[string]string)
	for name, value := range values {
		args = append(args, "--"+name+"="+value)
		vars[envPrefix+strings.ToUpper(strings.ReplaceAll(name, "-", "_"))] = value
	}
	fromFlags, err := Parse(args, noEnviron)
	assert.NilError(t, err)
	fromEnviron, err := Parse(nil, environ(vars))
	assert.NilError(t, err)
	assert.DeepEqual(t, fromFlags.BootstrapOperators, fromEnviron.BootstrapOperators)
	for _, c := range []Config{fromFlags, fromEnviron} {
		assert.Equal(t, c.Host, "h2")
		assert.Equal(t, c.Region, "morbihan")
		assert.Equal(t, c.FailureDomain, "lanester-depot")
		assert.Equal(t, c.Listen.String(), "127.0.0.1:1001")
		assert.Equal(t, c.AdminListen.String(), "127.0.0.1:1002")
		assert.Equal(t, c.PeerListen.String(), "[::1]:1003")
		assert.Equal(t, c.AdvertisePeer.String(), "10.0.0.1:1004")
		assert.Equal(t, c.Platform.String(), "https://10.0.0.2:1/base")
		assert.Equal(t, c.PlatformTimeout, 3*time.Second)
		assert.Equal(t, c.BootstrapOperators[0].Name, "ana")
		assert.Equal(t, c.TLS, TLS{CertFile: "c.pem", KeyFile: "k.pem", CAFile: "a.pem"})
		assert.Equal(t, c.InsecureListen, true)
		assert.Equal(t, c.CommitRate, 20.5)
		assert.Equal(t, c.CommitBurst, 7)
		assert.Equal(t, c.Homes, 6)
		assert.Equal(t, c.SettleWait, 100*time.Millisecond)
		assert.Equal(t, c.HolderTTL, 20*time.Second)
		assert.Equal(t, c.RenewInterval, 4*time.Second)
		assert.Equal(t, c.BundlePollInterval, time.Second)
		assert.Equal(t, c.ReportInterval, 700*time.Millisecond)
		assert.Equal(t, c.DrainTimeout, time.Minute)
		assert.Equal(t, c.MaxBodyBytes, int64(2048))
		assert.Equal(t, c.RequestTimeout, 5*time.Second)
		assert.Equal(t, c.IdleTimeout, 6*time.Second)
		assert.Equal(t, c.LogLevel, "debug")
		assert.Equal(t, c.LogFormat, "console")
	}
}

// Guards against an environment variable overriding a flag.
func TestFlagOverridesEnviron(t *testing.T) {
	vars := environ(map[string]string{"PEPPERTRAIL_HOST": "from-environ", "PEPPERTRAIL_INSECURE_LISTEN": "true"})
	c, err := Parse(append([]string{"--insecure-listen=false"}, required...), vars)
	assert.NilError(t, err)
	assert.Equal(t, c.Host, "h1")
	assert.Equal(t, c.InsecureListen, false)
}

// Guards against a repeatable setting keeping only its last value.
func TestRepeatableSettingKeepsEveryValue(t *testing.T) {
	args := append([]string{"--bootstrap-operator", "ana=" + testKey, "--bootstrap-operator", "ben=" + testKey}, required...)
	c, err := Parse(args, noEnviron)
	assert.NilError(t, err)
	assert.Equal(t, len(c.BootstrapOperators), 2)
	vars := environ(map[string]string{"PEPPERTRAIL_BOOTSTRAP_OPERATOR": "ana=" + testKey + ",ben=" + testKey})
	c, err = Parse(required, vars)
	assert.NilError(t, err)
	assert.Equal(t, len(c.BootstrapOperators), 2)
}

// Guards against --version failing because required settings are missing.
func TestVersionNeedsNoSettings(t *testing.T) {
	c, err := Parse([]string{"--version"}, noEnviron)
	assert.NilError(t, err)
	assert.Equal(t, c.ShowVersion, true)
}

// Guards against an invalid setting being accepted, and against an error that
// does not name the flag, the value and the allowed values.
func TestParseReportsInvalidSetting(t *testing.T) {
	cases := []struct {
		desc  string
		args  []string
		vars  map[string]string
		flag  string
		value string
	}{
		{desc: "name with a slash", args: []string{"--host=a/b"}, flag: "--host", value: "a/b"},
		{desc: "empty name", args: []string{"--host="}, flag: "--host", value: ""},
		{desc: "listener by host name", args: []string{"--listen=localhost:80"}, flag: "--listen", value: "localhost:80"},
		{desc: "listener without port", args: []string{"--listen=127.0.0.1"}, flag: "--listen", value: "127.0.0.1"},
		{desc: "caller listener on a non-loopback address without TLS", args: []string{"--listen=10.0.0.1:80"}, flag: "--listen", value: "10.0.0.1:80"},
		{desc: "admin listener on the wildcard address without TLS", args: []string{"--admin-listen=0.0.0.0:80"}, flag: "--admin-listen", value: "0.0.0.0:80"},
		{desc: "peer listener on a non-loopback address without TLS", args: []string{"--peer-listen=[2001:db8::1]:80"}, flag: "--peer-listen", value: "[2001:db8::1]:80"},
		{desc: "advertised wildcard", args: []string{"--advertise-peer=0.0.0.0:80"}, flag: "--advertise-peer", value: "0.0.0.0:80"},
		{desc: "advertised host name", args: []string{"--advertise-peer=h1:80"}, flag: "--advertise-peer", value: "h1:80"},
		{desc: "wildcard peer listener without advertised address", args: []string{"--insecure-listen", "--peer-listen=0.0.0.0:80"}, flag: "--advertise-peer", value: "0.0.0.0:80"},
		{desc: "platform without scheme", args: []string{"--platform=127.0.0.1:9000"}, flag: "--platform", value: "127.0.0.1:9000"},
		{desc: "platform of another scheme", args: []string{"--platform=ftp://h"}, flag: "--platform", value: "ftp://h"},
		{desc: "operator without key", args: []string{"--bootstrap-operator=ana"}, flag: "--bootstrap-operator", value: "ana"},
		{desc: "operator with a short key", args: []string{"--bootstrap-operator=ana=AAAA"}, flag: "--bootstrap-operator", value: "ana=AAAA"},
		{desc: "certificate without key and authority", args: []string{"--tls-cert=c.pem"}, flag: "--tls-key", value: ""},
		{desc: "commit rate of zero", args: []string{"--commit-rate=0"}, flag: "--commit-rate", value: "0"},
		{desc: "commit rate that is not a number", args: []string{"--commit-rate=NaN"}, flag: "--commit-rate", value: "NaN"},
		{desc: "negative commit burst in an argument of its own", args: []string{"--commit-burst", "-1"}, flag: "--commit-burst", value: "-1"},
		{desc: "duration without unit", args: []string{"--settle-wait=250"}, flag: "--settle-wait", value: "250"},
		{desc: "negative duration", args: []string{"--drain-timeout=-1s"}, flag: "--drain-timeout", value: "-1s"},
		{desc: "renewal interval above a third of the holder TTL", args: []string{"--renew-interval=6s"}, flag: "--renew-interval", value: "6s"},
		{desc: "body limit of zero", args: []string{"--max-body-bytes=0"}, flag: "--max-body-bytes", value: "0"},
		{desc: "unknown log level", args: []string{"--log-level=loud"}, flag: "--log-level", value: "loud"},
		{desc: "unknown log format", args: []string{"--log-format=xml"}, flag: "--log-format", value: "xml"},
		{desc: "invalid boolean", args: []string{"--insecure-listen=maybe"}, flag: "--insecure-listen", value: "maybe"},
		{desc: "invalid boolean in the environment", vars: map[string]string{"PEPPERTRAIL_INSECURE_LISTEN": "maybe"}, flag: "--insecure-listen", value: "maybe"},
		{desc: "invalid environment variable", vars: map[string]string{"PEPPERTRAIL_COMMIT_RATE": "x"}, flag: "--commit-rate", value: "x"},
		{desc: "flag given twice", args: []string{"--log-level=info", "--log-level=warn"}, flag: "--log-level", value: "info warn"},
		{desc: "flag without value", args: []string{"--log-level"}, flag: "--log-level", value: ""},
		{desc: "unknown flag", args: []string{"--no-such"}, flag: "command line", value: "--no-such"},
		{desc: "positional argument", args: []string{"serve"}, flag: "command line", value: "serve"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := Parse(withRequired(tc.args), environ(tc.vars))
			var problems *Error
			assert.Assert(t, errors.As(err, &problems), "%v", err)
			found := false
			for _, p := range problems.Problems {
				found = found || (p.Flag == tc.flag && p.Value == tc.value && p.Allowed != "")
			}
			assert.Assert(t, found, "%v", err)
		})
	}
}

// withRequired adds the required flags that args does not set.
func withRequired(args []string) []string {
	all := append([]string(nil), required...)
	for _, arg := range args {
		name, _, _ := strings.Cut(arg, "=")
		for i, r := range all {
			if strings.HasPrefix(r, name+"=") {
				all = append(all[:i], all[i+1:]...)
				break
			}
		}
	}
	return append(all, args...)
}

// Guards against reporting only the first problem, so that each mistake costs
// another restart.
func TestAllProblemsInOneError(t *testing.T) {
	vars := environ(map[string]string{"PEPPERTRAIL_LOG_LEVEL": "loud"})
	_, err := Parse([]string{"--commit-rate=x", "--no-such", "--listen=10.0.0.1:80"}, vars)
	for _, want := range []string{"--host", "--region", "--failure-domain", "--platform", "--commit-rate", "--no-such", "--listen", "PEPPERTRAIL_LOG_LEVEL"} {
		assert.ErrorContains(t, err, want)
	}
}

// Guards against rejecting the two permitted ways to listen on a non-loopback
// address: with TLS or with --insecure-listen.
func TestListenOnNonLoopbackAddress(t *testing.T) {
	insecure := append([]string{"--insecure-listen", "--listen=10.0.0.1:80"}, required...)
	_, err := Parse(insecure, noEnviron)
	assert.NilError(t, err)
	secure := append([]string{"--tls-cert=c", "--tls-key=k", "--tls-ca=a", "--listen=10.0.0.1:80"}, required...)
	_, err = Parse(secure, noEnviron)
	assert.NilError(t, err)
}
