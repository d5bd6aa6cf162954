package dialect

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
)

// Default returns peppertrail's own headers.
func Default() Dialect {
	return Dialect{
		RequestID:      "Peppertrail-Request",
		CallTimeout:    "Peppertrail-Timeout",
		Key:            "Peppertrail-Key",
		Customer:       "Peppertrail-Customer",
		Cost:           "Peppertrail-Cost",
		PromptParts:    "Peppertrail-Prompt-Parts",
		OutputHint:     "Peppertrail-Output-Hint",
		ExpectTarget:   "Peppertrail-Target",
		Priority:       "Peppertrail-Priority",
		NotRun:         "Peppertrail-Not-Run",
		Load:           "Peppertrail-Load",
		Leaving:        "Peppertrail-Leaving",
		RateLimit:      "Peppertrail-Rate-Limit",
		LastEventID:    "Last-Event-Id",
		ParseTimeout:   time.ParseDuration,
		FormatTimeout:  time.Duration.String,
		ParseCost:      parseCost,
		ParseParts:     parseParts,
		ParseLoad:      parseLoad,
		FormatPriority: strconv.Itoa,
	}
}

// parseCost parses the form "prompt=12 output=3".
func parseCost(value string) (Cost, error) {
	var c Cost
	if _, err := fmt.Sscanf(value, "prompt=%d output=%d", &c.Prompt, &c.MaxOutput); err != nil || c.Prompt < 0 || c.MaxOutput < 0 {
		return Cost{}, fmt.Errorf("cost %q does not have the form prompt=N output=N", value)
	}
	return c, nil
}

// parseParts parses the form "id=tokens; id=tokens".
func parseParts(value string) ([]balance.Part, error) {
	var parts []balance.Part
	for part := range strings.SplitSeq(value, ";") {
		id, count, found := strings.Cut(strings.TrimSpace(part), "=")
		tokens, err := strconv.ParseInt(count, 10, 64)
		if !found || err != nil || tokens < 0 {
			return nil, fmt.Errorf("prompt part %q does not have the form ID=TOKENS", part)
		}
		parts = append(parts, balance.Part{ID: id, Tokens: tokens})
	}
	return parts, nil
}

// parseLoad parses the form "running=1 waiting=2 slots=3".
func parseLoad(value string) (balance.Load, error) {
	var l balance.Load
	if _, err := fmt.Sscanf(value, "running=%d waiting=%d slots=%d", &l.Running, &l.Waiting, &l.Slots); err != nil {
		return balance.Load{}, fmt.Errorf("load %q does not have the form running=N waiting=N slots=N", value)
	}
	return l, nil
}
