// Package experimenter runs load experiments on a complete tier in one process against emulated leafs, and checks every answer.
package experimenter
