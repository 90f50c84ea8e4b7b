// Package operator implements the administration API of an instance: its server and a client.
package operator
