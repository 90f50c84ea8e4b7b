package router

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

type (
	// TenantFields are the settings of a tenant, a client account whose requests bear one of its keys.
	TenantFields struct {
		Name string
		Keys []string
		// RatePerSecond and Burst are the allowance of the tenant over all instances. A rate of 0 means no limit.
		RatePerSecond float64
		Burst         float64
		// Priority goes before that of the route if HasPriority is set.
		Priority    int
		HasPriority bool
	}

	// Tenant is a validated tenant.
	Tenant struct {
		fields TenantFields
	}

	// KeyDigest is the hash by which a key is looked up. Tables hold no keys.
	KeyDigest [sha256.Size]byte

	// BuildOption is an optional part of a table.
	BuildOption func(*Table) (problems []string)
)

// NewTenant returns a tenant with the given fields, which must be valid.
func NewTenant(fields TenantFields) *Tenant { return &Tenant{fields: fields} }

// Name returns the name of the tenant.
func (t *Tenant) Name() string { return t.fields.Name }

// Priority returns the rank that goes before that of the route, and whether the tenant has one. 0 is the highest priority.
func (t *Tenant) Priority() (int, bool) { return t.fields.Priority, t.fields.HasPriority }

// Allowance returns the requests per second and the burst that the tenant has over all instances. A rate of 0 means no limit.
func (t *Tenant) Allowance() (perSecond, burst float64) {
	return t.fields.RatePerSecond, t.fields.Burst
}

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// WithTenants makes the table require a key of one of the tenants, except on anonymous routes.
func WithTenants(tenants []TenantFields) BuildOption {
	return func(t *Table) (problems []string) {
		t.holders, t.tenants = map[KeyDigest]*Tenant{}, make(map[string]*Tenant, len(tenants))
		for i, fields := range tenants {
			if problem := t.addTenant(fields); problem != "" {
				problems = append(problems, fmt.Sprintf("tenant %d %q: %s", i+1, fields.Name, problem))
			}
		}
		return problems
	}
}

// addTenant inserts a tenant and returns its problem, which never names a key, or an empty string if it is valid.
func (t *Table) addTenant(fields TenantFields) string {
	if problem := validateTenant(fields); problem != "" {
		return problem
	}
	if t.tenants[fields.Name] != nil {
		return "another tenant has the same name"
	}
	keys := fields.Keys
	fields.Keys = nil
	tenant := NewTenant(fields)
	t.tenants[fields.Name] = tenant
	for _, key := range keys {
		digest := DigestKey(key)
		if holder := t.holders[digest]; holder != nil && holder != tenant {
			return fmt.Sprintf("it shares a key with the tenant %q", holder.Name())
		}
		t.holders[digest] = tenant
	}
	return ""
}

func validateTenant(fields TenantFields) string {
	switch {
	case fields.Name == "":
		return "it has no name"
	case strings.ContainsFunc(fields.Name, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return "its name has a control character"
	case slices.Contains(fields.Keys, ""):
		return "it has an empty key"
	case !isAllowance(fields.RatePerSecond):
		return fmt.Sprintf("the rate %g is no number of requests a second", fields.RatePerSecond)
	case !isAllowance(fields.Burst):
		return fmt.Sprintf("the burst %g is no number of requests", fields.Burst)
	}
	return ""
}

func isAllowance(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

// HasTenants reports whether requests need a key of a tenant, except on anonymous routes.
func (t *Table) HasTenants() bool { return t.holders != nil }

// KeyHolder returns the tenant that holds the key with the given digest, and whether there is one.
func (t *Table) KeyHolder(digest KeyDigest) (*Tenant, bool) {
	tenant, ok := t.holders[digest]
	return tenant, ok
}

// TenantNamed returns the tenant of the given name, and whether there is one.
func (t *Table) TenantNamed(name string) (*Tenant, bool) {
	tenant, ok := t.tenants[name]
	return tenant, ok
}

// Tenants returns all tenants, ordered by name.
func (t *Table) Tenants() []*Tenant {
	tenants := make([]*Tenant, 0, len(t.tenants))
	for _, name := range slices.Sorted(maps.Keys(t.tenants)) {
		tenants = append(tenants, t.tenants[name])
	}
	return tenants
}
