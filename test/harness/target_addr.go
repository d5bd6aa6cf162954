package harness

// Addr returns the address of the process itself, past the proxy.
func (g *Target) Addr() string { return g.addr }
