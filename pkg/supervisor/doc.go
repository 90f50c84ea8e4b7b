// Package supervisor is the command line of lovagedeckd, the daemon of every instance.
package supervisor
