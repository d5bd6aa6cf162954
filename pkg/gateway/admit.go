package gateway

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// bearerPrefix is the scheme at the start of the Authorization header. It is compared
// without regard to case.
const bearerPrefix = "Bearer "

// admitFunc checks the body of a request for one route and sets the fields of the
// request that depend on the route, such as service, bound and body.
type admitFunc func(x *exchange, catalog Catalog, req *request, body []byte) *verdict.Error

// admit authenticates and validates a request. All its refusals have verdict NotRun.
func (x *exchange) admit(admitBody admitFunc) (*request, *verdict.Error) {
	if x.server.outbox.Full() {
		return nil, verdict.New(verdict.NotRun, verdict.BudgetUnreachable, "too many settlements wait to become durable").WithRetryAfter(defaultRetryAfter)
	}
	catalog, refusal := x.server.opts.Catalogs.Current()
	if refusal != nil {
		return nil, refusal
	}
	customer, refusal := authenticate(catalog, x.r.Header)
	if refusal != nil {
		return nil, refusal
	}
	x.customer = customer.ID
	headers, refusal := parseHeaders(x.r.Header)
	if refusal != nil {
		return nil, refusal
	}
	req := &request{customer: customer, id: x.id, nonIdempotent: headers.nonIdempotent}
	req.priority = min(headers.priority, customer.MaxPriority)
	if headers.deadline > 0 {
		req.deadline = x.received.Add(headers.deadline)
	}
	if req.budget, refusal = chooseBudget(customer, headers.budget); refusal != nil {
		return nil, refusal
	}
	body, refusal := x.readBody()
	if refusal != nil {
		return nil, refusal
	}
	if refusal := admitBody(x, catalog, req, body); refusal != nil {
		return nil, refusal
	}
	if req.nonIdempotent && headers.key == "" {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest,
			"header %s is missing: a non-idempotent request needs one so that its retry is recognised", idempotencyKeyHeader)
	}
	req.fingerprint = fingerprint(customer.ID, x.r.Method, x.r.URL.RequestURI(), body)
	x.record(telemetry.Step{Kind: telemetry.StepAdmitted, Tokens: req.bound})
	return req, nil
}

// authenticate returns the customer that owns the API key in the Authorization header.
func authenticate(catalog Catalog, h http.Header) (bundle.Customer, *verdict.Error) {
	values := h.Values("Authorization")
	if len(values) != 1 || len(values[0]) <= len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return bundle.Customer{}, verdict.New(verdict.NotRun, verdict.Unauthorized, "header Authorization: allowed: Bearer followed by an API key")
	}
	customer, ok := catalog.CustomerByKey(hashAPIKey(values[0][len(bearerPrefix):]))
	if !ok {
		return bundle.Customer{}, verdict.New(verdict.NotRun, verdict.UnknownCustomer, "the API key belongs to no customer")
	}
	return customer, nil
}

// chooseBudget returns the budget that a request is charged to: the requested one, or
// the customer's default if none is requested. It refuses a budget that the customer
// does not own.
func chooseBudget(customer bundle.Customer, requested string) (string, *verdict.Error) {
	budget := requested
	if budget == "" {
		budget = customer.Budget
	}
	if budget == "" || (budget != customer.Budget && !slices.Contains(customer.Budgets, budget)) {
		return "", verdict.New(verdict.NotRun, verdict.UnknownBudget, "budget %q is not one of this customer", budget)
	}
	return budget, nil
}

// readBody reads the body up to the size limit. The request is refused if the body
// has not arrived completely within StallTimeout.
func (x *exchange) readBody() ([]byte, *verdict.Error) {
	began := time.Now()
	defer func() { x.waited += time.Since(began) }()
	// The response writers of some tests do not support deadlines; the body is then read
	// without a time limit.
	_ = x.control.SetReadDeadline(began.Add(x.server.opts.StallTimeout))
	defer func() { _ = x.control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.server.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, verdict.TooLarge, "body: allowed: at most %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

// admitChat validates the body of a chat completion and sets the request fields that
// depend on it.
func admitChat(x *exchange, catalog Catalog, req *request, body []byte) *verdict.Error {
	chat, err := parseChat(body)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	service, ok := catalog.ServiceByModel(chat.model)
	if !ok || !slices.Contains(req.customer.Services, service.Name) {
		return verdict.New(verdict.NotRun, verdict.UnknownModel, "model %q is unknown or not permitted to this customer", chat.model)
	}
	req.maxOutput = chat.maxTokens
	if req.maxOutput == 0 {
		req.maxOutput = service.MaxOutput
	}
	if req.maxOutput <= 0 || req.maxOutput > service.MaxOutput {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "max_tokens: %d: allowed: 1 to %d", req.maxOutput, service.MaxOutput)
	}
	if req.body, err = chat.targetBody(req.maxOutput); err != nil {
		return verdict.New(verdict.NotRun, verdict.Internal, "%v", err)
	}
	req.service = service
	req.stream = chat.stream
	req.prefix = chat.prefix()
	req.bound = chat.promptBound() + req.maxOutput
	req.nonIdempotent = req.nonIdempotent || isNonIdempotent(service, chatPath)
	return nil
}

// admitPlain validates a call to a plain service and sets the request fields that
// depend on it.
func admitPlain(x *exchange, catalog Catalog, req *request, body []byte) *verdict.Error {
	name := x.r.PathValue("service")
	service, ok := catalog.Service(name)
	if !ok || service.Model != "" || !slices.Contains(req.customer.Services, name) {
		return verdict.New(verdict.NotRun, verdict.UnknownService, "service %q is unknown or not permitted to this customer", name)
	}
	path, err := cleanPath(x.r.PathValue("..."))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	serviceURL := url.URL{Path: path, RawQuery: x.r.URL.RawQuery}
	req.plain = true
	req.service = service
	req.method = x.r.Method
	req.path = serviceURL.RequestURI()
	req.header = requestHeader(x.r.Header)
	req.body = body
	req.bound = service.CallCost
	req.nonIdempotent = req.nonIdempotent || isNonIdempotent(service, path)
	return nil
}
