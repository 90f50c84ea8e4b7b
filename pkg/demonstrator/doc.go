// Package demonstrator runs a complete tier in one process under load, injects failures and checks every answer.
package demonstrator
