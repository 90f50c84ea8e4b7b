// Package gatherer decides when a scatter-gather query hedges, retries and answers, and merges the results of its shards.
package gatherer
