package ratelimit

// Result is the result of asking an issuer for a permit. It is a label of the metrics.
type Result string

// Results of asking an issuer for a permit.
const (
	Granted    Result = "granted"
	Denied     Result = "denied"
	Unanswered Result = "unanswered"
)

// Results returns every result, so that a counter can be registered for each.
func Results() []Result { return []Result{Granted, Denied, Unanswered} }

func resultOf(r PermitReply) Result {
	if r.Granted {
		return Granted
	}
	return Denied
}
