// Package supervisor implements the command line of lovagedeckd, the daemon that runs one instance.
package supervisor
