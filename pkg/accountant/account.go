package accountant

import (
	"lovagedeck/pkg/petitioner"
	"lovagedeck/pkg/router"
)

// Account is what this instance knows of the allowance of a tenant.
type Account struct {
	// Responsible are the instances that decide, in the order in which they are asked. If none can be reached, this instance decides within
	// its own share.
	Responsible []petitioner.Responsible
	// Held is the number of tokens that this instance holds in advance.
	Held int
	// Level is the number of tokens that the tenant has at this instance, and Capacity the most that it can have. HasLevel is set if it has
	// asked this instance lately.
	Level, Capacity float64
	HasLevel        bool
}

// Account returns what is known of the allowance of a tenant in the routing document of the given version. It takes no token.
func (a *Accountant) Account(tenant *router.Tenant, version uint64) Account {
	account := Account{Responsible: a.petitioner.Responsibility(seatOf(tenant.Name(), int(a.seats.Load())))}
	a.mu.Lock()
	account.Held = a.holder.Held(tenant.Name(), version, a.config.Now())
	a.mu.Unlock()
	account.Level, account.Capacity, account.HasLevel = a.config.Service.level(tenant.Name())
	return account
}
