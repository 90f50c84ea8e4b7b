// Package explainer collects the log lines of all instances about one request and explains its outcome.
package explainer
