package emulator

import "time"

// SlowMotion returns the shape with every time multiplied, so that one machine can stand in for many.
func (s Shape) SlowMotion(factor float64) Shape {
	slow := s
	slow.Distance = times(s.Distance, factor)
	slow.Pace = factor
	slow.Families = make([]Family, len(s.Families))
	for i, family := range s.Families {
		family.SetUp = times(family.SetUp, factor)
		family.Work = times(family.Work, factor)
		family.DeadlineMs = int(float64(family.DeadlineMs) * factor)
		slow.Families[i] = family
	}
	return slow
}

// Capacity returns how many queries per second the leafs can run, when each query asks every shard of the services once.
func (s Shape) Capacity(services []string) float64 {
	asked := map[string]bool{}
	for _, service := range services {
		asked[service] = true
	}
	lowest := 0.0
	for _, family := range s.Families {
		for _, service := range family.ServiceNames() {
			capacity := float64(family.Slots*len(s.DataCentres)) / family.Work.Seconds()
			if asked[service] && (lowest == 0 || capacity < lowest) {
				lowest = capacity
			}
		}
	}
	return lowest
}

func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
