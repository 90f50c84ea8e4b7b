// Package estimator learns how long a leaf of usual speed works on a request, by route, service, tenant and size of the request.
package estimator
