package dispatch

import "carawayknot.example/carawayknot/pkg/request"

// promptWork returns the work of reading the prompt, in tokens of the largest model.
func promptWork(c *request.Call) float64 {
	if c.Request.Prompt == nil {
		return 0
	}
	return float64(c.Request.Prompt.Tokens) * relativeCost(c)
}

// relativeCost returns the cost of the call's model relative to that of the largest; the work of a model per token is proportional to
// its cost.
func relativeCost(c *request.Call) float64 {
	largest := 0.0
	for _, cost := range c.Pool.ModelCosts {
		largest = max(largest, cost)
	}
	if largest <= 0 {
		return 1
	}
	return c.Pool.ModelCosts[c.Model] / largest
}
