// Package limiter keeps all instances together within the request rate that an overloaded leaf states in its responses. Each
// leaf has one instance that allocates its requests; the other instances get a permit from it for each request.
package limiter
