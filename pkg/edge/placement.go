package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/forward"
)

// PlacementPath is the path at the operators' address that tells which target a request would get.
// Its query has the route, and may have the customer, the parts of the prompt in the form of the
// header, and the tokens of the prompt and of the output.
const PlacementPath = "/placement"

// maxPlacementTokens bounds the sizes in a query. Sums of larger ones could overflow.
const maxPlacementTokens = 1 << 40

func (d *Daemon) servePlacement(w http.ResponseWriter, r *http.Request) {
	q, err := d.placementQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.handler.Placement(q)); err != nil {
		d.log.Info().Err(err).Msg("Placement response could not be sent.")
	}
}

func (d *Daemon) placementQuery(r *http.Request) (forward.PlacementQuery, error) {
	values := r.URL.Query()
	q := forward.PlacementQuery{Route: values.Get("route"), Customer: values.Get("customer")}
	var err error
	if parts := values.Get("parts"); parts != "" {
		if q.Parts, err = d.handler.Dialect.ParseParts(parts); err != nil {
			return q, fmt.Errorf("parts: %w", err)
		}
	}
	for _, part := range q.Parts {
		if part.Tokens > maxPlacementTokens {
			return q, fmt.Errorf("parts: %d tokens exceed %d", part.Tokens, int64(maxPlacementTokens))
		}
	}
	if q.PromptTokens, err = tokensParameter(values.Get("prompt")); err != nil {
		return q, fmt.Errorf("prompt: %w", err)
	}
	if q.OutputTokens, err = tokensParameter(values.Get("output")); err != nil {
		return q, fmt.Errorf("output: %w", err)
	}
	return q, nil
}

func tokensParameter(value string) (int64, error) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 || n > maxPlacementTokens {
		return 0, fmt.Errorf("%q is not a number of tokens from 0 to %d", value, int64(maxPlacementTokens))
	}
	return n, nil
}
