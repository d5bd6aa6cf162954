// Package bandwidth measures what a host uses of its link and decides when it takes new
// connections of callers, so that the host's own traffic (store, budgets, configuration, other
// hosts) is not delayed.
//
// Load: one host gets many times the requests of its neighbours. The package does no I/O and
// takes the time as an argument.
package bandwidth
