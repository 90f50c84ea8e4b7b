// Package platform reads the platform's list of live and leaving leafs, which lags.
package platform
