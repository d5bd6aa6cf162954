package harness

// Addr returns the address of the target process, which bypasses the proxy.
func (g *Target) Addr() string { return g.addr }
