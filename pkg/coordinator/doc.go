// Package coordinator decides the course of one query: what is asked, again, twice or no longer, and what the answer states.
package coordinator
