// Package watcher detects that the process was paused, so that messages buffered during the pause are not treated as new.
//
// A tick that is expected every 100 ms comes seconds late after the process was stopped or its machine suspended. Messages that
// are read then or shortly afterwards may have been in a socket buffer during the pause:
//
//	tick  12.00 s
//	(stopped)
//	read  16.40 s   4.4 s after the last tick: stale
//	tick  16.41 s   late: messages read before 16.51 s are stale
//	read  16.60 s   new
package watcher
