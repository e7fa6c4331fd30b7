package dispatch

import "carawayknot.example/carawayknot/pkg/request"

// promptWork returns the work of reading the prompt, in tokens of the largest model.
func promptWork(c *request.Call) float64 {
	if c.Request.Prompt == nil {
		return 0
	}
	return float64(c.Request.Prompt.Tokens) * relativeCost(c)
}

// maxTokensAhead bounds the tokens ahead of a prompt, so that a model of no cost gets a number as well.
const maxTokensAhead = 1 << 30

// tokensAhead converts pending work to prompt tokens of the call's model; it is 0 for a call without a prompt.
func tokensAhead(c *request.Call, work float64) int {
	if c.Request.Prompt == nil || work <= 0 {
		return 0
	}
	return int(min(work/relativeCost(c), maxTokensAhead))
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
