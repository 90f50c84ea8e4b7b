// Package recruiter decides which control instances join the replicated log, become voters, and are removed.
package recruiter
