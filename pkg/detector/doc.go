// Package detector decides from the requests of an instance whether the instance is cut off from all leafs.
package detector
