// The question is whether the new version does worse than the old one. In each
// stretch of time, the bad answers of both versions together are divided between
// them at random if the versions are equal (hypergeometric distribution). The
// number of bad answers of the new version is the sum over the stretches.

package promoter

import "math"

// maxExactVariance is the variance above which the normal distribution replaces the exact one, which takes longer to compute.
const maxExactVariance = 40

type (
	// sample counts the answers and the bad ones among them in one stretch of time.
	sample struct {
		oldAnswers, oldBad, newAnswers, newBad uint64
	}

	// comparison is the result of comparing the versions over several stretches.
	comparison struct {
		sample
		// expected is the number of bad answers of the new version that is expected of equal versions.
		expected float64
		// chance is the probability of at least as many bad answers of the new version if the versions are equal.
		chance float64
	}
)

// excess returns by how much the share of bad answers of the new version is above the expected one.
func (c comparison) excess() float64 {
	return (float64(c.newBad) - c.expected) / float64(max(1, c.newAnswers))
}

// compare compares the versions over the stretches.
func compare(samples []sample) comparison {
	var result comparison
	var variance float64
	for _, s := range samples {
		result.oldAnswers += s.oldAnswers
		result.oldBad += s.oldBad
		result.newAnswers += s.newAnswers
		result.newBad += s.newBad
		expected, v := s.moments()
		result.expected += expected
		variance += v
	}
	result.chance = 1
	switch {
	case float64(result.newBad) <= result.expected:
	case variance > maxExactVariance:
		z := (float64(result.newBad) - 0.5 - result.expected) / math.Sqrt(variance)
		result.chance = math.Erfc(z/math.Sqrt2) / 2
	default:
		result.chance = exactChance(samples, result.newBad)
	}
	return result
}

// moments returns the mean and the variance of the bad answers of the new version if the versions are equal.
func (s sample) moments() (mean, variance float64) {
	total, bad := float64(s.oldAnswers+s.newAnswers), float64(s.oldBad+s.newBad)
	if total < 2 {
		return bad * float64(s.newAnswers), 0
	}
	mean = bad * float64(s.newAnswers) / total
	return mean, mean * (1 - bad/total) * float64(s.oldAnswers) / (total - 1)
}

// exactChance returns the probability that equal versions give the new one at least newBad bad answers.
func exactChance(samples []sample, newBad uint64) float64 {
	// below[k] is the probability of k bad answers so far, for k below newBad.
	below := make([]float64, newBad)
	below[0] = 1
	for _, s := range samples {
		if s.oldBad+s.newBad == 0 || s.newAnswers == 0 {
			continue
		}
		next := make([]float64, newBad)
		lowest, highest := s.support()
		for k := lowest; k <= min(highest, newBad-1); k++ {
			probability := s.probability(k)
			for before := uint64(0); before+k < newBad; before++ {
				next[before+k] += below[before] * probability
			}
		}
		below = next
	}
	sum := 0.0
	for _, probability := range below {
		sum += probability
	}
	return max(0, 1-sum)
}

// support returns the smallest and the largest possible number of bad answers of the new version.
func (s sample) support() (lowest, highest uint64) {
	bad := s.oldBad + s.newBad
	if bad > s.oldAnswers {
		lowest = bad - s.oldAnswers
	}
	return lowest, min(bad, s.newAnswers)
}

// probability returns the probability of k bad answers of the new version.
func (s sample) probability(k uint64) float64 {
	bad := s.oldBad + s.newBad
	return math.Exp(logChoose(s.newAnswers, k) + logChoose(s.oldAnswers, bad-k) - logChoose(s.newAnswers+s.oldAnswers, bad))
}

func logChoose(n, k uint64) float64 {
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n uint64) float64 {
	value, _ := math.Lgamma(float64(n) + 1)
	return value
}
