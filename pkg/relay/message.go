package relay

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Methods of the protocol between hosts.
const (
	methodTransact = "rows.transact"
	methodRange    = "rows.range"
	methodParts    = "rows.parts"
	methodFeed     = "rows.feed"
)

// Error codes that a caller distinguishes.
const (
	codeNotApplied  = 1
	codeHistoryGone = 2
	codeUnavailable = 3
)

// ErrUnknownMethod means that the other host is of a release that does not have a method.
var ErrUnknownMethod = errors.New("unknown method")

// unknownMethodText is how a host says so, in all releases.
const unknownMethodText = "unknown method "

// rangeParams are the parameters of methodRange and methodParts.
type rangeParams struct {
	Table string `json:"table"`
	Part  string `json:"part,omitempty"`
	From  string `json:"from,omitempty"`
}

// feedParams are the parameters of methodFeed.
type feedParams struct {
	Table string        `json:"table"`
	Since uint64        `json:"since"`         // number of the version
	Era   uint64        `json:"era,omitempty"` // era of the version
	Wait  time.Duration `json:"wait_ns"`
}

// toWire converts an error to the one sent to another host.
func toWire(err error) *jsonrpc2.Error {
	code := int64(codeUnavailable)
	switch {
	case errors.Is(err, storage.ErrNotApplied):
		code = codeNotApplied
	case errors.Is(err, storage.ErrHistoryGone):
		code = codeHistoryGone
	}
	return &jsonrpc2.Error{Code: code, Message: err.Error()}
}

// fromWire converts the error of a relayed call. Without an answer from the other
// host, the outcome of the call is unknown.
func fromWire(peer string, err error) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		if strings.HasPrefix(remote.Message, unknownMethodText) {
			return fmt.Errorf("%w: by way of %s: %w: %s", storage.ErrNotApplied, peer, ErrUnknownMethod, remote.Message)
		}
		switch remote.Code {
		case codeNotApplied:
			return fmt.Errorf("by way of %s: %w: %s", peer, storage.ErrNotApplied, remote.Message)
		case codeHistoryGone:
			return fmt.Errorf("by way of %s: %w", peer, storage.ErrHistoryGone)
		}
	}
	return fmt.Errorf("%w: by way of %s: %w", storage.ErrUnavailable, peer, err)
}
