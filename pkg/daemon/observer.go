package daemon

import (
	"fmt"
	"strings"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// homeObserver logs the decisions of the local budget authority and records its repairs.
type homeObserver struct {
	log     *log.Logger
	metrics *telemetry.Metrics
	repairs *repairLog
}

// GrantOpened implements home.Observer.
func (o *homeObserver) GrantOpened(budget string, tokens int64) {
	o.log.Info().Str("budget", budget).Int64("tokens", tokens).Msg("Grant opened.")
}

// GrantClosed implements home.Observer.
func (o *homeObserver) GrantClosed(budget string, returned int64) {
	o.log.Info().Str("budget", budget).Int64("returned", returned).Msg("Grant closed.")
}

// LineBilled implements home.Observer.
func (o *homeObserver) LineBilled(customer string, tokens int64) {
	o.log.Debug().Str("customer", customer).Int64("tokens", tokens).Msg("Bill line stored in the table.")
}

// RequestStopped implements home.Observer.
func (o *homeObserver) RequestStopped(fingerprint string, targets []string) {
	o.repairs.add(telemetry.RepairRequestStopped, fingerprint, "Targets "+strings.Join(targets, ", ")+" died while they ran the request. It is refused from now on.")
}

// AttemptExpired implements home.Observer.
func (o *homeObserver) AttemptExpired(stream string, bound int64) {
	o.repairs.add(telemetry.RepairAttemptExpired, stream, fmt.Sprintf("No daemon settled the stream. Its bound of %d tokens was charged.", bound))
}

// LateLine implements home.Observer.
func (o *homeObserver) LateLine(grant string, tokens int64) {
	o.repairs.add(telemetry.RepairLateLine, grant, fmt.Sprintf("A line of %d tokens came after the grant was closed. It was moved out of the written-off part.", tokens))
}

// Overrun implements home.Observer.
func (o *homeObserver) Overrun(stream string, bound, reported int64) {
	o.log.Error().Str("stream", stream).Int64("bound", bound).Int64("reported", reported).Msg("Target reported more tokens than the upper bound of the stream; the bound was charged.")
}
