// The retry budget of a service is shared by what each instance has to do.

package gatekeeper

import "lovagedeck/pkg/hedger"

// countRequest counts a request of a caller, and one for each of the services that this instance asks, however often they are
// tried.
func (f *fleet) countRequest(services []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.OnRequest(f.now())
	f.countServices(services)
}

// countSlice counts one request for each service of a slice; the caller's request is counted where it arrived.
func (f *fleet) countSlice(services []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countServices(services)
}

func (f *fleet) countServices(services []string) {
	now := f.now()
	if !f.opensAhead {
		f.opensAhead = true
		f.wantWarm()
	}
	for _, name := range services {
		if s := f.services[name]; s != nil {
			s.allowance.OnRequest(now)
		}
	}
}

// requests returns how many requests this instance had in the window of the budget.
func (f *fleet) requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load.Requests(f.now())
}

// setAllRequests takes how many requests all instances had, and shares the budget by it.
func (f *fleet) setAllRequests(all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allRequests = all
	f.shareBudget()
	f.chooseSlices()
}

func (f *fleet) shareBudget() {
	part := f.budgetPart()
	for _, s := range f.services {
		s.allowance.Share(f.budget, part)
	}
}

func (f *fleet) budgetPart() float64 {
	return hedger.Part(f.load.Requests(f.now()), f.allRequests, f.instances)
}
