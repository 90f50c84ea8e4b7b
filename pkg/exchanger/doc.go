// Package exchanger sends HTTP requests to upstreams over pooled connections and returns their complete responses.
package exchanger
