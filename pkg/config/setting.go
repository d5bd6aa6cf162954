package config

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// errNotAllowed reports a value outside the range or set that the setting allows.
var errNotAllowed = errors.New("value not allowed")

// namePattern matches valid host, region, failure domain and operator names.
// Names become parts of table keys, so "/" is excluded.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const (
	nameAllowed = "1 to 63 characters of [A-Za-z0-9._-], the first a letter or digit"
	addrAllowed = "IP:port"
)

// setting defines one flag, with its environment variable, and how its value is
// stored in a Config.
type setting struct {
	name       string // flag name without dashes
	help       string
	allowed    string // description of the allowed values for error messages
	def        string // default value; if empty, a setting that is not required stays zero
	required   bool
	repeatable bool
	boolean    bool // boolean flag, whose value may be omitted
	apply      func(c *Config, value string) error
}

// environ returns the name of the environment variable of the setting.
func (s setting) environ() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

// flag returns the flag with its dashes.
func (s setting) flag() string { return "--" + s.name }

// usage returns the help text with the default.
func (s setting) usage() string {
	if s.def == "" {
		return s.help
	}
	return s.help + " (default " + s.def + ")"
}

// nameSetting returns a required setting whose value matches namePattern.
func nameSetting(name, help string, field func(*Config) *string) setting {
	return setting{
		name: name, help: help, allowed: nameAllowed, required: true,
		apply: func(c *Config, value string) error {
			if !namePattern.MatchString(value) {
				return errNotAllowed
			}
			*field(c) = value
			return nil
		},
	}
}

// addrSetting returns a setting that is an IP address with a port.
func addrSetting(name, help, def string, field func(*Config) *netip.AddrPort) setting {
	return setting{
		name: name, help: help, allowed: addrAllowed, def: def,
		apply: func(c *Config, value string) error {
			addr, err := netip.ParseAddrPort(value)
			if err != nil {
				return err
			}
			*field(c) = addr
			return nil
		},
	}
}

// durationSetting returns a setting that is a duration from low to high.
func durationSetting(name, help string, def, low, high time.Duration, field func(*Config) *time.Duration) setting {
	return setting{
		name: name, help: help, def: def.String(),
		allowed: fmt.Sprintf("a duration from %v to %v, such as %v", low, high, def),
		apply: func(c *Config, value string) error {
			d, err := time.ParseDuration(value)
			if err != nil {
				return err
			}
			if d < low || d > high {
				return errNotAllowed
			}
			*field(c) = d
			return nil
		},
	}
}

// choiceSetting returns a setting whose value is one of choices.
func choiceSetting(name, help, def string, choices []string, field func(*Config) *string) setting {
	return setting{
		name: name, help: help, def: def, allowed: strings.Join(choices, ", "),
		apply: func(c *Config, value string) error {
			if !slices.Contains(choices, value) {
				return errNotAllowed
			}
			*field(c) = value
			return nil
		},
	}
}

// fileSetting returns an optional setting that is the path of a PEM file.
func fileSetting(name, help string, field func(*Config) *string) setting {
	return setting{
		name: name, help: help, allowed: "path of a PEM file",
		apply: func(c *Config, value string) error {
			*field(c) = value
			return nil
		},
	}
}

// boolSetting returns a boolean setting.
func boolSetting(name, help string, field func(*Config) *bool) setting {
	return setting{
		name: name, help: help, allowed: "true or false", boolean: true,
		apply: func(c *Config, value string) error {
			on, err := strconv.ParseBool(value)
			if err != nil {
				return err
			}
			*field(c) = on
			return nil
		},
	}
}

// platformSetting returns the setting of the platform's URL.
func platformSetting() setting {
	return setting{
		name: "platform", help: "base URL of the platform", required: true,
		allowed: "http or https URL with a host and without query, such as http://127.0.0.1:9000",
		apply: func(c *Config, value string) error {
			u, err := url.Parse(value)
			if err != nil {
				return err
			}
			if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" {
				return errNotAllowed
			}
			c.Platform = u
			return nil
		},
	}
}

// operatorSetting returns the repeatable setting of the bootstrap operators.
func operatorSetting() setting {
	return setting{
		name: "bootstrap-operator", help: "operator that may sign the first bundle, NAME=KEY; repeatable",
		allowed:    "NAME=KEY with each name once; the key is an Ed25519 public key in standard base64",
		repeatable: true,
		apply: func(c *Config, value string) error {
			op, err := parseOperator(value)
			if err != nil {
				return err
			}
			known := slices.ContainsFunc(c.BootstrapOperators, func(o Operator) bool { return o.Name == op.Name })
			if known {
				return errNotAllowed
			}
			c.BootstrapOperators = append(c.BootstrapOperators, op)
			return nil
		},
	}
}

// rateSetting returns the setting of the commit rate.
func rateSetting() setting {
	return setting{
		name: "commit-rate", help: "table transactions per second", def: "15",
		allowed: "a number from 0.1 to 1000, transactions per second",
		apply: func(c *Config, value string) error {
			rate, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return err
			}
			// The negated condition also rejects NaN.
			if !(rate >= 0.1 && rate <= 1000) {
				return errNotAllowed
			}
			c.CommitRate = rate
			return nil
		},
	}
}

// intSetting returns a setting that is a whole number from low to high.
func intSetting(name, help, unit string, def, low, high int64, set func(*Config, int64)) setting {
	return setting{
		name: name, help: help, def: strconv.FormatInt(def, 10),
		allowed: fmt.Sprintf("a whole number from %d to %d, %s", low, high, unit),
		apply: func(c *Config, value string) error {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return err
			}
			if n < low || n > high {
				return errNotAllowed
			}
			set(c, n)
			return nil
		},
	}
}
