package controller

import (
	"testing"
	"time"
)

// While the others elected a leader and refused, an entry instance went back to the paused ones again and again, and waited for each.
func TestAdvancePassesOverInstancesLeftOut(t *testing.T) {
	const now = time.Minute
	cases := []struct {
		name    string
		leftOut []int
		current int
		at      time.Duration
		want    int
	}{
		{"none left out", nil, 0, now, 1},
		{"after the last one", nil, 4, now, 0},
		{"two left out", []int{1, 2}, 0, now, 3},
		{"all others left out", []int{0, 1, 2, 4}, 3, now, 3},
		{"all left out", []int{0, 1, 2, 3, 4}, 3, now, 4},
		{"time is over", []int{1, 2}, 0, now + leftOutPeriod, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := peerList{currentIndex: c.current}
			list.add([]string{"a", "b", "c", "d", "e"})
			for _, index := range c.leftOut {
				list.leaveOut(list.peers[index], now)
			}
			if list.advance(c.at); list.currentIndex != c.want {
				t.Errorf("got index %d, want %d", list.currentIndex, c.want)
			}
		})
	}
}
