package placement

import "math"

// fit returns the costs of the features that fit the sums best, none of them negative. With so few features each subset can be tried.
func fit(s *sums) (best features, ok bool) {
	least := math.Inf(1)
	for subset := 1; subset < 1<<featureCount; subset++ {
		costs, solved := solveSubset(s, subset)
		if !solved {
			continue
		}
		// The squared error less that of no features at all.
		loss := 0.0
		for i := range featureCount {
			loss -= costs[i] * s.xy[i]
		}
		if loss < least {
			best, least, ok = costs, loss, true
		}
	}
	return best, ok
}

// solveSubset solves the normal equations for the features in the subset, and fails if a cost is negative or isn't determined.
func solveSubset(s *sums, subset int) (costs features, ok bool) {
	var a [featureCount][featureCount + 1]float64
	var index [featureCount]int
	n := 0
	for i := range featureCount {
		if subset&(1<<i) != 0 {
			index[n] = i
			n++
		}
	}
	for i := range n {
		for j := range n {
			a[i][j] = s.xx[index[i]][index[j]]
		}
		a[i][n] = s.xy[index[i]]
	}
	for i := range n {
		if !(a[i][i] > minPivot*s.xx[index[i]][index[i]]) {
			return costs, false
		}
		for row := range n {
			if row == i {
				continue
			}
			f := a[row][i] / a[i][i]
			for col := i; col <= n; col++ {
				a[row][col] -= f * a[i][col]
			}
		}
	}
	for i := range n {
		v := a[i][n] / a[i][i]
		if !(v >= 0) || math.IsInf(v, 0) {
			return costs, false
		}
		costs[index[i]] = v
	}
	return costs, true
}

// minPivot is the fraction of a feature's sum of squares that other features must not explain.
const minPivot = 1e-4
