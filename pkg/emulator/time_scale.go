package emulator

import "time"

// WithTimeScale returns a copy of the shape with every time multiplied by factor, which lowers the request rate enough for one
// machine to run all instances and leafs.
func (s Shape) WithTimeScale(factor float64) Shape {
	scaled := s
	scaled.RoundTrip = scaleDuration(s.RoundTrip, factor)
	scaled.TimeScale = factor
	scaled.ServiceGroups = make([]ServiceGroup, len(s.ServiceGroups))
	for i, group := range s.ServiceGroups {
		group.ConnectTime = scaleDuration(group.ConnectTime, factor)
		group.ProcessingTime = scaleDuration(group.ProcessingTime, factor)
		group.DeadlineMs = int(float64(group.DeadlineMs) * factor)
		scaled.ServiceGroups[i] = group
	}
	return scaled
}

// Capacity returns the queries per second that the leafs can run if each query sends one request to every shard of the services.
func (s Shape) Capacity(services []string) float64 {
	isQueried := map[string]bool{}
	for _, service := range services {
		isQueried[service] = true
	}
	lowest := 0.0
	for _, group := range s.ServiceGroups {
		for _, service := range group.ServiceNames() {
			capacity := float64(group.Slots*len(s.DataCentres)) / group.ProcessingTime.Seconds()
			if isQueried[service] && (lowest == 0 || capacity < lowest) {
				lowest = capacity
			}
		}
	}
	return lowest
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
