// Package soak runs edge daemons as processes of their own under random faults
// and checks what callers and targets saw. A seed repeats the plan of faults, not
// their timing.
//
// Without settings one seed is played. SOAK_SEED plays another one, SOAK_SEEDS that
// many fresh ones; SOAK_SECONDS sets how long the faults of each last, SOAK_HOSTS
// and SOAK_TARGETS the size. Seeds that once failed are always played.
package soak
