// Package admitter decides, for one leaf, which requests are sent now, which wait and which are refused.
package admitter
