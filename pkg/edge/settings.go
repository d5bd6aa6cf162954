package edge

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Settings are the settings of an edge daemon.
type Settings struct {
	Host          string // host name, unique in the fleet
	FailureDomain string
	Region        string
	CallerListen  string // listen address for callers, IP:port
	ReadyListen   string // listen address for readiness checks of the load balancer
	AdminListen   string // listen address for operators and metrics; empty: no listener
	PeerListen    string // UDP and TCP listen address for other hosts; empty: no listener
	RequestListen string // listen address for requests of other hosts; empty: no listener
	StoreAddress  string // address of the store, IP:port
	// StoreWritesPerSecond is the number of writes per second that the store takes from all
	// hosts together; 0: a default.
	StoreWritesPerSecond float64
	MemoryBytes          int64         // memory available to the process, in bytes; 0: no limit
	Sockets              int           // sockets that the process may have open; 0: no limit
	Cores                float64       // processor cores that the process may use; 0: unknown
	LinkMbps             float64       // rate of the host's link in Mbit/s; 0: unknown
	ConfigurationTime    time.Duration // time from a change of the configuration until all hosts act by it; 0: defaultConfigurationTime
	GracePeriod          time.Duration // time between SIGTERM and SIGKILL; 0: defaultGracePeriod
	RetryRatio           float64       // retries allowed per request, summed over all hosts
	RetryWindow          time.Duration // window in which retries and requests are counted; 0: defaultRetryWindow
	RetryReserve         float64       // retries allowed per window regardless of the number of requests, summed over all hosts
	Clients              ClientLimits  // limits for callers
}

const (
	defaultGracePeriod = 8 * time.Second
	defaultRetryWindow = 10 * time.Second
	// defaultConfigurationTime is the least that operators allow.
	defaultConfigurationTime = 2 * time.Second
)

// CheckAndSetDefaults sets defaults and returns an error that lists all problems
// of the settings.
func (s *Settings) CheckAndSetDefaults() error {
	var problems []error
	if s.Host == "" {
		problems = append(problems, errors.New("host name: must not be empty"))
	}
	addresses := map[string]string{"listen address for callers": s.CallerListen, "listen address for readiness": s.ReadyListen, "address of the store": s.StoreAddress}
	if s.AdminListen != "" {
		addresses["listen address for operators"] = s.AdminListen
	}
	if s.PeerListen != "" {
		addresses["listen address for other hosts"] = s.PeerListen
	}
	if s.RequestListen != "" {
		addresses["listen address for requests of other hosts"] = s.RequestListen
	}
	for name, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			problems = append(problems, fmt.Errorf("%s %q: %w", name, address, err))
		}
	}
	if err := s.Clients.CheckAndSetDefaults(); err != nil {
		problems = append(problems, err)
	}
	if s.Sockets < 0 || s.Sockets > 0 && s.callerLimit() == 0 {
		problems = append(problems, fmt.Errorf("sockets: %d leave none for callers", s.Sockets))
	}
	if s.StoreWritesPerSecond < 0 {
		problems = append(problems, fmt.Errorf("writes per second of the store: %v must not be negative", s.StoreWritesPerSecond))
	}
	if s.Cores < 0 || s.LinkMbps < 0 || s.ConfigurationTime < 0 {
		problems = append(problems, errors.New("cores, link and configuration time: must not be negative"))
	}
	if s.MemoryBytes < 0 || s.RetryRatio < 0 || s.RetryReserve < 0 || s.GracePeriod < 0 || s.RetryWindow < 0 {
		problems = append(problems, errors.New("memory, retry and grace settings: must not be negative"))
	}
	if s.GracePeriod == 0 {
		s.GracePeriod = defaultGracePeriod
	}
	if s.ConfigurationTime == 0 {
		s.ConfigurationTime = defaultConfigurationTime
	}
	if s.RetryWindow == 0 {
		s.RetryWindow = defaultRetryWindow
	}
	return errors.Join(problems...)
}
