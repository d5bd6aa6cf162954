package engine

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// localFaults are dial errors caused by this host. Counting them against the
// target would take every target out of service when this host runs out of
// descriptors or ports.
var localFaults = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// dialFailed reports whether err is a failure to connect for which the target
// or the network is the cause.
func dialFailed(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		return false
	}
	return !slices.ContainsFunc(localFaults, func(fault error) bool { return errors.Is(err, fault) })
}
