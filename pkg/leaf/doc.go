// Package leaf sends search requests to leafs as JSON over HTTP, pools the connections and classifies the errors.
package leaf
