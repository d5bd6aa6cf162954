package routing

// Service is a group of equal targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // per target, from all hosts together; 0: no bound
	Engine         *EngineLimits
}

// EngineLimits describe the model engines of a service.
type EngineLimits struct {
	Slots          int // requests in one batch
	CacheTokens    int // memory for prompts and answers
	TokensPerEvent int // most tokens in one event of a stream
}
