// The retry budget of a service is divided among the instances by the requests
// that each of them receives.

package gatekeeper

import "lovagedeck/pkg/hedger"

// count counts a request once: at the instance of its caller, and for the services at the instance that sends it to their leafs.
func (f *fleet) count(in *inboundRequest, services []string) {
	switch {
	case in.isRelayed && in.isCounted:
	case in.isRelayed || in.isCounted:
		f.countSlice(services)
	default:
		f.countRequest(services)
	}
}

// countRequest counts a request of a caller, and one request to each given service, however many attempts follow.
func (f *fleet) countRequest(services []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCounter.OnRequest(f.now())
	f.countServices(services)
}

// countSlice counts one request to each service of a slice, or of a request of a caller that has been counted, here or by another
// instance.
func (f *fleet) countSlice(services []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countServices(services)
}

func (f *fleet) countServices(services []string) {
	now := f.now()
	if !f.allowsPrewarming {
		f.allowsPrewarming = true
		f.requestPrewarm()
	}
	for _, name := range services {
		if s := f.services[name]; s != nil {
			s.budget.OnRequest(now)
		}
	}
}

// recentRequests returns the number of requests that this instance received in the budget window.
func (f *fleet) recentRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestCounter.Requests(f.now())
}

// setTotalRequests sets the number of requests that all instances received in the budget window, and adapts the budget
// and the query mode to it.
func (f *fleet) setTotalRequests(total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.totalRequests = total
	f.allocateBudget()
	f.chooseQueryMode()
}

func (f *fleet) allocateBudget() {
	share := f.budgetShare()
	for _, s := range f.services {
		s.budget.SetShare(f.retryLimit, f.slackShare(s.name, share))
	}
}

// slackShare returns the share that this instance has of the slack of a service, given its share of a service that is not gathered.
func (f *fleet) slackShare(service string, instanceShare float64) float64 {
	if f.assignment.isDirect || len(f.assignment.plan.Gatherers(service)) == 0 {
		return instanceShare
	}
	return hedger.GatheredShare(instanceShare, f.assignment.plan.IsPrimary(f.self, service), len(f.instanceSet.Instances))
}

func (f *fleet) budgetShare() float64 {
	return hedger.InstanceShare(f.requestCounter.Requests(f.now()), f.totalRequests, f.instanceCount)
}
