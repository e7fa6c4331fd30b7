package dispatch

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// maxTokensAhead bounds the tokens ahead of a prompt, for models that cost next to nothing.
const maxTokensAhead = 1 << 24

// promptWork returns the work of reading the prompt, in tokens of the largest model.
func promptWork(c *request.Call) float64 {
	if c.Request.Prompt == nil {
		return 0
	}
	return float64(c.Request.Prompt.Tokens) * c.Pool.RelativeCost(c.Model)
}

// tokensAhead converts work at an upstream, in tokens of the largest model, to prompt tokens of a model; it is 0 for a model whose cost
// is unknown.
func tokensAhead(pool *catalogue.Pool, model string, work float64) int {
	cost := pool.RelativeCost(model)
	if cost <= 0 || work <= 0 {
		return 0
	}
	return int(min(work/cost, maxTokensAhead))
}
