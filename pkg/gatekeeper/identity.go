// A request is identified once, by the instance that received it. A key that a
// newer routing document has taken away or given to another tenant is found
// again before each attempt, so that a request that waited does not run for a
// tenant that no longer holds the key.

package gatekeeper

import (
	"net/http"

	"lovagedeck/pkg/router"
)

const (
	// keyHeld means that the tenant of a request holds its key, as far as this instance knows.
	keyHeld keyState = iota
	// keyWithdrawn means that no tenant holds the key any more.
	keyWithdrawn
	// keyMoved means that another tenant holds the key.
	keyMoved
)

const (
	reasonNoKey        = "the request has no key"
	reasonSeveralKeys  = "the request has several keys"
	reasonUnknownKey   = "the key is unknown"
	reasonKeyWithdrawn = "the key was taken away"
	reasonKeyMoved     = "the key was given to another tenant"
)

type (
	// keyState is what a routing document says about the key of a request that was identified with a former one.
	keyState int

	// identity is who sent a request.
	identity struct {
		// tenant is the holder of the caller's key, or nil if the request needs none and bears none that is known.
		tenant *router.Tenant
		// key is the digest of the key if there is a tenant.
		key router.KeyDigest
	}
)

// identify returns who sent a request, or the reason for which it is unauthorized. On an anonymous route a known key names its tenant,
// and an unknown one does not matter.
func (g *Gatekeeper) identify(table *router.Table, route *router.Route, header http.Header) (who identity, reason string) {
	if !table.HasTenants() {
		return identity{}, ""
	}
	switch keys := header[g.config.Headers.Key]; {
	case len(keys) == 1:
		digest := router.DigestKey(keys[0])
		return identifyKey(table, route, &digest)
	case len(keys) > 1 && !route.IsAnonymous():
		return identity{}, reasonSeveralKeys
	case len(keys) > 1:
		return identity{}, ""
	}
	return identifyKey(table, route, nil)
}

// identifyKey returns who sent a request with the key of the given digest, or with none.
func identifyKey(table *router.Table, route *router.Route, digest *router.KeyDigest) (who identity, reason string) {
	if !table.HasTenants() {
		return identity{}, ""
	}
	reason = reasonNoKey
	if digest != nil {
		if tenant, ok := table.KeyHolder(*digest); ok {
			return identity{tenant: tenant, key: *digest}, ""
		}
		reason = reasonUnknownKey
	}
	if route.IsAnonymous() {
		reason = ""
	}
	return identity{}, reason
}

// keyStateOf returns whether the sender of a request identified with the given version still holds its key.
func (g *Gatekeeper) keyStateOf(who identity, version uint64) keyState {
	table := g.table.Load()
	if who.tenant == nil || table == nil || table.Version() <= version || !table.HasTenants() {
		return keyHeld
	}
	switch holder, ok := table.KeyHolder(who.key); {
	case !ok:
		return keyWithdrawn
	case holder.Name() != who.tenant.Name():
		return keyMoved
	}
	return keyHeld
}

// newPeerIdentity returns who sent a request that another instance received. Former builds state no tenant.
func (g *Gatekeeper) newPeerIdentity(tenantName string, key []byte) identity {
	if tenantName == "" {
		return identity{}
	}
	who := identity{tenant: router.NewTenant(router.TenantFields{Name: tenantName})}
	copy(who.key[:], key)
	if table := g.table.Load(); table != nil {
		if tenant, ok := table.TenantNamed(tenantName); ok {
			who.tenant = tenant
		}
	}
	return who
}

// tenantName returns the name of the tenant, or an empty string if there is none.
func (who identity) tenantName() string {
	if who.tenant == nil {
		return ""
	}
	return who.tenant.Name()
}

// peerKey returns the digest of the key for another instance, or nil if there is no tenant.
func (who identity) peerKey() []byte {
	if who.tenant == nil {
		return nil
	}
	return who.key[:]
}

// applyTo changes the refusal of a request that has not run to one for its key. A caller whose key has moved may try again, and is
// then identified anew.
func (s keyState) applyTo(r *refusal) {
	switch s {
	case keyWithdrawn:
		r.status, r.reason, r.retryAfter = http.StatusUnauthorized, reasonKeyWithdrawn, 0
	case keyMoved:
		r.status, r.reason, r.retryAfter = http.StatusServiceUnavailable, reasonKeyMoved, overloadRetryAfter
	}
}
