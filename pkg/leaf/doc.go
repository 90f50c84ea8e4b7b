// Package leaf speaks to upstreams: their wire form, their connections and their errors.
package leaf
