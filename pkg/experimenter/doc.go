// Package experimenter runs a whole tier in one process against emulated leafs, loads it and judges every answer.
package experimenter
