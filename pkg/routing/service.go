package routing

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	HealthPath     string        // path of the targets' health check
	MaxConnections int           // connections to one target, from all hosts together; 0: no limit
	WarmUpRate     float64       // requests per second that a target takes from all hosts together while it warms up; 0: no limit
	Engine         *EngineLimits // nil: the targets are not model engines
}

// EngineLimits are the limits of each model engine of a service.
type EngineLimits struct {
	Slots          int // requests that an engine runs in one batch
	CacheTokens    int // tokens of prompts and outputs that fit in an engine's cache
	TokensPerEvent int // maximum tokens in one event of a stream
}
