package engine

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// localDialErrors are dial errors caused by this host. If they counted against
// the target, every target would be taken out of service when this host runs
// out of file descriptors or ports.
var localDialErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// isRemoteDialError reports whether err is a failure to connect that the target
// or the network caused.
func isRemoteDialError(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		return false
	}
	return !slices.ContainsFunc(localDialErrors, func(fault error) bool { return errors.Is(err, fault) })
}
