// Package soak runs edge daemons as processes of their own under random faults
// and checks what callers and targets saw. A seed repeats the plan of faults, not
// their timing.
//
// SOAK_SEED runs one seed, SOAK_SEEDS that many fresh ones, SOAK_SECONDS sets how
// long the faults of each last, SOAK_HOSTS and SOAK_TARGETS the size.
package soak
