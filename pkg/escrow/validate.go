package escrow

import (
	"errors"
	"fmt"
)

// errInvalidRequest is the reply to a request that no process of the fleet can have meant:
// negative tokens would add to the budget.
var errInvalidRequest = errors.New("invalid request")

// validate returns an error if the request must not be applied to the account.
func (r ShareRequest) validate() error {
	switch {
	case r.Share.Incarnation == "" || r.Share.Host == "":
		return fmt.Errorf("%w: share without host or process", errInvalidRequest)
	case r.Share.Amount < 0 || r.Share.Seq < 0 || r.Share.Epoch < 0 || r.Used < 0:
		return fmt.Errorf("%w: negative number in the share of %s", errInvalidRequest, r.Share.key())
	}
	for key, used := range r.ExpiredShares {
		if used < 0 {
			return fmt.Errorf("%w: %d tokens used from the expired share %s", errInvalidRequest, used, key)
		}
	}
	for _, e := range r.EndedProcesses {
		if err := e.Report.validate(); err != nil {
			return err
		}
	}
	if r.Usage != nil {
		return r.Usage.validate()
	}
	return nil
}

// validate returns an error if the reply must not be used to recover an account.
func (r RecallReply) validate() error {
	switch {
	case r.Host == "" || r.Incarnation == "":
		return fmt.Errorf("%w: reply without host or process", errInvalidRequest)
	case r.Share.Amount < 0 || r.Share.Seq < 0 || r.Share.Epoch < 0:
		return fmt.Errorf("%w: negative number in the share of %s", errInvalidRequest, r.Incarnation)
	case r.Share.Amount > 0 && r.Share.Incarnation != r.Incarnation:
		return fmt.Errorf("%w: share of %s told by %s", errInvalidRequest, r.Share.Incarnation, r.Incarnation)
	}
	for key, used := range r.Expired {
		if used < 0 {
			return fmt.Errorf("%w: %d tokens used from the expired share %s", errInvalidRequest, used, key)
		}
	}
	for _, report := range r.Reports {
		if err := report.validate(); err != nil {
			return err
		}
	}
	if r.Account != nil {
		return r.Account.validate()
	}
	return nil
}

// validate returns an error if the report cannot be one of a process of the fleet.
func (r UsageReport) validate() error {
	for customer, u := range r.Customers {
		if err := u.validate(); err != nil {
			return fmt.Errorf("usage of %s: %w", customer, err)
		}
	}
	return nil
}

func (u Usage) validate() error {
	if min(u.Used, u.Ceiling, u.CeilingRate, u.SustainedRate, u.Burst, u.LongTermDemand, u.PeakRequest, u.ShortageTokens) < 0 || u.Epoch < 0 {
		return fmt.Errorf("%w: negative number of tokens", errInvalidRequest)
	}
	return nil
}
