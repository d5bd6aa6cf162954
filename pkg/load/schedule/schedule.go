// Package schedule plans the requests of a measurement from a seed, so that all
// policies are measured with the same load.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Customers is the number of customers that send requests.
const Customers = 10

// weights are the customers' shares of the requests. A few customers send most.
var weights = [Customers]float64{0.34, 0.22, 0.16, 0.08, 0.05, 0.04, 0.04, 0.03, 0.02, 0.02}

// Sizes of a request. Answers are short so that many requests fit into a run.
const (
	minPromptBytes  = 40
	maxPromptBytes  = 200
	minAnswerTokens = 8
	maxAnswerTokens = 24
	// affinityShare is the share of a customer's requests that the load balancer
	// sends to the two preferred daemons of the customer. The rest goes to a random
	// daemon.
	affinityShare = 0.5
)

// Request is one planned request.
type Request struct {
	At             time.Duration // time from the start of the load
	Customer       int           // index of the customer, from 0
	Daemon         int           // index of the daemon, from 0
	IdempotencyKey string        // unique in the run
	Prompt         string        // unique in the run
	AnswerTokens   int           // limit and length of the answer
}

// Plan describes a load.
type Plan struct {
	Seed         uint64
	Rate         float64 // requests per second
	Duration     time.Duration
	Daemons      int
	OnlyCustomer int // customer that all requests come from; -1: all customers
}

// Requests returns the requests in order of time. The intervals between them are
// distributed exponentially.
func (p Plan) Requests() []Request {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var requests []Request
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return requests
		}
		customer := p.customer(random)
		requests = append(requests, Request{
			At:             at,
			Customer:       customer,
			Daemon:         p.daemon(random, customer),
			IdempotencyKey: fmt.Sprintf("r%d", len(requests)),
			Prompt:         prompt(random, len(requests)),
			AnswerTokens:   minAnswerTokens + random.IntN(maxAnswerTokens-minAnswerTokens+1),
		})
	}
}

func (p Plan) customer(random *rand.Rand) int {
	if p.OnlyCustomer >= 0 {
		return p.OnlyCustomer
	}
	x := random.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

// daemon returns the daemon of a request. If a single customer sends all requests,
// they are spread evenly, so that all daemons use the budget of this customer.
func (p Plan) daemon(random *rand.Rand, customer int) int {
	if p.OnlyCustomer >= 0 || random.Float64() >= affinityShare {
		return random.IntN(p.Daemons)
	}
	return (2*customer + random.IntN(2)) % p.Daemons
}

func prompt(random *rand.Rand, n int) string {
	text := fmt.Sprintf("request %d: ", n)
	size := minPromptBytes + random.IntN(maxPromptBytes-minPromptBytes+1)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

// MeanAnswerTokens is the mean length of an answer in tokens.
const MeanAnswerTokens = (minAnswerTokens + maxAnswerTokens) / 2

// MeanRequestTokens is an estimate of the tokens that a request uses, from which budgets
// are sized.
const MeanRequestTokens = 50

// Share returns a customer's share of the requests.
func (p Plan) Share(customer int) float64 {
	switch p.OnlyCustomer {
	case -1:
		return weights[customer]
	case customer:
		return 1
	}
	return 0
}
