// Package operator is the administration API and its client.
package operator
