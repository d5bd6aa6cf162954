package harness

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// Names that all parts of a test fleet share.
const (
	region        = "morbihan"
	failureDomain = "kerhoas-nord"
	// Model is the model that callers ask for.
	Model = "chef"
	// ChatService is the service of the engines.
	ChatService = "chef-llm"
	// PlainService is the service of the plain service stand-ins.
	PlainService = "cantine-app"
)

// Options describe a fleet. Zero values take the defaults.
type Options struct {
	Daemons    int
	Engines    int
	Services   int
	Customers  []Customer
	Times      Times
	MaxOutput  int64    // tokens; default 64
	CallCost   int64    // tokens charged for a call of the plain service
	EngineArgs []string // further flags of the engines
	DaemonArgs []string // further flags of the daemons
}

// Times are settings of the daemons that are short so that a test with leases
// and fencing ends within a minute.
type Times struct {
	HolderTTL    time.Duration // default 3 s
	Renew        time.Duration // default 500 ms
	BundlePoll   time.Duration // default 500 ms
	Drain        time.Duration // default 20 s
	Platform     time.Duration // default 500 ms
	IdleTimeout  time.Duration // default 3 s
	RequestLimit time.Duration // default 20 s
}

// Customer is a caller with one budget.
type Customer struct {
	ID           string
	Budget       string
	Tokens       int64 // initial top-up
	CoverSeconds int
	MinTokens    int64
	MaxShare     float64
}

// withDefaults fills in what is not given.
func (o Options) withDefaults() Options {
	setDefaultInt(&o.Daemons, 3)
	setDefaultInt(&o.Engines, 2)
	if o.MaxOutput == 0 {
		o.MaxOutput = 64
	}
	o.Times = o.Times.withDefaults()
	return o
}

func (t Times) withDefaults() Times {
	setDefaultDuration(&t.HolderTTL, 3*time.Second)
	setDefaultDuration(&t.Renew, 500*time.Millisecond)
	setDefaultDuration(&t.BundlePoll, 500*time.Millisecond)
	setDefaultDuration(&t.Drain, 20*time.Second)
	setDefaultDuration(&t.Platform, 500*time.Millisecond)
	setDefaultDuration(&t.IdleTimeout, 3*time.Second)
	setDefaultDuration(&t.RequestLimit, 20*time.Second)
	return t
}

// args returns the flags of the times.
func (t Times) args() []string {
	return []string{
		"--holder-ttl", t.HolderTTL.String(),
		"--renew-interval", t.Renew.String(),
		"--bundle-poll", t.BundlePoll.String(),
		"--drain-timeout", t.Drain.String(),
		"--platform-timeout", t.Platform.String(),
		"--idle-timeout", t.IdleTimeout.String(),
		"--request-timeout", t.RequestLimit.String(),
	}
}

// entry returns the customer's part of the bundle.
func (c Customer) entry(keyHash string) bundle.Customer {
	return bundle.Customer{
		ID:           c.ID,
		KeyHashes:    []string{keyHash},
		Services:     []string{ChatService, PlainService},
		Budget:       c.Budget,
		MaxPriority:  9,
		CoverSeconds: c.CoverSeconds,
		MinTokens:    c.MinTokens,
		MaxShare:     c.MaxShare,
	}
}

func setDefaultInt(value *int, def int) {
	if *value == 0 {
		*value = def
	}
}

func setDefaultDuration(value *time.Duration, def time.Duration) {
	if *value == 0 {
		*value = def
	}
}
