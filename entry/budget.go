package entry

const (
	// budgetCap bounds the retries saved up at one service.
	budgetCap = 50.0
	// budgetStart lets the first requests after a start be retried.
	budgetStart = 5.0
)

// budgetEarn credits the retry budget of a service for a success.
func (e *Entry) budgetEarn(s *service) {
	s.budget = min(budgetCap, s.budget+e.cfg.Retry.Budget)
}

// budgetTake takes one retry out of the budget, if there is one.
func (e *Entry) budgetTake(s *service) bool {
	if s.budget < 1 {
		return false
	}
	s.budget--
	return true
}
