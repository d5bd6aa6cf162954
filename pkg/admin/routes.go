package admin

import (
	"net/http"

	"github.com/alexedwards/flow"
)

// apiPrefix is the path prefix of every endpoint.
const apiPrefix = "/admin/v1"

func (s *Server) routes() http.Handler {
	mux := flow.New()
	mux.NotFound = http.HandlerFunc(notFound)
	mux.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	get := func(path string, run endpoint) { mux.HandleFunc(apiPrefix+path, s.authenticated(run), http.MethodGet) }
	post := func(path string, run endpoint) { mux.HandleFunc(apiPrefix+path, s.authenticated(run), http.MethodPost) }

	post("/bundles", s.submitBundle)
	get("/bundles/current", s.showCurrent)
	get("/bundles/status", s.showStatus)
	get("/bundles/versions/:version", s.showVersion)
	get("/bundles/proposals", s.listProposals)
	get("/bundles/proposals/:digest", s.showProposal)
	post("/bundles/proposals/:digest/signoffs", s.signOff)

	get("/customers", s.listCustomers)
	get("/customers/:customer/bill", s.showBill)

	get("/budgets", s.listBudgets)
	post("/budgets", s.createBudget)
	get("/budgets/:budget", s.showBudget)
	post("/budgets/:budget/topups", s.topUp)

	get("/requests/:customer/:request", s.showRequest)
	get("/targets", s.listTargets)
	post("/targets/:target/drain", s.drainTarget)
	get("/hosts", s.listHosts)
	get("/repairs", s.listRepairs)
	return mux
}
