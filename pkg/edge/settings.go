package edge

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Settings are the settings of an edge daemon.
type Settings struct {
	Host          string // unique in the fleet
	FailureDomain string
	Region        string
	Listen        string        // address for callers, by IP number
	ReadyListen   string        // address at which the balancer asks whether the daemon is ready
	AdminListen   string        // address for operators and metrics; empty: none
	PeerListen    string        // address for datagrams of other hosts; empty: none
	Store         string        // address of the store
	Memory        int64         // bytes that the process may use; 0: no bound
	Grace         time.Duration // from the order to stop to the kill
	RetryRatio    float64       // further attempts per request, of all hosts together
	RetryWindow   time.Duration
	RetryReserve  float64 // further attempts in a window whatever the requests are, of all hosts together
}

const (
	defaultGrace       = 8 * time.Second
	defaultRetryWindow = 10 * time.Second
)

// Check fills in defaults and returns an error that names each bad setting.
func (s *Settings) Check() error {
	var problems []error
	if s.Host == "" {
		problems = append(problems, errors.New("host name: must not be empty"))
	}
	addresses := map[string]string{"listen address for callers": s.Listen, "listen address for readiness": s.ReadyListen, "address of the store": s.Store}
	if s.AdminListen != "" {
		addresses["listen address for operators"] = s.AdminListen
	}
	if s.PeerListen != "" {
		addresses["listen address for other hosts"] = s.PeerListen
	}
	for name, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			problems = append(problems, fmt.Errorf("%s %q: %w", name, address, err))
		}
	}
	if s.Memory < 0 || s.RetryRatio < 0 || s.RetryReserve < 0 || s.Grace < 0 || s.RetryWindow < 0 {
		problems = append(problems, errors.New("memory, retry and grace settings: must not be negative"))
	}
	if s.Grace == 0 {
		s.Grace = defaultGrace
	}
	if s.RetryWindow == 0 {
		s.RetryWindow = defaultRetryWindow
	}
	return errors.Join(problems...)
}
